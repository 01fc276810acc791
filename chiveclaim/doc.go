// Package chiveclaim gives requests with an idempotency key at most one execution, through any node, by claims on the platform's log.
//
// Keys are spread over a fixed number of slots, each a stream of its own. The node that rendezvous hashing names for a
// slot writes the claims of all gateways in batches and reads the stream; the first claim of a key in log order wins.
// Two writers for one slot at a time cost a second reader and nothing else, since the log alone decides.
package chiveclaim
