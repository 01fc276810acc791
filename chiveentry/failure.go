package chiveentry

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"chivedrift/chiveforward"
	"chivedrift/chiverequest"
	"chivedrift/chivetime"
)

// FailureError is an error response of the router itself, as opposed to one from an endpoint.
type FailureError struct {
	Status  int
	Code    string
	Message string
	Outcome chiveforward.Outcome
	// RetryAfter is the value of the Retry-After header; zero omits it.
	RetryAfter time.Duration
}

// Error returns the message.
func (f *FailureError) Error() string { return f.Message }

func newRefusal(status int, code, message string) *FailureError {
	return &FailureError{Status: status, Code: code, Message: message, Outcome: chiveforward.NotRun}
}

type failureBody struct {
	Error failureFields `json:"error"`
}

type failureFields struct {
	Code      string               `json:"code"`
	Message   string               `json:"message"`
	Outcome   chiveforward.Outcome `json:"outcome"`
	RequestID string               `json:"request_id"`
}

// formatSeconds formats a duration in seconds to the millisecond, rounded up so that no caller retries too early.
func formatSeconds(d time.Duration) string {
	return strconv.FormatFloat(float64(chivetime.CeilMilliseconds(d))/millisecondsPerSecond, 'f', 3, 64)
}

const millisecondsPerSecond = 1000

// write writes the error response. Retry-After is in seconds with a fraction, since most waits are shorter than a
// second.
func (f *FailureError) write(w http.ResponseWriter, dialect chiverequest.CallerDialect, id string) {
	header := w.Header()
	header.Set("Content-Type", "application/json")
	dialect.Mark(header, id)
	if f.RetryAfter > 0 {
		header.Set("Retry-After", formatSeconds(f.RetryAfter))
	}
	body, err := json.Marshal(failureBody{failureFields{f.Code, f.Message, f.Outcome, id}})
	if err != nil {
		// Encoding four strings does not fail; if it did, the status would still describe the failure.
		body = nil
	}
	w.WriteHeader(f.Status)
	// An error means that the caller has disconnected.
	_, _ = w.Write(body)
}

func splitCommaList(value string) []string {
	fields := strings.Split(value, ",")
	for i := range fields {
		fields[i] = strings.TrimSpace(fields[i])
	}
	return fields
}
