package chivecaller

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// Conns tracks the open connections of callers. Its methods ConnContext and ConnState are hooks of an http.Server.
type Conns struct {
	mu   sync.Mutex
	open map[net.Conn]*Conn
	// closeWhenIdle is set once each connection is to be closed as soon as it is idle.
	closeWhenIdle bool
}

// NewConns returns a tracker without connections.
func NewConns() *Conns { return &Conns{open: make(map[net.Conn]*Conn)} }

// ConnContext is the ConnContext hook of http.Server: it registers a new connection.
func (c *Conns) ConnContext(ctx context.Context, conn net.Conn) context.Context {
	tracked := &Conn{Conn: conn, waitingSince: time.Now()}
	c.mu.Lock()
	c.open[conn] = tracked
	c.mu.Unlock()
	return context.WithValue(ctx, connContextKey{}, tracked)
}

// ConnState is the ConnState hook of http.Server, which reports StateIdle only after a response has been written out.
func (c *Conns) ConnState(conn net.Conn, state http.ConnState) {
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

// CloseIdle closes the idle connections, and from now on every other one as soon as it becomes idle.
func (c *Conns) CloseIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeWhenIdle = true
	for _, conn := range c.open {
		conn.closeIdle()
	}
}

// CloseTimedOut closes the connections that have been waiting for a request for longer than idleTime, or for the rest of a
// header for longer than headerTime; zero means no limit. A connection whose request has been read in the meantime is not
// closed.
func (c *Conns) CloseTimedOut(now time.Time, headerTime, idleTime time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.open {
		limit := idleTime
		if conn.readingHeader {
			limit = headerTime
		}
		if limit > 0 && now.Sub(conn.waitingSince) > limit {
			conn.closeUnlessServing()
		}
	}
}
