// Package chiveaccount sums up what the nodes of a fleet spend on control, from their state dumps: for each kind of message and each topic of
// the platform's store a rate at the middle and the busiest node, and the processor time and memory of the processes.
package chiveaccount
