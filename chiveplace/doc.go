// Package chiveplace selects the endpoint of a pool that serves a request, and keeps this node's view of the load on
// each endpoint.
//
// For a model engine it predicts the time to the first event (TTFT), the pauses between the events of streams and the
// delay for other requests, from the prompt tokens that are believed to be cached and queued there; for a replica of a
// plain service it uses the load, the response time, the share of errors and the failure domain. Endpoints that failed
// are ejected for a while. Nodes exchange reports of their load, and the node that owns an engine can grant places on
// it to requests of other nodes. The package does no I/O.
package chiveplace
