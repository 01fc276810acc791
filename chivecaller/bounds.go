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
	// While others are to be accepted, firstBytesWait is how long a new connection is kept for the first bytes of a request, headWait how long
	// a head may take from its first byte, bodyWait how long a body may bring nothing, idleWait how long a connection is kept for its next
	// request, and unreadWait how long a caller may read nothing of a response.
	firstBytesWait = 20 * time.Millisecond
	headWait       = 50 * time.Millisecond
	bodyWait       = 250 * time.Millisecond
	idleWait       = 100 * time.Millisecond
	unreadWait     = 2 * time.Second
	// deliveredWait is how long a caller that has got all it was sent may take to close its end while others are to be accepted.
	deliveredWait = 50 * time.Millisecond
	// behindBytes is how much may wait behind a request while others are to be accepted; it is looked at once in behindInterval.
	behindBytes    = 64 << 10
	behindInterval = 10 * time.Millisecond
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

// makeRoom ends the connection that has waited the longest: for its first request, for the rest of a head or of a body, for its next request, or
// for its caller to read a response, the first of these that there is; without one, those on which many bytes wait behind a request. It returns
// false if there is none.
func (c *Conns) makeRoom(now time.Time) bool {
	conns := c.all()
	var w waits
	for _, conn := range conns {
		w.add(conn, now)
	}
	if len(conns) >= c.bounds.Connections+closingSlack && !w.closing.discard() {
		return false
	}
	if w.inUse < c.bounds.Connections {
		return true
	}
	if w.first.close(now) || w.head.refuse() || c.endSlowRequest() || w.next.close(now) || w.unread.cut() || c.cutFollowed(now, conns) {
		c.counters.madeRoom.Add(1)
		return true
	}
	return false
}

// endSlowRequest refuses a request that has stalled or arrives too slowly; it returns false if there is none.
func (c *Conns) endSlowRequest() bool {
	return c.bounds.Memory != nil && c.bounds.Memory.EndOne(bodyWait)
}

// cutFollowed closes the connections on which many bytes wait behind a request, if they were not looked at just before; it returns false if
// there is none.
func (c *Conns) cutFollowed(now time.Time, conns []*Conn) (found bool) {
	if now.Sub(c.followedAt) < behindInterval {
		return false
	}
	c.followedAt = now
	for _, conn := range conns {
		if conn.hasManyBehind() {
			conn.closeUnread()
			found = true
		}
	}
	return found
}

// waits are the connections that have waited the longest for something.
type waits struct {
	// first waits for its first request, head for the rest of a head, next for its next request, unread for its caller to read, and closing
	// for its caller to close its end.
	first, head, next, unread, closing longestWait
	// inUse is the number of connections that are not being closed.
	inUse int
}

func (w *waits) add(conn *Conn, now time.Time) {
	since := conn.waiting()
	if since.state != connClosed {
		w.inUse++
	}
	wait := now.Sub(since.request)
	switch {
	case since.state == connNew && wait >= firstBytesWait:
		w.first.add(conn, wait)
	case since.state == connReading && wait >= headWait:
		w.head.add(conn, wait)
	case since.state == connIdle && wait >= idleWait:
		w.next.add(conn, wait)
	case since.state == connServing && !since.writing.IsZero() && now.Sub(since.writing) >= unreadWait:
		w.unread.add(conn, now.Sub(since.writing))
	case since.state == connClosed && !since.delivered.IsZero() && now.Sub(since.delivered) >= deliveredWait:
		w.closing.add(conn, now.Sub(since.delivered))
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

// discard closes the connection, whose caller has got all that was sent, unless there is none.
func (l *longestWait) discard() bool {
	if l.conn == nil {
		return false
	}
	l.conn.setDelivered(time.Time{})
	// The response has announced the end to its caller.
	_ = l.conn.Conn.Close()
	return true
}

// refuse refuses the head that is being read on the connection, unless there is none or it has come.
func (l *longestWait) refuse() bool { return l.conn != nil && l.conn.endStalledHead() }

// waiting is the state of a connection, and since when it waits.
type waiting struct {
	state connState
	// request is for a request or the rest of its head, writing for a part of a response to be written, delivered for the caller to close its
	// end; the last two are zero if it does not.
	request, writing, delivered time.Time
}

func (c *Conn) waiting() waiting {
	c.mu.Lock()
	defer c.mu.Unlock()
	return waiting{c.state, c.waitingSince, c.writingSince, c.deliveredSince}
}

// hasManyBehind reports whether more bytes wait behind the request that is being served than a caller sends that waits for its response.
func (c *Conn) hasManyBehind() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state == connServing && c.framer.isBehind() && c.socket.unread() >= behindBytes
}

// closeUnread closes the connection, whose caller does not read the response, or sends on.
func (c *Conn) closeUnread() {
	c.reportClosed(MadeRoom)
	// The write that is under way fails, and with it the request.
	_ = c.Conn.Close()
}

// closeForRoom closes the connection if it waits for a request.
func (c *Conn) closeForRoom(now time.Time) bool {
	return c.closeIf(now, MadeRoom, func() bool { return c.state == connNew || c.state == connIdle })
}
