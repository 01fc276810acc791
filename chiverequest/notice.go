package chiverequest

import "time"

// Notice is what an endpoint says of its own process in a response, besides its limits.
type Notice struct {
	// Leaving means that the process takes no new requests and will end.
	Leaving bool
	// Rest is for how long the node that sent the request is to send no others; 0 for none.
	Rest time.Duration
}

// IsZero reports whether the endpoint says nothing.
func (n Notice) IsZero() bool { return n == Notice{} }
