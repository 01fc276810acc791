package chivecaller

import (
	"net"
	"sync/atomic"
	"time"

	"chivedrift/chivememory"
	"chivedrift/chivewire"
)

const (
	// closingSlack is the number of connections that may be in the course of being closed beyond the bound.
	closingSlack = 32
	// firstBytesWait is how long a new connection is kept for the first bytes of a request while others are to be accepted.
	firstBytesWait = 20 * time.Millisecond
	// unreadWait is how long a caller may read nothing of a response while others are to be accepted.
	unreadWait = 5 * time.Second
)

// Bounds limit what the connections of callers take of a process and of its machine. The zero value limits nothing.
type Bounds struct {
	// Connections is the number of connections.
	Connections int
	// Memory is where the heads and bodies of requests are reserved; nil means no limit.
	Memory *chivememory.Pool
	// Receive is the memory for bytes that have been received and not read; nil leaves it to the kernel.
	Receive *chivewire.ReceiveBuffers
}

// BoundCounts are totals of what the bounds made the node do.
type BoundCounts struct {
	// Refused is the number of connections that were closed at once since there were too many, MadeRoom of those that were closed
	// instead, and Heads of requests whose head was too large or found no memory.
	Refused  int64 `json:"refused"`
	MadeRoom int64 `json:"made_room"`
	Heads    int64 `json:"heads"`
}

type boundCounters struct {
	refused, madeRoom, heads atomic.Int64
}

// Bound sets the bounds. It must be called before the server starts.
func (c *Conns) Bound(bounds Bounds) { c.bounds = bounds }

// BoundCounts returns what the bounds made the node do.
func (c *Conns) BoundCounts() BoundCounts {
	return BoundCounts{Refused: c.counters.refused.Load(), MadeRoom: c.counters.madeRoom.Load(), Heads: c.counters.heads.Load()}
}

// Open returns the number of open connections.
func (c *Conns) Open() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open)
}

// admit makes room for a connection that has been accepted and is not tracked yet, or closes it and returns false. A caller whose connection
// is closed unread knows that its request has not run.
func (c *Conns) admit(conn net.Conn) bool {
	if c.bounds.Connections == 0 || c.Open() < c.bounds.Connections || c.makeRoom(time.Now()) {
		return true
	}
	c.counters.refused.Add(1)
	// Nothing was read from it, so an error on closing it does not matter.
	_ = conn.Close()
	return false
}

// makeRoom closes the connection that has waited the longest: for its first request, for the rest of a head or of a body that has stalled, for
// its next request, or for its caller to read a response, the first of these that there is. It returns false if there is none.
func (c *Conns) makeRoom(now time.Time) bool {
	conns := c.all()
	var w waits
	for _, conn := range conns {
		w.add(conn, now)
	}
	if len(conns) >= c.bounds.Connections+closingSlack {
		return false
	}
	if w.inUse < c.bounds.Connections {
		return true
	}
	if w.first.close(now) || w.head.close(now) || c.endSlowRequest() || w.next.close(now) || w.unread.cut() {
		c.counters.madeRoom.Add(1)
		return true
	}
	return false
}

// endSlowRequest refuses a request that has stalled or arrives too slowly; it returns false if there is none.
func (c *Conns) endSlowRequest() bool {
	return c.bounds.Memory != nil && c.bounds.Memory.EndOne()
}

// waits are the connections that have waited the longest for something.
type waits struct {
	// first waits for its first request, head for the rest of a head, next for its next request, unread for its caller to read.
	first, head, next, unread longestWait
	// inUse is the number of connections that are not being closed.
	inUse int
}

func (w *waits) add(conn *Conn, now time.Time) {
	state, since, writingSince := conn.waiting()
	if state != connClosed {
		w.inUse++
	}
	wait := now.Sub(since)
	switch {
	case state == connNew && wait >= firstBytesWait:
		w.first.add(conn, wait)
	case state == connReading && wait >= chivememory.StallTime:
		w.head.add(conn, wait)
	case state == connIdle && wait >= lingerTimeout:
		w.next.add(conn, wait)
	case state == connServing && !writingSince.IsZero() && now.Sub(writingSince) >= unreadWait:
		w.unread.add(conn, now.Sub(writingSince))
	}
}

// longestWait is the connection that has waited the longest.
type longestWait struct {
	conn *Conn
	wait time.Duration
}

func (l *longestWait) add(conn *Conn, wait time.Duration) {
	if l.conn == nil || wait > l.wait {
		l.conn, l.wait = conn, wait
	}
}

// close closes the connection, unless there is none or a request has come on it.
func (l *longestWait) close(now time.Time) bool { return l.conn != nil && l.conn.closeForRoom(now) }

// cut closes the connection, unless there is none.
func (l *longestWait) cut() bool {
	if l.conn == nil {
		return false
	}
	l.conn.closeUnread()
	return true
}

// waiting returns the state of the connection, and the times since which it waits for a request and for a part of a response to be written.
func (c *Conn) waiting() (state connState, since, writingSince time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state, c.waitingSince, c.writingSince
}

// closeUnread closes the connection, whose caller does not read the response.
func (c *Conn) closeUnread() {
	c.reportClosed(MadeRoom)
	// The write that is under way fails, and with it the request.
	_ = c.Conn.Close()
}

// closeForRoom closes the connection if it waits for a request, or for the rest of its head.
func (c *Conn) closeForRoom(now time.Time) bool {
	return c.closeIf(now, MadeRoom, func() bool {
		return (c.state == connNew || c.state == connReading || c.state == connIdle) && c.framer.phase != frameHeadEnded
	})
}
