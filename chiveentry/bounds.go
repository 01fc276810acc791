package chiveentry

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

const (
	// headerLineOverhead is the number of bytes in a header line besides name and value: colon, space and CRLF.
	headerLineOverhead = 4
	// bodyReadTimeout is the time that a caller has to send a body.
	bodyReadTimeout = 30 * time.Second
)

// CheckHeader returns a *FailureError if a request's header is larger than limit bytes; zero means no limit.
func CheckHeader(header http.Header, limit int64) error {
	size := int64(0)
	for name, values := range header {
		for _, value := range values {
			size += int64(len(name) + len(value) + headerLineOverhead)
		}
	}
	if size <= limit || limit == 0 {
		return nil
	}
	return newRefusal(http.StatusRequestHeaderFieldsTooLarge, "header_too_large", fmt.Sprintf("the header has %d bytes, more than %d", size, limit))
}

// ReadBody reads a request's body of at most limit bytes, zero meaning no limit, and returns a *FailureError if it is
// larger, incomplete or not received in time: a slow sender would otherwise occupy the node indefinitely.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	controller := http.NewResponseController(w)
	// Some writers do not support deadlines; for them the header timeout and the size limit still apply.
	_ = controller.SetReadDeadline(time.Now().Add(bodyReadTimeout))
	reader := r.Body
	if limit > 0 {
		reader = http.MaxBytesReader(w, r.Body, limit)
	}
	body, err := io.ReadAll(reader)
	if err == nil {
		_ = controller.SetReadDeadline(time.Time{})
		return body, nil
	}
	// The deadline is not reset: net/http reads the rest of a body before it sends the response. Without a deadline, a
	// sender that has stopped would block the request and a graceful shutdown indefinitely.
	w.Header().Set("Connection", "close")
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, newRefusal(http.StatusRequestEntityTooLarge, "body_too_large", fmt.Sprintf("the body is larger than %d bytes", limit))
	}
	return nil, newRefusal(http.StatusBadRequest, "incomplete_body", "the body ended early or came too slowly")
}
