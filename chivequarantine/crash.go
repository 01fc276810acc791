package chivequarantine

import (
	"time"

	"chivedrift/chiverequest"
)

// Crash is a report that an endpoint failed while it had a request.
type Crash struct {
	Content chiverequest.Fingerprint
	// Endpoint is the incarnation that failed.
	Endpoint      string
	FailureDomain string
	// Reporter is the peer address of the node that had sent the request there.
	Reporter string
	// Number identifies the report among those of its reporter.
	Number int64
	// Route and Team show operators whose request it is.
	Route string
	Team  string
	// At is when the endpoint failed, on this node's clock.
	At time.Time
}

// isSame reports whether two reports are the same one. Times do not show it: a message that was delayed makes its crash look more recent.
func (c Crash) isSame(other Crash) bool {
	return c.Reporter == other.Reporter && c.Number == other.Number && c.Content == other.Content
}

// Answer is a report that an endpoint answered a request completely.
type Answer struct {
	Content chiverequest.Fingerprint
	// Reporter and Number are as those of a Crash.
	Reporter string
	Number   int64
	At       time.Time
}
