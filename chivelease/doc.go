// Package chivelease elects one node at a time for work that must not be done twice, by means of a lease. The lease is
// a record in the platform's store that is written on the condition that the topic has not changed since it was read.
//
// The store keeps no timestamps. The holder therefore measures its term from before its call, and other nodes measure
// it from when they first read the record, all on clocks that keep running while a machine is suspended. Each tenure
// has a fencing token, which is derived from the position of the record that began it. Positions include the store's
// era, which increases when the store is restored from an older copy. A restored store that reuses offsets therefore
// does not reuse tokens.
package chivelease
