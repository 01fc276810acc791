package chivewire

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"
)

// ErrNoReply means that a peer did not reply in time.
var ErrNoReply = errors.New("wire: no reply from the peer in time")

// Calls matches replies of peers to the requests that wait for them, by the number that a reply repeats. It is safe for
// concurrent use.
type Calls[R any] struct {
	lastNumber atomic.Uint64
	mu         sync.Mutex
	waiting    map[uint64]chan R
}

// NewCalls returns a Calls without requests.
func NewCalls[R any]() *Calls[R] {
	return &Calls[R]{waiting: make(map[uint64]chan R)}
}

// Call sends a request under a new number and waits for its reply. The error is that of send, ErrNoReply after the
// timeout, or the context's.
func (c *Calls[R]) Call(ctx context.Context, timeout time.Duration, send func(number uint64) error) (reply R, err error) {
	number, replies := c.lastNumber.Add(1), make(chan R, 1)
	c.mu.Lock()
	c.waiting[number] = replies
	c.mu.Unlock()
	defer c.forget(number)
	if err := send(number); err != nil {
		return reply, err
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case reply = <-replies:
		return reply, nil
	case <-timer.C:
		return reply, ErrNoReply
	case <-ctx.Done():
		return reply, ctx.Err() //nolint:wrapcheck // the caller's own context
	}
}

// Deliver passes a reply to the request with its number. A reply that is late or repeated is dropped.
func (c *Calls[R]) Deliver(number uint64, reply R) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if replies, ok := c.waiting[number]; ok {
		replies <- reply
		delete(c.waiting, number)
	}
}

func (c *Calls[R]) forget(number uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.waiting, number)
}
