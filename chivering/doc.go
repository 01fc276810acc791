// Package chivering provides bounded queues between goroutines that reject elements at once when full and report their
// depth.
package chivering
