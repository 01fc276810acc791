// Package chiveorder gives orders to endpoints, such as to load a version, under leases on the platform's log with fencing numbers.
//
// One lease a pool: its holder, the first member in rendezvous order, compares what each endpoint runs with what the
// configuration asks for and orders the difference. Serving needs no lease, so an outage of the log only stops orders.
package chiveorder
