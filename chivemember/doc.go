// Package chivemember keeps each node's view of the fleet: who exists, who answers, who leaves.
//
// The decisions are in View, which neither sends nor sleeps: ticks and messages go in, envelopes come out.
// Every node watches a fixed handful of others, found on a ring of name hashes at growing distances, so that the cost
// a node does not grow with the fleet while news crosses it in a few hops.
package chivemember
