package chiverequest

// Origin is where a stream began: only endpoints of that software version may go on with it.
type Origin struct {
	Pool string
	// Version is the software version of the endpoint that wrote the first event; empty if it was not known.
	Version string
	// Incarnation is the key of that endpoint's incarnation if its version was not known; otherwise empty.
	Incarnation string
}

// NewOrigin returns the origin of a stream that began at an endpoint.
func NewOrigin(pool, version, incarnation string) Origin {
	if version != "" {
		incarnation = ""
	}
	return Origin{Pool: pool, Version: version, Incarnation: incarnation}
}

// Allows reports whether an endpoint, given by its incarnation key, may go on with the stream; versionOf returns the
// software version of an incarnation, or nothing if it is not known.
func (o Origin) Allows(incarnation string, versionOf func(incarnation string) string) bool {
	if o.Version == "" {
		if incarnation == o.Incarnation {
			return true
		}
		o.Version = versionOf(o.Incarnation)
	}
	return o.Version != "" && versionOf(incarnation) == o.Version
}
