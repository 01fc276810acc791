package chivehealth

import "time"

// Evidence is the kind of observation that shows that the process of an endpoint failed.
type Evidence uint8

const (
	// EvidenceNone means that there is no evidence: the process answers, or may answer.
	EvidenceNone Evidence = iota
	// EvidenceRefused means that a new connection was refused.
	EvidenceRefused
	// EvidenceReset means that a new connection was reset or closed before an answer.
	EvidenceReset
	// EvidenceGateway means that a proxy answered that it cannot reach the process.
	EvidenceGateway
	// EvidenceReplaced means that another process answered at the endpoint's address.
	EvidenceReplaced
	// EvidenceUnreachable means that there was no answer on the open connections nor on a new one.
	EvidenceUnreachable
	// EvidenceStalled means that all running streams stopped, while health checks are answered.
	EvidenceStalled
	// EvidenceReported means that another attempt or node had evidence of the failure.
	EvidenceReported
)

var evidenceNames = [...]string{"none", "refused", "reset", "gateway", "replaced", "unreachable", "stalled", "reported"}

// String returns the name used in logs.
func (e Evidence) String() string {
	if int(e) < len(evidenceNames) {
		return evidenceNames[e]
	}
	return "unknown"
}

// IsSilent reports whether the failure leaves connections open, so that other nodes may not detect it by themselves.
func (e Evidence) IsSilent() bool { return e == EvidenceUnreachable || e == EvidenceStalled }

// Failure is a detected failure of an endpoint's process.
type Failure struct {
	// Endpoint is the incarnation that failed.
	Endpoint string
	// Unique means that Endpoint identifies a single process, which crashes at most once and never answers after that.
	Unique        bool
	FailureDomain string
	Evidence      Evidence
	At            time.Time
}
