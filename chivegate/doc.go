// Package chivegate is the HTTP API for callers of a node that runs the router's own configuration.
//
// It serves OpenAI-compatible chat and text completions and the list of models, and proxies requests to plain services
// under /services/{pool}/. For each request it authenticates the team, enforces the size limits and the team's token
// quota, determines the latency class and the deadline, and passes the request to the dispatcher. A request that must
// run at most once and carries an idempotency key first claims the key. The response states the outcome of the request
// in a header, or for a stream in a trailer and a final event, and the latest requests can be explained.
package chivegate
