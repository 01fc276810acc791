// Package chiveschedule decides which waiting request gets a slot on which endpoint, and when.
//
// Shard is the decision itself: it neither sends nor sleeps, so tests and benches drive it on any clock.
// Owner serves the shards whose scheduler this node is; Client is the gateway's side, which asks for slots.
// The bytes of an answer never pass through a scheduler, so its death touches no stream.
package chiveschedule
