// Package chivelease elects one node at a time for work that must not be done twice. The lease is a record in the platform's store, written on the
// condition that the topic has not changed since it was read.
//
// The store keeps no timestamps. The holder therefore measures its term from before its call, and other nodes measure it from when they first read
// the record, both on clocks that keep running while a machine is suspended. Each tenure has a fencing token, the position of the record that began
// it. Positions include the store's era, so a store that is restored from an older copy and reuses offsets does not reuse tokens.
package chivelease
