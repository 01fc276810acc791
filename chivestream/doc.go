// Package chivestream records at which software version each stream began, so that a stream which its caller takes up at
// another node goes on at that version.
//
// A node records a stream before it passes on the first event. It keeps the record and sends it to the owners, the nodes
// that rendezvous hashing selects for the caller's attempt, in several failure domains. A node at which a caller takes
// the stream up asks the owners and the nodes that follow them. Nothing waits for an owner when a stream begins: a record
// that was lost costs the caller its stream, not the rule, since a node that cannot find out the version sends the stream
// nowhere if it could be the wrong one.
//
// So that records outlast the nodes, a few nodes also write the beginnings of all to the store, in batches. At their start
// the nodes that read the store for others read the last batches back, and answer from them.
package chivestream
