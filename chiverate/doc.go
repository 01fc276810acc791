// Package chiverate keeps all nodes together within a rate of requests, such as the one that an endpoint states. One
// node, selected by rendezvous hashing, owns a rate and holds its token bucket; the others ask it for a permit before
// each request that counts.
package chiverate
