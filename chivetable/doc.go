// Package chivetable holds the routing configuration in force as one immutable table: routes by host and path prefix,
// pools, teams by key, and limits on requests. It also ranks requests to a pool by the priority tiers of routes and
// teams.
package chivetable
