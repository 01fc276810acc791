package chivecaller

import (
	"net"
	"net/http"
	"sync/atomic"
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
	state atomic.Int32
	// waitingSince is the time since which the connection has been waiting for a request or, if readingHeader is set,
	// for the rest of a header.
	waitingSince  time.Time
	readingHeader bool
}

const (
	connNew int32 = iota
	connIdle
	connServing
	connClosed
)

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
	return c.state.CompareAndSwap(connIdle, connServing) || c.state.CompareAndSwap(connNew, connServing)
}

// closeIdle closes the connection if it has served a request and is not serving one now. A new connection is left open,
// since its first request is about to arrive.
func (c *Conn) closeIdle() {
	if c.state.CompareAndSwap(connIdle, connClosed) {
		// The connection is no longer used, so an error from closing it does not matter.
		_ = c.Close()
	}
}

// closeUnlessServing closes the connection if it is not serving a request, even if it never has.
func (c *Conn) closeUnlessServing() {
	if c.state.CompareAndSwap(connNew, connClosed) {
		// As in closeIdle.
		_ = c.Close()
		return
	}
	c.closeIdle()
}
