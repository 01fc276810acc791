// Package chivescale plans how many on-demand and preemptible replicas each pool needs per failure domain, and orders
// them from the platform. Only the node that holds the lease plans and orders.
//
// Where preemptible replicas are cheap enough, the number of on-demand replicas does not follow the load, because a
// replica that stops loses its cache. Preemptible replicas cost less, but the platform may reclaim those of a whole
// failure domain at once. Part of them always runs as a reserve, because short bursts end before a new replica has
// booted; longer bursts add more. Elsewhere, the number of on-demand replicas follows the load but never falls below
// the initial number.
package chivescale
