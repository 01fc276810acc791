package chiverequest

// Limits are the limits that an endpoint states for the requests of all nodes together.
type Limits struct {
	// PerSecond is the number of requests a second; 0 means no limit.
	PerSecond float64
	// Refusals is the number of requests that the endpoint can refuse in a second for want of room. If it has to refuse
	// more, it crashes. 0 means no limit.
	Refusals int
}

// IsZero reports whether there is no limit.
func (l Limits) IsZero() bool { return l == Limits{} }
