package chiveentry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	"net/http"
	"time"

	"chivedrift/chiveevent"
	"chivedrift/chivememory"
)

const (
	// bodyReadTimeout is the time that a caller has to send a body.
	bodyReadTimeout = 30 * time.Second
	// firstBodyBytes is the size of the first buffer of a body that is longer or whose length is not known, bodyGrowth the factor to the next.
	firstBodyBytes = 8 << 10
	bodyGrowth     = 2
)

// ReserveBody begins the reservation of a request, which makes the reader of its body fail if it has to give way to another one.
func ReserveBody(w http.ResponseWriter, pool *chivememory.Pool) *chivememory.Reservation {
	return pool.Begin(func() {
		// It fails on writers without deadlines; their requests end when their bodies have been read.
		_ = http.NewResponseController(w).SetReadDeadline(time.Unix(1, 0))
	})
}

// errNoMemory ends the reading of a body that there is no memory for.
var errNoMemory = errors.New("no memory for the body")

// ReadBody reads a request's body of at most limit bytes, zero meaning no limit, into memory that it adds to the reservation. It returns a
// *FailureError if the body is larger, incomplete or not received in time, since a slow sender would otherwise occupy the node
// indefinitely, or if there is no memory for it.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64, memory *chivememory.Reservation) ([]byte, error) {
	if limit > 0 && r.ContentLength > limit {
		return nil, refuseBody(w, newTooLarge(limit))
	}
	controller := http.NewResponseController(w)
	// Some writers do not support deadlines; for them the header timeout and the size limit still apply.
	_ = controller.SetReadDeadline(time.Now().Add(bodyReadTimeout))
	reader := r.Body
	if limit > 0 {
		reader = http.MaxBytesReader(w, r.Body, limit)
	}
	body, err := readReserved(reader, r.ContentLength, limit, memory)
	complete := memory.Complete()
	if err == nil && complete {
		_ = controller.SetReadDeadline(time.Time{})
		return body, nil
	}
	var tooLarge *http.MaxBytesError
	switch {
	case !complete, errors.Is(err, errNoMemory):
		return nil, refuseBody(w, NewNoMemory())
	case errors.As(err, &tooLarge):
		return nil, refuseBody(w, newTooLarge(limit))
	}
	return nil, refuseBody(w, newRefusal(http.StatusBadRequest, "incomplete_body", "the body ended early or came too slowly"))
}

// refuseBody makes the response to a request whose body was not read to its end close the connection. The deadline of the body is not
// reset: net/http may read the rest of it, and a sender that has stopped would block that and a graceful shutdown indefinitely.
func refuseBody(w http.ResponseWriter, f *FailureError) *FailureError {
	w.Header().Set("Connection", "close")
	return f
}

func newTooLarge(limit int64) *FailureError {
	return newRefusal(http.StatusRequestEntityTooLarge, "body_too_large", fmt.Sprintf("the body is larger than %d bytes", limit))
}

// NewNoMemory returns the refusal of a request that there is no memory for.
func NewNoMemory() *FailureError {
	f := newRefusal(http.StatusServiceUnavailable, "no_memory", "this node has no memory for another request")
	f.RetryAfter = retryAfterNoMemory
	return f
}

// readReserved reads a body of an announced length, -1 if it is not known, and of at most limit bytes, zero meaning no limit. The buffer
// grows with what has arrived, since an announcement costs the caller nothing.
func readReserved(reader io.Reader, announced, limit int64, memory *chivememory.Reservation) ([]byte, error) {
	if announced == 0 {
		return nil, nil
	}
	most := announced
	if most < 0 && limit > 0 {
		most = limit
	}
	var body []byte
	for {
		if len(body) == cap(body) {
			grown, err := growBody(body, most, memory)
			if err != nil {
				return nil, err
			}
			body = grown
		}
		n, err := reader.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if n > 0 {
			memory.Progress()
		}
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return nil, err //nolint:wrapcheck // classified by the caller
		}
	}
}

// growBody returns a larger buffer with the same content, for a body of at most so many bytes; negative means no limit.
func growBody(body []byte, most int64, memory *chivememory.Reservation) ([]byte, error) {
	size := max(firstBodyBytes, bodyGrowth*int64(cap(body)))
	// The end of the body is found with one byte of room.
	if whole := most + 1; most >= 0 && whole > int64(len(body)) {
		size = min(size, whole)
	}
	if !memory.Add(size) {
		return nil, errNoMemory
	}
	grown := append(make([]byte, 0, size), body...)
	memory.Return(int64(cap(body)))
	return grown, nil
}

// CheckBodyLimit logs that there is no memory for bodies of a configured limit in bytes, zero meaning no limit.
func CheckBodyLimit(ctx context.Context, logger *slog.Logger, limit int64, pool *chivememory.Pool) {
	if largest := pool.Largest(); limit == 0 && largest < math.MaxInt64 || limit > largest {
		chiveevent.BodiesTooLarge.Log(ctx, logger, slog.Int64("limit_bytes", limit), slog.Int64("largest_bytes", largest))
	}
}
