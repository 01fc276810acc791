// Package chivetable holds the routing configuration in force as one immutable table: routes by host and path prefix,
// pools, teams by key, and the limits on what callers may send.
package chivetable
