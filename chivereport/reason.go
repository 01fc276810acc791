package chivereport

// Reason is the reason why a request was not served on time.
type Reason uint8

// The reasons cover every request; a request whose reason cannot be derived from the logs has ReasonUnknown.
const (
	// ReasonNone applies to requests that were served on time.
	ReasonNone Reason = iota
	// ReasonRefusedInTime applies to requests that were refused although the first event was expected within the target.
	ReasonRefusedInTime
	// ReasonRefusedLate applies to requests that were refused because the first event was expected too late.
	ReasonRefusedLate
	// ReasonRefusedFull applies to requests that were refused because no endpoint had free capacity.
	ReasonRefusedFull
	// ReasonEndpointFull applies to requests that were rejected by the endpoints to which they were sent.
	ReasonEndpointFull
	// ReasonOwnRead applies to requests that were late mostly due to the prefill of their own prompt.
	ReasonOwnRead
	// ReasonReadAgain applies to requests that were late mostly due to the prefill of parts cached at another endpoint.
	ReasonReadAgain
	// ReasonOthersRead applies to requests that were late mostly due to other prompts queued before them.
	ReasonOthersRead
	// ReasonSlow applies to requests whose first event came much later than predicted.
	ReasonSlow
	// ReasonPaused applies to requests with a longer pause between two events than the limit allows.
	ReasonPaused
	// ReasonEndpointLost applies to requests whose endpoint was lost while it served them.
	ReasonEndpointLost
	// ReasonHeld applies to requests that were held back because endpoints had ended while serving them.
	ReasonHeld
	// ReasonEndpointError applies to requests that the endpoint answered with an error.
	ReasonEndpointError
	// ReasonNodeLost applies to requests that were in progress when their node stopped or crashed.
	ReasonNodeLost
	// ReasonCallerLeftEarly applies to requests that the caller cancelled before the first event.
	ReasonCallerLeftEarly
	// ReasonCallerLeft applies to requests that the caller cancelled during the response.
	ReasonCallerLeft
	// ReasonDeadline applies to requests whose deadline passed.
	ReasonDeadline
	// ReasonNotAllowed applies to requests rejected due to the configuration: no route, no key or too large.
	ReasonNotAllowed
	// ReasonNotEnded applies to requests whose end is not in the logs that were read.
	ReasonNotEnded
	// ReasonUnknown applies to requests whose reason cannot be derived from the logs.
	ReasonUnknown
	reasonCount
)

var reasonNames = [reasonCount]string{
	"served on time", "refused, though expected in time", "refused, expected too late", "refused, no place free", "endpoints full",
	"late: own prompt", "late: read again", "late: others' prompts", "late: slower than predicted", "late: paused", "endpoint lost",
	"held back, endpoints ended under it",
	"endpoint's error", "node lost", "caller left before the first event", "caller left in the answer", "out of time", "not allowed",
	"no end in the logs", "not told by the logs",
}

// String returns the text of the reason.
func (r Reason) String() string {
	if r >= reasonCount {
		return "not a reason"
	}
	return reasonNames[r]
}

// MarshalText returns the text of the reason, for JSON.
func (r Reason) MarshalText() ([]byte, error) { return []byte(r.String()), nil }
