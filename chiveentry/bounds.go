package chiveentry

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

const (
	// headerExtra is what a header line takes beside its name and value: colon, blank, end of line.
	headerExtra = 4
	// bodyTime is how long a caller may take to send a body.
	bodyTime = 30 * time.Second
)

// CheckHeader holds a request's header to the configured size in bytes; zero means no limit.
func CheckHeader(header http.Header, limit int64) error {
	size := int64(0)
	for name, values := range header {
		for _, value := range values {
			size += int64(len(name) + len(value) + headerExtra)
		}
	}
	if size <= limit || limit == 0 {
		return nil
	}
	return refusal(http.StatusRequestHeaderFieldsTooLarge, "header_too_large", fmt.Sprintf("the header has %d bytes, more than %d", size, limit))
}

// ReadBody bounds the size, in bytes, and the time of a body: a sender that dribbles would otherwise hold a place for ever.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	controller := http.NewResponseController(w)
	// Not every writer has deadlines; the header timeout and the size limit hold all the same.
	_ = controller.SetReadDeadline(time.Now().Add(bodyTime))
	from := r.Body
	if limit > 0 {
		from = http.MaxBytesReader(w, r.Body, limit)
	}
	body, err := io.ReadAll(from)
	if err == nil {
		_ = controller.SetReadDeadline(time.Time{})
		return body, nil
	}
	// The deadline stays: net/http reads what is left of a body before it sends the answer, and with the deadline lifted
	// a sender that had stopped would hold the request, its place and a planned stop for ever.
	w.Header().Set("Connection", "close")
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, refusal(http.StatusRequestEntityTooLarge, "body_too_large", fmt.Sprintf("the body is larger than %d bytes", limit))
	}
	return nil, refusal(http.StatusBadRequest, "incomplete_body", "the body ended early or came too slowly")
}
