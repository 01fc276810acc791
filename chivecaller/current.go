package chivecaller

import (
	"errors"
	"io"
	"os"
	"time"
)

// followedPeekSize is how far the end of the current request is looked for when another one may be behind it, in bytes.
const followedPeekSize = 4 << 10

// readsAhead reports whether a read of a size takes bytes as they come: the network knows nothing else, or the server reads on behind
// what is known of the request, whose end is not known then.
func (c *Conn) readsAhead(size int) bool {
	if c.socket == nil {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.framer.isBehind() && size > backgroundReadSize {
		c.framer = framer{phase: frameUnknown}
	}
	return c.framer.phase == frameUnknown
}

// readCurrent reads bytes of the current request. Those of another one stay with the kernel until the response is complete: if it is
// broken off, they have not been read.
func (c *Conn) readCurrent(data []byte) (int, error) {
	c.mu.Lock()
	phase, left := c.framer.phase, c.framer.left
	c.mu.Unlock()
	if phase == frameBody {
		return c.readBody(data[:min(int64(len(data)), left)])
	}
	n, err := c.socket.read(data)
	if err != nil && c.refuseHead() {
		return 0, os.ErrDeadlineExceeded
	}
	if errors.Is(err, errGivenUp) {
		c.finish()
		return 0, io.EOF
	}
	return n, err
}

// readBody reads bytes of a body.
func (c *Conn) readBody(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.framer.advance(data[:n])
	return n, err //nolint:wrapcheck // as in Read
}

// takeCurrent returns how many of the bytes that wait are to be read: those of the current request. The first ones begin it, unless the
// connection has been closed.
func (c *Conn) takeCurrent(waiting []byte) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == connClosed {
		return takeNone
	}
	isHead := c.framer.phase == frameHead
	n := c.framer.advance(waiting)
	if n > 0 && (c.state == connNew || c.state == connIdle) {
		c.state, c.waitingSince, c.requestRead = connReading, time.Now(), false
	}
	if isHead && !c.readHead(waiting[:n]) {
		return takeNone
	}
	return n
}

// takeRest returns how many of the bytes that wait are the rest of a request that has been answered.
func (c *Conn) takeRest(waiting []byte) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.framer.phase == frameHead {
		return 0
	}
	return c.framer.advance(waiting)
}

// IsFollowed reports whether the current request has come as a whole, and behind it the head of another one.
func (c *Conn) IsFollowed() bool {
	next := framer{}
	next.advance(c.behind())
	return next.isBehind()
}

// behind returns the bytes that wait behind the current request if it has come as a whole, as far as they are looked at.
func (c *Conn) behind() []byte {
	if c.socket == nil {
		return nil
	}
	waiting := make([]byte, followedPeekSize)
	waiting = waiting[:c.socket.waiting(waiting)]
	c.mu.Lock()
	rest := c.framer
	c.mu.Unlock()
	if rest.phase == frameHeadEnded {
		return nil
	}
	return waiting[rest.advance(waiting):]
}
