package chiveforward

import (
	"net/http"
	"time"
)

// Sink takes an answer on its way to the caller; its calls come from one goroutine.
type Sink interface {
	// Start passes on the status and the header, once.
	Start(status int, header http.Header)
	// Write passes on a piece of the body; flush sends it at once.
	Write(data []byte, flush bool) error
}

// Outcome is what is known of a request in the end.
type Outcome string

const (
	// Completed requests were answered by an endpoint, whole.
	Completed Outcome = "completed"
	// NotRun requests certainly did not run and never will.
	NotRun Outcome = "not-run"
	// Failed requests were answered by an endpoint with an error of its own.
	Failed Outcome = "failed"
	// Unknown requests may have run.
	Unknown Outcome = "unknown"
)

// Codes tell why a request was not completed.
const (
	CodeNoPlace     = "no_place"
	CodeDeadline    = "deadline_passed"
	CodeCallerGone  = "caller_gone"
	CodeBroken      = "endpoint_broken"
	CodeRefused     = "endpoint_refused"
	CodeQuarantined = "endpoints_ended"
)

// Try is one attempt that was made.
type Try struct {
	Endpoint string
	// Ended is the word for how it ended, as logs show it.
	Ended string
	// Touched means that a byte of it may have reached the endpoint.
	Touched bool
	// Status is that of the endpoint's answer; zero without one.
	Status int
	Err    error
}

// Result is how a request ended.
type Result struct {
	Outcome Outcome
	Code    string
	Message string
	// RetryAfter is when the caller should come back; zero where that makes no sense.
	RetryAfter time.Duration
	// Started means that a part of the answer has gone to the caller: all that is left is to break it off.
	Started bool
	Status  int
	// Tries are the attempts that were made, in order.
	Tries []Try
	// First is the time from the arrival to the first piece of the answer.
	First  time.Duration
	Events int
	// Expected is the predicted time to the first event of a request that found no place; 0 where no endpoint had room.
	Expected time.Duration
	// Pause is the longest wait for an event after the first one.
	Pause time.Duration
}

// Last returns the endpoint of the last attempt; empty when there was none.
func (r *Result) Last() string {
	if len(r.Tries) == 0 {
		return ""
	}
	return r.Tries[len(r.Tries)-1].Endpoint
}
