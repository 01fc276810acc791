package chivedistance

import (
	"context"
	"errors"
	"time"

	"chivedrift/chivewire"
)

// Calls matches replies of peers to requests, waits for each peer as its distance requires, and records in a table how long
// the replies took.
type Calls[R any] struct {
	calls *chivewire.Calls[R]
	table *Table
}

// NewCalls returns a Calls without requests that uses a table; nil for a deployment in one region.
func NewCalls[R any](table *Table) *Calls[R] {
	return &Calls[R]{calls: chivewire.NewCalls[R](), table: table}
}

// SetTable sets the table; it must be called before the first request.
func (c *Calls[R]) SetTable(table *Table) { c.table = table }

// Call sends a request to a peer under a new number and waits for its reply: near, and as much longer as the peer is
// farther than one in this node's region. The error is that of send, chivewire.ErrNoReply, or the context's.
func (c *Calls[R]) Call(ctx context.Context, peer string, near time.Duration, send func(number uint64) error) (reply R, err error) {
	return c.CallWithin(ctx, peer, near, 0, send)
}

// CallWithin is Call for a request with a target, of which it waits for a peer in a region that has not been measured at
// most a share. A target of 0 stands for none.
func (c *Calls[R]) CallWithin(ctx context.Context, peer string, near, target time.Duration, send func(number uint64) error) (reply R, err error) {
	sentAt, connected := time.Now(), c.table.isReached(peer)
	reply, err = c.calls.Call(ctx, c.table.waitWithin(peer, near, target), send)
	switch {
	case err == nil:
		if connected {
			c.table.Observe(peer, time.Since(sentAt))
		}
		c.table.countCall(peer, time.Since(sentAt), true)
	case errors.Is(err, chivewire.ErrNoReply):
		c.table.countCall(peer, 0, false)
	}
	return reply, err
}

// Deliver passes a reply to the request with its number. A reply that is late or repeated is dropped.
func (c *Calls[R]) Deliver(number uint64, reply R) { c.calls.Deliver(number, reply) }
