// Package chivegossip spreads the newest routing table and the changes of endpoints between nodes, so that a node that
// cannot read the platform's store still learns of a change within one or two seconds.
//
// A few nodes, the readers, read the store and publish what is new along a tree of all nodes. In addition, each node
// regularly exchanges digests with a few peers, and requests what it lacks.
package chivegossip
