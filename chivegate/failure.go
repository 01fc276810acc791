package chivegate

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"chivedrift/chivedispatch"
)

// Header names of the callers' contract.
const (
	HeaderClass      = "Chivedrift-Class"
	HeaderTimeout    = "Chivedrift-Timeout-Ms"
	HeaderRequestID  = "Chivedrift-Request-Id"
	HeaderOutcome    = "Chivedrift-Outcome"
	HeaderKey        = "Idempotency-Key"
	HeaderRetryAfter = "Retry-After"
)

// failure is an answer that is not the endpoint's.
type failure struct {
	status  int
	kind    string
	code    string
	message string
	outcome chivedispatch.Outcome
	after   time.Duration
}

// Error returns the message, so that a failure can travel as an error.
func (f *failure) Error() string { return f.message }

const (
	kindInvalid  = "invalid_request_error"
	kindAuth     = "authentication_error"
	kindCapacity = "capacity_error"
	kindEndpoint = "endpoint_error"
)

func invalid(code, message string) *failure {
	return &failure{status: http.StatusBadRequest, kind: kindInvalid, code: code, message: message, outcome: chivedispatch.NotRun}
}

func fromResult(r chivedispatch.Result) *failure {
	kind := kindEndpoint
	if r.Outcome == chivedispatch.NotRun {
		kind = kindCapacity
	}
	return &failure{status: r.Status, kind: kind, code: r.Code, message: r.Message, outcome: r.Outcome, after: r.RetryAfter}
}

type errorBody struct {
	Error errorFields `json:"error"`
}

type errorFields struct {
	Type      string                `json:"type"`
	Code      string                `json:"code"`
	Message   string                `json:"message"`
	Outcome   chivedispatch.Outcome `json:"outcome"`
	RequestID string                `json:"request_id"`
}

func (f *failure) encode(id string) []byte {
	data, err := json.Marshal(errorBody{errorFields{f.kind, f.code, f.message, f.outcome, id}})
	if err != nil {
		return []byte(`{"error":{}}`)
	}
	return data
}

// write answers with the failure; Retry-After is in whole seconds, rounded up so that nobody comes too early.
func (f *failure) write(w http.ResponseWriter, id string) {
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(HeaderRequestID, id)
	header.Set(HeaderOutcome, string(f.outcome))
	if f.after > 0 {
		header.Set(HeaderRetryAfter, strconv.Itoa(int(math.Ceil(f.after.Seconds()))))
	}
	w.WriteHeader(f.status)
	// When this fails the caller is gone, and nobody is left to tell.
	_, _ = w.Write(append(f.encode(id), '\n'))
}
