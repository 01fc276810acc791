package chiveentry

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"chivedrift/chiveforward"
	"chivedrift/chiverequest"
)

// FailureError is an answer that is not an endpoint's.
type FailureError struct {
	Status  int
	Code    string
	Message string
	Outcome chiveforward.Outcome
	// RetryAfter is when the caller should come back; zero where that makes no sense.
	RetryAfter time.Duration
}

// Error returns the message, so that a failure can travel as an error.
func (f *FailureError) Error() string { return f.Message }

func refusal(status int, code, message string) *FailureError {
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

// write answers with the failure; the time to come back is in seconds with a fraction, since most waits are under one.
func (f *FailureError) write(w http.ResponseWriter, dialect chiverequest.CallerDialect, id string) {
	header := w.Header()
	header.Set("Content-Type", "application/json")
	dialect.Mark(header, id)
	if f.RetryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(f.RetryAfter.Seconds(), 'f', 3, 64))
	}
	body, err := json.Marshal(failureBody{failureFields{f.Code, f.Message, f.Outcome, id}})
	if err != nil {
		// Four strings always encode; should they not one day, the status still tells the outcome.
		body = nil
	}
	w.WriteHeader(f.Status)
	// When this fails the caller is gone, and nobody is left to tell.
	_, _ = w.Write(body)
}

func splitList(value string) []string {
	fields := strings.Split(value, ",")
	for i := range fields {
		fields[i] = strings.TrimSpace(fields[i])
	}
	return fields
}
