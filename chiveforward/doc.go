// Package chiveforward sends accepted requests to endpoints and returns their responses.
//
// A Forwarder sends each request to an endpoint that Places selects, and passes the response to a Sink. After a failed
// attempt it retries on another endpoint if the route, the deadline and the Budget of retries allow it, and resumes
// interrupted streams after the last event that was delivered. The Result tells whether the request was completed,
// certainly did not run, or may have run. The package does not depend on the protocol of callers or endpoints: an
// EndpointDialect encodes requests and interprets responses.
//
// Pools selects endpoints from the routing table and the endpoint directory. The forwarder also detects endpoints that
// crash or stop responding while they process requests, and reports them to a Quarantine.
package chiveforward
