package chiveentry

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"chivedrift/chivetable"
)

// callerConn is a caller's connection with its state.
//
// A graceful shutdown closes idle connections. net/http considers a connection idle until it has read a complete
// header, so its own Shutdown can close a connection on which a request is being read: the request would be forwarded
// and its caller would get no response. Here closing a connection and serving a request on it are atomic transitions of
// the same state, of which only one succeeds.
type callerConn struct {
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

// startServing marks the connection as serving a request; it returns false if the connection has been closed.
func (c *callerConn) startServing() bool {
	return c.state.CompareAndSwap(connIdle, connServing) || c.state.CompareAndSwap(connNew, connServing)
}

// closeIdle closes the connection if it has served a request and is not serving one now. A new connection is left open,
// since its first request is about to arrive.
func (c *callerConn) closeIdle() {
	if c.state.CompareAndSwap(connIdle, connClosed) {
		// The connection is no longer used, so an error from closing it does not matter.
		_ = c.Close()
	}
}

// closeUnlessServing closes the connection if it is not serving a request, even if it never has.
func (c *callerConn) closeUnlessServing() {
	if c.state.CompareAndSwap(connNew, connClosed) {
		// As in closeIdle.
		_ = c.Close()
		return
	}
	c.closeIdle()
}

// callerConns tracks the open connections of callers.
type callerConns struct {
	mu   sync.Mutex
	open map[net.Conn]*callerConn
	// closeWhenIdle is set once each connection is to be closed as soon as it is idle.
	closeWhenIdle bool
}

func newCallerConns() *callerConns { return &callerConns{open: make(map[net.Conn]*callerConn)} }

// connContext is the ConnContext hook of http.Server: it registers a new connection.
func (c *callerConns) connContext(ctx context.Context, conn net.Conn) context.Context {
	tracked := &callerConn{Conn: conn, waitingSince: time.Now()}
	c.mu.Lock()
	c.open[conn] = tracked
	c.mu.Unlock()
	return context.WithValue(ctx, connContextKey{}, tracked)
}

// connState is the ConnState hook of http.Server, which reports StateIdle only after a response has been written out.
func (c *callerConns) connState(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	tracked := c.open[conn]
	switch {
	case tracked == nil:
	case state == http.StateActive:
		tracked.waitingSince, tracked.readingHeader = time.Now(), true
	case state == http.StateIdle:
		tracked.waitingSince, tracked.readingHeader = time.Now(), false
		tracked.state.CompareAndSwap(connServing, connIdle)
		// A response that started before the shutdown carried no "Connection: close". If its connection stayed open,
		// the caller could send another request too late for it to be completed.
		if c.closeWhenIdle {
			tracked.closeIdle()
		}
	case state == http.StateClosed, state == http.StateHijacked:
		delete(c.open, conn)
	}
}

// closeIdle closes the idle connections, and from now on every other one as soon as it becomes idle.
func (c *callerConns) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeWhenIdle = true
	for _, conn := range c.open {
		conn.closeIdle()
	}
}

// closeTimedOut closes the connections that have been waiting for longer than the configured limits; zero means no
// limit. A connection whose request has been read in the meantime is not closed.
func (c *callerConns) closeTimedOut(now time.Time, limits chivetable.Limits) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.open {
		limit := limits.IdleTime
		if conn.readingHeader {
			limit = limits.HeaderTime
		}
		if limit > 0 && now.Sub(conn.waitingSince) > limit {
			conn.closeUnlessServing()
		}
	}
}

// connOfRequest returns the connection of a request, or nil if it did not arrive through the server.
func connOfRequest(r *http.Request) *callerConn {
	conn, ok := r.Context().Value(connContextKey{}).(*callerConn)
	if !ok {
		return nil
	}
	return conn
}
