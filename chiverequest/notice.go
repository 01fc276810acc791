package chiverequest

import "time"

// MaxRest bounds the time for which an endpoint gets no requests, so that a wrong value does not exclude it for good.
const MaxRest = 10 * time.Minute

// MaxWarmUp is the longest warm-up that an endpoint is taken to state.
const MaxWarmUp = 10 * time.Minute

// Notice is what an endpoint states about its own process in a response, besides its limits.
type Notice struct {
	// Leaving means that the process takes no new requests and will end.
	Leaving bool
	// Rest is for how long the node that sent the request is to send no others; 0 for none.
	Rest time.Duration
}

// IsZero reports whether the endpoint states nothing.
func (n Notice) IsZero() bool { return n == Notice{} }
