package chivequarantine

import (
	"time"

	"chivedrift/chiverequest"
)

// Crash is a report that an endpoint failed while running a request, for the request itself or for a part of its prompt.
type Crash struct {
	// Content identifies the request or the part.
	Content chiverequest.Fingerprint
	// Name is the caller's name of the part; empty for a request.
	Name string
	// Silent means that nothing broke when the endpoint failed, so that At is known to some tenths of a second only. It is
	// set for parts only.
	Silent bool
	// Endpoint is the incarnation that failed.
	Endpoint      string
	FailureDomain string
	// Reporter is the peer address of the node that had sent the request to the endpoint.
	Reporter string
	// Number is unique among the reports of one reporter.
	Number int64
	// Route and Team are logged and dumped, so that operators can see whose request it is.
	Route string
	Team  string
	// At is when the endpoint failed, by this node's clock.
	At time.Time
}

// isSame reports whether both are the same report. Times are not compared: a delayed message makes its crash look more
// recent, since times are sent as ages.
func (c Crash) isSame(other Crash) bool {
	return c.Reporter == other.Reporter && c.Number == other.Number && c.Content == other.Content
}

// Answer is a report that an endpoint answered a request completely, or began to answer one with a part.
type Answer struct {
	Content chiverequest.Fingerprint
	// Reporter and Number have the same meaning as in Crash.
	Reporter string
	Number   int64
	At       time.Time
}
