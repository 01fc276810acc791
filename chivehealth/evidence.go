package chivehealth

import "time"

// Evidence is what shows that the process of an endpoint failed.
type Evidence uint8

const (
	// EvidenceNone shows nothing: the process answers, or may answer.
	EvidenceNone Evidence = iota
	// EvidenceRefused is a new connection that was refused.
	EvidenceRefused
	// EvidenceReset is a new connection that was reset or closed before an answer.
	EvidenceReset
	// EvidenceGateway is a proxy's answer that it does not reach the process.
	EvidenceGateway
	// EvidenceReplaced is another process in the endpoint's place.
	EvidenceReplaced
	// EvidenceUnreachable is silence on the open connections and on a new one.
	EvidenceUnreachable
	// EvidenceStalled is silence on all running streams, while health checks are answered.
	EvidenceStalled
)

var evidenceNames = [...]string{"none", "refused", "reset", "gateway", "replaced", "unreachable", "stalled"}

// String returns the evidence's name in logs.
func (e Evidence) String() string {
	if int(e) < len(evidenceNames) {
		return evidenceNames[e]
	}
	return "unknown"
}

// IsSilent reports whether nothing breaks, so that other nodes may not notice the failure by themselves.
func (e Evidence) IsSilent() bool { return e == EvidenceUnreachable || e == EvidenceStalled }

// Failure is a node's finding that the process of an endpoint failed.
type Failure struct {
	// Endpoint is the incarnation that failed.
	Endpoint string
	// Unique means that Endpoint names a single process, which crashes once and never answers after that.
	Unique        bool
	FailureDomain string
	Evidence      Evidence
	At            time.Time
}
