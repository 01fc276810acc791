// Package chivequota holds each team to one limit over the whole fleet: the team's owner, found by rendezvous hashing, owns the bucket and gateways ask it.
package chivequota
