// Package chivequota enforces the token rate limit of each team over the whole fleet. One node, selected by rendezvous
// hashing, owns a team and holds its token bucket, and the nodes that serve the team's requests draw tokens from it.
package chivequota
