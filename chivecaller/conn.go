package chivecaller

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// Conn is a caller's connection with its state.
//
// A graceful shutdown closes idle connections. net/http considers a connection idle until it has read a complete
// header, so its own Shutdown can close a connection on which a request is being read: the request would be forwarded
// and its caller would get no response. Here closing a connection and serving a request on it are atomic transitions of
// the same state, of which only one succeeds.
type Conn struct {
	net.Conn
	mu    sync.Mutex
	state connState
	// waitingSince is the time since which the connection has been waiting for a request or, if readingHeader is set,
	// for the rest of a header.
	waitingSince  time.Time
	readingHeader bool
	// answered means that the handler of the current request has returned, which may be before its response was written.
	answered bool
	// writeFailed means that a write to the connection has failed.
	writeFailed bool
	// onEnd is called when the response to the current request has ended; nil if there is none.
	onEnd func(Ending)
}

type connState uint8

const (
	connNew connState = iota
	connIdle
	connServing
	connClosed
)

// Ending is how the response to a request ended.
type Ending uint8

const (
	// Written means that the response was written out as a whole.
	Written Ending = iota
	// Broken means that the connection ended before: the response was aborted, or the caller has left.
	Broken
	// Cut means that the shutdown closed the connection before.
	Cut
)

var endingNames = [...]string{"written", "broken", "cut"}

// String returns the name of the ending as it is logged.
func (e Ending) String() string { return endingNames[e] }

type connContextKey struct{}

// Of returns the connection of a request, or nil if it did not arrive through a tracked server.
func Of(r *http.Request) *Conn {
	conn, ok := r.Context().Value(connContextKey{}).(*Conn)
	if !ok {
		return nil
	}
	return conn
}

// StartServing marks the connection as serving a request; it returns false if the connection has been closed.
func (c *Conn) StartServing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state != connIdle && c.state != connNew {
		return false
	}
	c.state, c.answered = connServing, false
	return true
}

// OnResponseEnd sets a function that is called once, when the response to the current request has ended.
func (c *Conn) OnResponseEnd(onEnd func(Ending)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onEnd = onEnd
}

// Answered states that the handler of the current request returns without aborting the response.
func (c *Conn) Answered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answered = true
}

// Write writes to the connection.
func (c *Conn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	if err != nil {
		c.mu.Lock()
		c.writeFailed = true
		c.mu.Unlock()
	}
	return n, err //nolint:wrapcheck // a connection returns the errors of the one below
}

// Close closes the connection.
func (c *Conn) Close() error {
	c.mu.Lock()
	ending := Broken
	if c.answered && !c.writeFailed {
		ending = Written
	}
	c.state = connClosed
	c.mu.Unlock()
	c.end(ending)
	return c.Conn.Close() //nolint:wrapcheck // as in Write
}

// cut closes the connection whatever is being served on it.
func (c *Conn) cut() {
	c.mu.Lock()
	c.state = connClosed
	c.mu.Unlock()
	c.end(Cut)
	// The connection is given up, so an error from closing it does not matter.
	_ = c.Conn.Close()
}

// end reports how the response to the current request ended.
func (c *Conn) end(ending Ending) {
	c.mu.Lock()
	onEnd := c.onEnd
	c.onEnd = nil
	c.mu.Unlock()
	if onEnd != nil {
		onEnd(ending)
	}
}

// becomeIdle ends the request whose response was written out.
func (c *Conn) becomeIdle() {
	c.mu.Lock()
	c.waitingSince, c.readingHeader = time.Now(), false
	if c.state == connServing {
		c.state = connIdle
	}
	c.mu.Unlock()
	c.end(Written)
}

// beginHeader states that the header of a request is being read.
func (c *Conn) beginHeader() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waitingSince, c.readingHeader = time.Now(), true
}

// closeIdle closes the connection if it has served a request and is not serving one now. A new connection is left open,
// since its first request is about to arrive.
func (c *Conn) closeIdle() { c.closeIf(func() bool { return c.state == connIdle }) }

// closeTimedOut closes the connection if it is not serving a request and has been waiting for too long.
func (c *Conn) closeTimedOut(now time.Time, headerTime, idleTime time.Duration) {
	c.closeIf(func() bool {
		limit := idleTime
		if c.readingHeader {
			limit = headerTime
		}
		return c.state != connServing && limit > 0 && now.Sub(c.waitingSince) > limit
	})
}

// closeIf closes the connection if it is open and matches, which is called with the lock held.
func (c *Conn) closeIf(matches func() bool) {
	c.mu.Lock()
	closes := c.state != connClosed && matches()
	if closes {
		c.state = connClosed
	}
	c.mu.Unlock()
	if closes {
		// The connection is no longer used, so an error from closing it does not matter.
		_ = c.Conn.Close()
	}
}
