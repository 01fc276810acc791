package chivecaller

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"chivedrift/chivewire"
)

// Conns tracks the open connections of callers to an http.Server that listens on the network which On returns. Its methods
// ConnContext and ConnState are hooks of that server.
type Conns struct {
	mu   sync.Mutex
	open map[*Conn]struct{}
	// limits are the limits of waiting connections; the last ones are in force.
	limits []waitLimits
	// closeWhenIdle is set once each connection is to be closed as soon as it is idle.
	closeWhenIdle bool
	// closed is set once new connections are to be closed at once.
	closed   bool
	bounds   Bounds
	counters boundCounters
	// followedAt is when it was last looked at which connections have bytes behind their requests; only the goroutine that accepts uses it.
	followedAt time.Time
	// headLimit is the size of the largest head of a request in bytes; zero means no limit.
	headLimit atomic.Int64
	// onUnserved is told of connections that the node closes with bytes of another request; nil if nobody is.
	onUnserved func(Unserved)
	// onClosed is told of connections that the node closes although they were open for further requests; nil if nobody is.
	onClosed func(Closed)
}

// firstRequestWait is the time for which a new connection is kept during a shutdown for its first request.
const firstRequestWait = 200 * time.Millisecond

var (
	errNoCloseWrite = errors.New("connection cannot be closed in one direction")
	errNoSocket     = errors.New("listener has no socket")
)

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
	if n.conns.bounds.Receive != nil {
		n.conns.bounds.Receive.BoundListener(listener)
	}
	return trackedListener{listener, n.conns}, nil
}

type trackedListener struct {
	net.Listener
	conns *Conns
}

// SyscallConn returns access to the listener's socket, which only TCP has.
func (l trackedListener) SyscallConn() (syscall.RawConn, error) {
	holder, ok := l.Listener.(syscall.Conn)
	if !ok {
		return nil, errNoSocket
	}
	return holder.SyscallConn() //nolint:wrapcheck // as in Listen
}

// Accept waits for the next connection that there is room for.
func (l trackedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	for err == nil && !l.conns.admit(conn) {
		conn, err = l.Listener.Accept()
	}
	if err != nil {
		return nil, err //nolint:wrapcheck // as in Listen
	}
	if receive := l.conns.bounds.Receive; receive != nil {
		receive.Bound(conn, l.conns.Open()+1)
	}
	tracked := &Conn{Conn: conn, conns: l.conns, waitingSince: time.Now()}
	if !l.conns.add(tracked) {
		tracked.cut()
	}
	return tracked, nil
}

// add tracks a connection; it returns false if the connection is to be closed at once.
func (c *Conns) add(conn *Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open[conn] = struct{}{}
	return !c.closed
}

// ConnContext is the ConnContext hook of http.Server: it makes the connection known to the handlers of its requests, which call
// StartServing. From such a connection, no byte of another request is read before the response to the one before is complete.
func (c *Conns) ConnContext(ctx context.Context, conn net.Conn) context.Context {
	if tracked, ok := conn.(*Conn); ok {
		tracked.mu.Lock()
		tracked.socket = newSocket(tracked.Conn, tracked.takeCurrent)
		tracked.mu.Unlock()
	}
	return context.WithValue(ctx, connContextKey{}, conn)
}

// ConnState is the ConnState hook of http.Server, which reports StateIdle only after a response has been written out.
func (c *Conns) ConnState(conn net.Conn, state http.ConnState) {
	tracked, ok := conn.(*Conn)
	if !ok {
		return
	}
	switch state {
	case http.StateIdle:
		tracked.becomeAnswered()
	case http.StateClosed, http.StateHijacked:
		c.mu.Lock()
		delete(c.open, tracked)
		c.mu.Unlock()
		tracked.releaseHead()
	case http.StateNew, http.StateActive:
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
	now := time.Now()
	for _, conn := range c.all() {
		conn.closeIdle(now)
	}
}

// CloseUnused closes the connections from which nothing of a request has been read, whose requests are never accepted then.
func (c *Conns) CloseUnused() {
	now := time.Now()
	for _, conn := range c.all() {
		conn.closeUnused(now)
	}
}

// CloseRest closes the unused connections once all connections are unused, new ones for a short time at least, and returns the
// number of connections that are still open. Once it has returned 0, connections that are accepted later are closed.
func (c *Conns) CloseRest() int {
	now := time.Now()
	conns := c.all()
	if !slices.ContainsFunc(conns, func(conn *Conn) bool { return !conn.isUnused(now, firstRequestWait) }) {
		c.CloseUnused()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = len(c.open) == 0
	return len(c.open)
}

// unreadPollInterval is the interval at which it is checked whether requests that had arrived unread have been answered.
const unreadPollInterval = time.Millisecond

// AnswerUnread waits until the requests that have arrived and of which nothing has been read are answered, for some time. They have arrived
// while the process was not scheduled, or in the last instant.
func (c *Conns) AnswerUnread(atMost time.Duration) {
	unread := c.all()
	unread = slices.DeleteFunc(unread, func(conn *Conn) bool { return !conn.hasUnread() })
	for end := time.Now().Add(atMost); len(unread) > 0 && time.Now().Before(end); time.Sleep(unreadPollInterval) {
		unread = slices.DeleteFunc(unread, (*Conn).isAnswered)
	}
}

// Cut closes all connections, whatever is being served on them.
func (c *Conns) Cut() {
	for _, conn := range c.all() {
		conn.cut()
	}
}

// CloseTimedOut closes the connections that have been waiting beyond the limits that their callers may rely on. A connection whose
// request has been read in the meantime is not closed.
func (c *Conns) CloseTimedOut(now time.Time) {
	for _, conn := range c.all() {
		headerTime, idleTime := c.limitsSince(conn.waitsSince())
		conn.closeTimedOut(now, headerTime, idleTime)
	}
}
