// Package chivelog is the client of the platform's append-only log and of its list of VMs.
package chivelog
