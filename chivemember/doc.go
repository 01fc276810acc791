// Package chivemember maintains each node's view of the fleet: which nodes exist, which of them are alive and which are
// leaving.
//
// View makes the decisions. It neither sends nor sleeps: it takes ticks and messages, and returns the messages to send.
// Service runs it. Each node probes a fixed number of others, chosen at growing distances on a ring of name hashes, so
// that the cost per node does not grow with the fleet while updates reach all nodes in a few hops.
package chivemember
