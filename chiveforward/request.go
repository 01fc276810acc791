package chiveforward

import (
	"net/http"
	"time"
)

// Sink receives the response for the caller. Its methods are called from one goroutine.
type Sink interface {
	// Start passes on the status and the header; it is called once.
	Start(status int, header http.Header)
	// Write passes on a piece of the body; flush requests that it is sent immediately.
	Write(data []byte, flush bool) error
}

// Outcome tells what is known about the execution of a request once it has ended.
type Outcome string

const (
	// Completed requests received a complete response from an endpoint.
	Completed Outcome = "completed"
	// NotRun requests certainly did not run and never will.
	NotRun Outcome = "not-run"
	// Failed requests received an endpoint's own error as the response.
	Failed Outcome = "failed"
	// Unknown requests may have run.
	Unknown Outcome = "unknown"
)

// Codes give the reason why a request was not completed.
const (
	CodeNoPlace     = "no_place"
	CodeDeadline    = "deadline_passed"
	CodeCallerGone  = "caller_gone"
	CodeBroken      = "endpoint_broken"
	CodeRefused     = "endpoint_refused"
	CodeQuarantined = "endpoints_ended"
)

// Try is one attempt of a request.
type Try struct {
	Endpoint string
	// Ended is the outcome of the attempt as it is logged.
	Ended string
	// Touched means that a byte of the request may have reached the endpoint.
	Touched bool
	// Status is the status of the endpoint's response; zero if there was none.
	Status int
	Err    error
}

// Result is the final state of a request.
type Result struct {
	Outcome Outcome
	Code    string
	Message string
	// RetryAfter is when the caller should retry; zero if it should not.
	RetryAfter time.Duration
	// Started means that part of the response was already passed to the caller, so that an error can only be signalled
	// by aborting the response.
	Started bool
	Status  int
	// Tries are the attempts that were made, in order.
	Tries []Try
	// First is the time from the arrival of the request to the start of the response.
	First  time.Duration
	Events int
	// Expected is the predicted time to the first event of a request for which no endpoint was found; 0 if no endpoint
	// had capacity.
	Expected time.Duration
	// Pause is the longest wait for an event after the first one.
	Pause time.Duration
}

// Last returns the endpoint of the last attempt; empty if there was none.
func (r *Result) Last() string {
	if len(r.Tries) == 0 {
		return ""
	}
	return r.Tries[len(r.Tries)-1].Endpoint
}
