// Package chiveorder brings the endpoints of each pool to the model version, adapters and role that the configuration
// asks for, by sending them orders.
//
// One node at a time sends the orders of a pool, under a lease with a fencing token. Leases are records in the
// platform's log. The lease of a pool is requested by the member that rendezvous hashing ranks first for it; this node
// compares the orders that each endpoint has carried out with the configuration, and sends what is missing. Serving
// requests needs no lease, so an outage of the log only delays orders.
package chiveorder
