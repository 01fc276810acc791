// Package chivescale decides how many on-demand and preemptible replicas of a pool to order in each failure domain.
//
// The number of on-demand replicas does not follow the load, because replicas that stop lose their caches. Preemptible replicas cost less but may be
// reclaimed a failure domain at a time. They provide a reserve that always runs, because short bursts end before a new replica has booted, and scale
// with the load in longer bursts.
package chivescale
