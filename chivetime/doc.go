// Package chivetime converts times given as numbers to durations.
package chivetime
