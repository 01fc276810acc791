package chivequarantine

import (
	"time"

	"chivedrift/chiverequest"
)

// End tells that an endpoint ended while it had a request.
type End struct {
	Content chiverequest.Fingerprint
	// Endpoint is the incarnation that ended.
	Endpoint      string
	FailureDomain string
	// Reporter is the peer address of the node that had sent the request there.
	Reporter string
	// Number tells the reporter's reports apart.
	Number int64
	// Route and Team tell operators whose request it is.
	Route string
	Team  string
	// At is when it ended, on this node's clock.
	At time.Time
}

// isSame tells whether two reports are the same one. The times do not tell: a message that was long under way makes an end look younger.
func (e End) isSame(other End) bool {
	return e.Reporter == other.Reporter && e.Number == other.Number && e.Content == other.Content
}

// Answered tells that an endpoint has answered a request whole.
type Answered struct {
	Content chiverequest.Fingerprint
	// Reporter and Number are as those of an End.
	Reporter string
	Number   int64
	At       time.Time
}
