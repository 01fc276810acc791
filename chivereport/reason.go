package chivereport

// Reason tells why a request was not served on time.
type Reason uint8

// The reasons are exhaustive; what the logs cannot tell is ReasonUnknown.
const (
	// ReasonNone is a request that was served on time.
	ReasonNone Reason = iota
	// ReasonRefusedInTime was refused although its first event was expected within its target.
	ReasonRefusedInTime
	// ReasonRefusedLate was refused with its first event expected too late.
	ReasonRefusedLate
	// ReasonRefusedFull found no endpoint with a free place.
	ReasonRefusedFull
	// ReasonEndpointFull was turned away by the endpoints that it was sent to.
	ReasonEndpointFull
	// ReasonOwnRead was late mostly because its own prompt had to be read.
	ReasonOwnRead
	// ReasonReadAgain was late mostly by parts that another endpoint held.
	ReasonReadAgain
	// ReasonOthersRead was late mostly because others' prompts waited before it.
	ReasonOthersRead
	// ReasonSlow had its first event much later than predicted.
	ReasonSlow
	// ReasonPaused had a pause between events longer than promised.
	ReasonPaused
	// ReasonEndpointLost lost its endpoint in the answer.
	ReasonEndpointLost
	// ReasonHeld was kept from endpoints since endpoints had ended under it.
	ReasonHeld
	// ReasonEndpointError got an error of the endpoint's own.
	ReasonEndpointError
	// ReasonNodeLost was under way when its node stopped or died.
	ReasonNodeLost
	// ReasonCallerLeftEarly was given up by its caller before the first event.
	ReasonCallerLeftEarly
	// ReasonCallerLeft was given up by its caller in the answer.
	ReasonCallerLeft
	// ReasonDeadline ran out of its caller's time.
	ReasonDeadline
	// ReasonNotAllowed was turned away by the configuration: no route, no key, too large.
	ReasonNotAllowed
	// ReasonNotEnded has no end in the logs that were read.
	ReasonNotEnded
	// ReasonUnknown cannot be told from the logs.
	ReasonUnknown
	reasons
)

var reasonNames = [reasons]string{
	"served on time", "refused, though expected in time", "refused, expected too late", "refused, no place free", "endpoints full",
	"late: own prompt", "late: read again", "late: others' prompts", "late: slower than predicted", "late: paused", "endpoint lost",
	"held back, endpoints ended under it",
	"endpoint's error", "node lost", "caller left before the first event", "caller left in the answer", "out of time", "not allowed",
	"no end in the logs", "not told by the logs",
}

// String returns the reason in words.
func (r Reason) String() string {
	if r >= reasons {
		return "not a reason"
	}
	return reasonNames[r]
}

// MarshalText returns the words, for JSON.
func (r Reason) MarshalText() ([]byte, error) { return []byte(r.String()), nil }
