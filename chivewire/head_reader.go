package chivewire

import (
	"io"
	"sync/atomic"
)

// HeadReader passes on what comes from a connection, with the heads of responses checked.
type HeadReader struct {
	source io.Reader
	check  HeadCheck
	// isInBody means that the head of the present response has ended.
	isInBody atomic.Bool
}

// NewHeadReader returns a reader that expects a response from its source.
func NewHeadReader(source io.Reader) *HeadReader { return &HeadReader{source: source} }

// Expect makes the reader expect the next response; all of the one before has been read.
func (r *HeadReader) Expect() { r.isInBody.Store(false) }

// Read reads from the source. The error wraps ErrHead if a head is malformed.
func (r *HeadReader) Read(data []byte) (int, error) {
	n, err := r.source.Read(data)
	if n == 0 || r.isInBody.Load() {
		return n, err //nolint:wrapcheck // passed on as it is
	}
	ended, headErr := r.check.Check(data[:n])
	if headErr != nil {
		return 0, headErr
	}
	if ended {
		r.isInBody.Store(true)
	}
	return n, err //nolint:wrapcheck // passed on as it is
}
