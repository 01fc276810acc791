// Package chivedirectory keeps each node's list of the endpoints of all pools. It merges changes from the platform's
// store and from peer nodes, and decides whether an endpoint without an entry in the store has left or has only failed
// to renew its entry during a store outage.
package chivedirectory
