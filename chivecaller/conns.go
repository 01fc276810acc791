package chivecaller

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"chivedrift/chivewire"
)

// Conns tracks the open connections of callers to an http.Server that listens on the network which On returns. Its methods
// ConnContext and ConnState are hooks of that server.
type Conns struct {
	mu   sync.Mutex
	open map[*Conn]struct{}
	// closeWhenIdle is set once each connection is to be closed as soon as it is idle.
	closeWhenIdle bool
}

// NewConns returns a tracker without connections.
func NewConns() *Conns { return &Conns{open: make(map[*Conn]struct{})} }

// On returns a network on which the connections that a server accepts are tracked.
func (c *Conns) On(network chivewire.Network) chivewire.Network { return trackedNetwork{network, c} }

type trackedNetwork struct {
	chivewire.Network
	conns *Conns
}

// Listen listens at an address and tracks the connections that are accepted.
func (n trackedNetwork) Listen(address string) (net.Listener, error) {
	listener, err := n.Network.Listen(address)
	if err != nil {
		return nil, err
	}
	return trackedListener{listener, n.conns}, nil
}

type trackedListener struct {
	net.Listener
	conns *Conns
}

// Accept waits for the next connection.
func (l trackedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err //nolint:wrapcheck // as in Listen
	}
	tracked := &Conn{Conn: conn, waitingSince: time.Now()}
	l.conns.add(tracked)
	return tracked, nil
}

func (c *Conns) add(conn *Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open[conn] = struct{}{}
}

// ConnContext is the ConnContext hook of http.Server: it makes the connection known to the handlers of its requests.
func (c *Conns) ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connContextKey{}, conn)
}

// ConnState is the ConnState hook of http.Server, which reports StateIdle only after a response has been written out.
func (c *Conns) ConnState(conn net.Conn, state http.ConnState) {
	tracked, ok := conn.(*Conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		tracked.beginHeader()
	case http.StateIdle:
		tracked.becomeIdle()
		// A response that started before the shutdown carried no "Connection: close". If its connection stayed open,
		// the caller could send another request too late for it to be completed.
		if c.closesWhenIdle() {
			tracked.closeIdle()
		}
	case http.StateClosed, http.StateHijacked:
		c.mu.Lock()
		delete(c.open, tracked)
		c.mu.Unlock()
	case http.StateNew:
	}
}

func (c *Conns) closesWhenIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closeWhenIdle
}

// all returns the open connections.
func (c *Conns) all() []*Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	conns := make([]*Conn, 0, len(c.open))
	for conn := range c.open {
		conns = append(conns, conn)
	}
	return conns
}

// CloseIdle closes the idle connections, and from now on every other one as soon as it becomes idle.
func (c *Conns) CloseIdle() {
	c.mu.Lock()
	c.closeWhenIdle = true
	c.mu.Unlock()
	for _, conn := range c.all() {
		conn.closeIdle()
	}
}

// Cut closes all connections, whatever is being served on them.
func (c *Conns) Cut() {
	for _, conn := range c.all() {
		conn.cut()
	}
}

// CloseTimedOut closes the connections that have been waiting for a request for longer than idleTime, or for the rest of a
// header for longer than headerTime; zero means no limit. A connection whose request has been read in the meantime is not
// closed.
func (c *Conns) CloseTimedOut(now time.Time, headerTime, idleTime time.Duration) {
	for _, conn := range c.all() {
		conn.closeTimedOut(now, headerTime, idleTime)
	}
}
