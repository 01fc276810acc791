// Package chiveaccount summarizes the overhead of the control plane from the state dumps of the nodes of a fleet. For
// each kind of message and each topic of the platform's store it reports a rate, and for the processes CPU time and
// memory, each as the median and the maximum over the nodes.
package chiveaccount
