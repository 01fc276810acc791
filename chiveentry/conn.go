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

// callerConn is one caller's connection and whether a request is being served on it.
//
// A planned stop closes idle connections. net/http calls a connection idle until it has read a whole header, so its own way
// of closing them can hit one whose request is just being read: the request would be passed on and its caller cut off. Here
// closing and serving compete for the state, and only one of them wins.
type callerConn struct {
	net.Conn
	state atomic.Int32
	// since is when the connection began to wait: for a request, or for the rest of its header once reading is set.
	since   time.Time
	reading bool
}

const (
	connNew int32 = iota
	connIdle
	connServing
	connClosed
)

type connKey struct{}

// serve claims the connection for a request; it fails when the stop has closed the connection.
func (c *callerConn) serve() bool {
	return c.state.CompareAndSwap(connIdle, connServing) || c.state.CompareAndSwap(connNew, connServing)
}

// closeIdle closes the connection if no request is being served on it and one has been before: a new connection is about
// to bring its first.
func (c *callerConn) closeIdle() {
	if c.state.CompareAndSwap(connIdle, connClosed) {
		// The connection is given up; what its closing says does not matter any more.
		_ = c.Close()
	}
}

// closeWaiting closes the connection if no request is being served on it, also when none has been before.
func (c *callerConn) closeWaiting() {
	if c.state.CompareAndSwap(connNew, connClosed) {
		// As in closeIdle.
		_ = c.Close()
		return
	}
	c.closeIdle()
}

// callerConns are the open connections of callers.
type callerConns struct {
	mu   sync.Mutex
	open map[net.Conn]*callerConn
	// closing tells that a connection goes as soon as it is idle.
	closing bool
}

func newCallerConns() *callerConns { return &callerConns{open: make(map[net.Conn]*callerConn)} }

// enter is net/http's hook for a new connection.
func (c *callerConns) enter(ctx context.Context, conn net.Conn) context.Context {
	entered := &callerConn{Conn: conn, since: time.Now()}
	c.mu.Lock()
	c.open[conn] = entered
	c.mu.Unlock()
	return context.WithValue(ctx, connKey{}, entered)
}

// changed is net/http's hook for the state of a connection; it calls idle only once an answer is written out.
func (c *callerConns) changed(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	entered := c.open[conn]
	switch {
	case entered == nil:
	case state == http.StateActive:
		entered.since, entered.reading = time.Now(), true
	case state == http.StateIdle:
		entered.since, entered.reading = time.Now(), false
		entered.state.CompareAndSwap(connServing, connIdle)
		// An answer that began before the stop could not ask its caller to leave. Were its connection left open until the next
		// look, the caller's next request would be taken too late to be finished.
		if c.closing {
			entered.closeIdle()
		}
	case state == http.StateClosed, state == http.StateHijacked:
		delete(c.open, conn)
	}
}

// closeIdle closes the connections that are idle, and from now on each as soon as it is.
func (c *callerConns) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
	for _, conn := range c.open {
		conn.closeIdle()
	}
}

// closeLate closes the connections that have waited for longer than the operator allows; zero means no bound. Serving and closing
// compete here too, so that no request is cut that was read in the last moment.
func (c *callerConns) closeLate(now time.Time, limits chivetable.Limits) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.open {
		most := limits.IdleTime
		if conn.reading {
			most = limits.HeaderTime
		}
		if most > 0 && now.Sub(conn.since) > most {
			conn.closeWaiting()
		}
	}
}

// connOf returns the connection of a request, nil where it came without one.
func connOf(r *http.Request) *callerConn {
	conn, ok := r.Context().Value(connKey{}).(*callerConn)
	if !ok {
		return nil
	}
	return conn
}
