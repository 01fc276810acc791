package chivegate

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"chivedrift/chivedispatch"
	"chivedrift/chiveentry"
)

// Names of the headers of the API.
const (
	HeaderClass      = "Chivedrift-Class"
	HeaderTimeout    = "Chivedrift-Timeout-Ms"
	HeaderRequestID  = "Chivedrift-Request-Id"
	HeaderOutcome    = "Chivedrift-Outcome"
	HeaderKey        = "Idempotency-Key"
	HeaderRetryAfter = "Retry-After"
)

// failure is an error response of the router itself, as opposed to one from an endpoint.
type failure struct {
	status     int
	errorType  string
	code       string
	message    string
	outcome    chivedispatch.Outcome
	retryAfter time.Duration
}

// Error returns the message.
func (f *failure) Error() string { return f.message }

const (
	errorTypeInvalid        = "invalid_request_error"
	errorTypeAuthentication = "authentication_error"
	errorTypeCapacity       = "capacity_error"
	errorTypeEndpoint       = "endpoint_error"
)

func newInvalidRequest(code, message string) *failure {
	return &failure{status: http.StatusBadRequest, errorType: errorTypeInvalid, code: code, message: message, outcome: chivedispatch.NotRun}
}

// newCheckFailure returns the response to a request that the checks of both interfaces have refused.
func newCheckFailure(f *chiveentry.FailureError) *failure {
	errorType := errorTypeInvalid
	if f.Status == http.StatusServiceUnavailable {
		errorType = errorTypeCapacity
	}
	return &failure{status: f.Status, errorType: errorType, code: f.Code, message: f.Message, outcome: f.Outcome, retryAfter: f.RetryAfter}
}

func failureFromResult(r chivedispatch.Result) *failure {
	errorType := errorTypeEndpoint
	if r.Outcome == chivedispatch.NotRun {
		errorType = errorTypeCapacity
	}
	return &failure{status: r.Status, errorType: errorType, code: r.Code, message: r.Message, outcome: r.Outcome, retryAfter: r.RetryAfter}
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
	data, err := json.Marshal(errorBody{errorFields{f.errorType, f.code, f.message, f.outcome, id}})
	if err != nil {
		return []byte(`{"error":{}}`)
	}
	return data
}

// write writes the error response. Retry-After is in whole seconds, rounded up so that no caller retries too early.
func (f *failure) write(w http.ResponseWriter, id string) {
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(HeaderRequestID, id)
	header.Set(HeaderOutcome, string(f.outcome))
	if f.retryAfter > 0 {
		header.Set(HeaderRetryAfter, strconv.Itoa(int(math.Ceil(f.retryAfter.Seconds()))))
	}
	w.WriteHeader(f.status)
	// An error means that the caller has disconnected.
	_, _ = w.Write(append(f.encode(id), '\n'))
}
