package chiveforward

import (
	"errors"
	"io"
	"sync/atomic"
)

const (
	// maxHeldBytes limits what all attempts together hold of responses before they pass it on.
	maxHeldBytes = 16 << 20
	// freeHeldBytes is what each attempt may hold beside that.
	freeHeldBytes = 64 << 10
)

// errHeldBytes ends an attempt whose event needs more memory than the others leave.
var errHeldBytes = errors.New("events in progress take too much memory")

// heldBytes counts what attempts have reserved beyond freeHeldBytes.
type heldBytes struct {
	used atomic.Int64
}

// reservation is what one attempt has reserved of the total.
type reservation struct {
	total *heldBytes
	bytes int64
}

// reserve reports whether the attempt may hold the given number of bytes, and reserves them.
func (r *reservation) reserve(bytes int) bool {
	more := int64(bytes) - freeHeldBytes - r.bytes
	if more <= 0 {
		return true
	}
	if r.total.used.Add(more) > maxHeldBytes {
		r.total.used.Add(-more)
		return false
	}
	r.bytes += more
	return true
}

// release returns all that was reserved.
func (r *reservation) release() {
	r.total.used.Add(-r.bytes)
	r.bytes = 0
}

// readHeld reads a body of up to maxBufferedBytes, or the first part of it: complete is false if it is longer or its memory
// cannot be reserved. onData is called after each piece.
func readHeld(body io.Reader, held *reservation, onData func()) (data []byte, complete bool, err error) {
	for len(data) <= maxBufferedBytes && held.reserve(len(data)+connectionBufferSize) {
		if cap(data)-len(data) < connectionBufferSize {
			data = append(make([]byte, 0, 2*cap(data)+connectionBufferSize), data...)
		}
		n, err := body.Read(data[len(data):min(cap(data), len(data)+connectionBufferSize)])
		data = data[:len(data)+n]
		if n > 0 {
			onData()
		}
		if errors.Is(err, io.EOF) {
			return data, true, nil
		}
		if err != nil {
			return data, false, err //nolint:wrapcheck // classified by the caller
		}
	}
	return data, false, nil
}
