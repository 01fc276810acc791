// Package chiveentry is the HTTP server for callers of a node that is configured by a routing table.
//
// For each request it parses the header with the callers' dialect, finds the route, authenticates the team, enforces
// the limits of the current table and passes the request to the forwarder, which writes the response. If the request is
// refused or no endpoint completes it, the entry responds with a JSON error that states the outcome. Shutdown is
// graceful: idle connections are closed, and each response is written out and its connection closed in order first.
package chiveentry
