// Package chivekernel is the micro-kernel of a node: services register under a name, find each other by that name, start in order and stop in reverse.
package chivekernel
