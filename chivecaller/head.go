package chivecaller

import (
	"bytes"
	"fmt"
	"net/http"
	"time"

	"chivedrift/chivememory"
)

const (
	// requestLineBytes is the room for the request line, and for what a head has besides its fields.
	requestLineBytes = 16 << 10
	// freeHeadBytes is the memory of a head that is a part of its connection's.
	freeHeadBytes = 8 << 10
	// headCopies is how often a head is held while it is parsed, lineBytes what each of its lines takes besides.
	headCopies = 2
	lineBytes  = 256
	// refusalTimeout limits the time for writing the refusal of a head.
	refusalTimeout = time.Second
)

// head is how much of the head of a request has been read.
type head struct {
	// bytes is its size, held what it takes in memory.
	bytes, held int64
	// memory is nil until the head takes more than freeHeadBytes.
	memory *chivememory.Reservation
	// refusal is the status of a head that is not read to its end; zero if there is none.
	refusal int
}

// complete states that the head has been read; it returns false if it has given way to another request.
func (h *head) complete() bool { return h.refusal == 0 && (h.memory == nil || h.memory.Complete()) }

// SetHeadLimit sets the size of the largest header of a request in bytes, without the request line; zero means no limit.
func (c *Conns) SetHeadLimit(headerBytes int64) { c.headLimit.Store(headerBytes) }

// readHead counts a part of a head that is being read. It returns false if the head is refused: it is too large, or there is no memory for
// it. The caller holds the lock.
func (c *Conn) readHead(part []byte) bool {
	c.head.bytes += int64(len(part))
	more := int64(headCopies*len(part) + lineBytes*bytes.Count(part, []byte{'\n'}))
	c.head.held += more
	limit := c.conns.headLimit.Load()
	switch {
	case limit > 0 && c.head.bytes > limit+requestLineBytes:
		c.head.refusal = http.StatusRequestHeaderFieldsTooLarge
	case c.head.held > freeHeadBytes && !c.reserveHead(more):
		c.head.refusal = http.StatusServiceUnavailable
	default:
		return true
	}
	return false
}

// reserveHead reserves memory for a further part of a head.
func (c *Conn) reserveHead(more int64) bool {
	if c.conns.bounds.Memory == nil {
		return true
	}
	if c.head.memory == nil {
		c.head.memory = c.conns.bounds.Memory.Begin(c.endHead)
	}
	return c.head.memory.Add(more)
}

// endHead makes the reader of a head refuse it.
func (c *Conn) endHead() { c.endHeadIf(func() bool { return true }) }

// endStalledHead makes the reader of a head refuse it, unless the head has come or its next bytes have; it returns whether it is refused.
func (c *Conn) endStalledHead() bool {
	return c.endHeadIf(func() bool { return c.framer.phase != frameHeadEnded && c.head.refusal == 0 && !c.socket.hasBytes() })
}

// endHeadIf makes the reader of a head refuse it if it matches, which is called with the lock held.
func (c *Conn) endHeadIf(matches func() bool) (ends bool) {
	c.mu.Lock()
	ends = c.state == connReading && matches()
	if ends {
		c.head.refusal = http.StatusServiceUnavailable
	}
	c.mu.Unlock()
	if ends {
		// It fails only on a connection that has been closed.
		_ = c.SetReadDeadline(time.Unix(1, 0))
	}
	return ends
}

// releaseHead returns the memory of the current request's head.
func (c *Conn) releaseHead() {
	c.mu.Lock()
	memory := c.head.memory
	c.head = head{}
	c.mu.Unlock()
	if memory != nil {
		memory.Release()
	}
}

// refuseHead answers a request whose head is not read to its end, and closes the connection; it returns false if the head is not refused.
func (c *Conn) refuseHead() bool {
	c.mu.Lock()
	status := c.head.refusal
	if status == 0 || c.state == connServing || c.state == connClosed {
		c.mu.Unlock()
		return false
	}
	// What follows is the rest of the head, which is discarded.
	c.state, c.framer = connClosed, framer{phase: frameUnknown}
	c.mu.Unlock()
	c.conns.counters.heads.Add(1)
	if c.SetWriteDeadline(time.Now().Add(refusalTimeout)) == nil {
		// An error means that the caller has left.
		_, _ = c.Conn.Write(headRefusal(status))
	}
	c.finish()
	return true
}

// headRefusal returns the response to a request whose head was not read to its end, and which has not run.
func headRefusal(status int) []byte {
	text := fmt.Sprintf("%d %s", status, http.StatusText(status))
	retry := ""
	if status == http.StatusServiceUnavailable {
		retry = "Retry-After: 1\r\n"
	}
	return fmt.Appendf(nil, "HTTP/1.1 %s\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: %d\r\n%sConnection: close\r\n\r\n%s", text, len(text), retry, text)
}
