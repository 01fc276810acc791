// Package chiveschedule queues requests for model endpoints and decides which request gets a slot on which endpoint.
//
// The endpoints of a pool are divided into shards, and each shard is normally scheduled by one node. Shard holds the
// queue and the slot accounting of one shard; it does no I/O and reads no clock, so that tests and benchmarks can run
// it on virtual time. Owner runs the shards that this node schedules. Client is the gateway side: it requests slots
// from the schedulers, tracks the slots in use, and moves to another scheduler when one stops answering.
//
// Responses do not pass through the scheduler, so running streams survive its failure.
package chiveschedule
