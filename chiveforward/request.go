package chiveforward

import (
	"log/slog"
	"net/http"
	"strings"
	"time"
)

// Sink receives the response for the caller. Its methods are called from one goroutine.
type Sink interface {
	// EndsWithConnection states, before Start, that nothing but the end of the endpoint's connection ends the body. That does not
	// prove that it is whole, so the caller must not get a length or a last chunk either.
	EndsWithConnection()
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
	// CodeStopping means that the node is stopping and would cut the request before it could end.
	CodeStopping = "node_stopping"
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
	// NotRunBy is the proof that the endpoint did not run the request; empty if it may have.
	NotRunBy string
	// Kept means that the connection had carried other requests before.
	Kept bool
	// Through is the address of the peer that the connection went through; empty for none.
	Through string
	// ResponseNames is which request the response named: "request", "other" or "none"; empty if there was no response.
	ResponseNames string
	// Framing is how the response states where its body ends, as it is logged; empty if there was no response.
	Framing string
}

// evidence returns log attributes on which the verdict on the attempt rests.
func (t Try) evidence() []slog.Attr {
	connection := "new"
	if t.Kept {
		connection = "kept"
	}
	attributes := []slog.Attr{slog.String("connection", connection)}
	for _, a := range []slog.Attr{slog.String("through", t.Through), slog.String("response_names", t.ResponseNames), slog.String("framing", t.Framing), slog.String("not_run_by", t.NotRunBy)} {
		if a.Value.String() != "" {
			attributes = append(attributes, a)
		}
	}
	return attributes
}

// String returns the attempt in short: its endpoint, how it ended, and the evidence for that.
func (t Try) String() string {
	text := t.Endpoint + " " + t.Ended
	for _, a := range t.evidence() {
		text += " " + a.String()
	}
	return text
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
	// Sent is when the last attempt was sent; zero if there was none.
	Sent time.Time
	// First is the time from the arrival of the request to the start of the response.
	First  time.Duration
	Events int
	// Expected is the predicted time to the first event of a request for which no endpoint was found; 0 if no endpoint
	// had capacity.
	Expected time.Duration
	// Pause is the longest wait for an event after the first one.
	Pause time.Duration
}

// TriesInShort returns the last attempts, at most the given number, in short.
func (r *Result) TriesInShort(atMost int) string {
	tries := r.Tries[max(0, len(r.Tries)-atMost):]
	texts := make([]string, len(tries))
	for i, t := range tries {
		texts[i] = t.String()
	}
	return strings.Join(texts, "; ")
}

// Last returns the endpoint of the last attempt; empty if there was none.
func (r *Result) Last() string {
	if len(r.Tries) == 0 {
		return ""
	}
	return r.Tries[len(r.Tries)-1].Endpoint
}
