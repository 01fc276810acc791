package chivecaller

import (
	"errors"
	"os"
	"time"
)

const (
	// lingerTimeout limits the wait for the caller to close its end after the last response.
	lingerTimeout = 500 * time.Millisecond
	// quietWait is how long nothing must have come of a further request before the connection is closed. Closing one with
	// unread bytes resets it, which destroys what the caller has not read yet of the last response.
	quietWait = 100 * time.Millisecond
	// deliveryTimeout limits the wait for the caller to get the last response if closing the connection would reset it.
	deliveryTimeout = 10 * time.Second
	// deliveryPollInterval is the least interval at which it is checked whether the caller has got it; deliveryPollShare is the share of
	// the wait so far by which it grows.
	deliveryPollInterval = 20 * time.Millisecond
	deliveryPollShare    = 0.1
	// discardBufferSize is the size of the buffer for bytes that are not used.
	discardBufferSize = 4 << 10
)

// Close closes the connection. If a response was written last, the caller gets it as a whole and the end of the connection, and
// has some time to close its own end.
func (c *Conn) Close() error {
	c.mu.Lock()
	ending, closing := Broken, BrokenOff
	if c.answered && !c.writeFailed {
		ending, closing = Written, Announced
	}
	wasServing, hasReadOn := c.state == connServing, c.hasReadOn
	lingers := c.state != connClosed && !c.writeFailed && !c.resets && (c.wrote || c.socket.hasBytes())
	c.state = connClosed
	c.mu.Unlock()
	c.end(ending)
	if wasServing {
		c.reportClosing(closing, hasReadOn)
	}
	if lingers {
		c.finish()
	}
	return c.Conn.Close() //nolint:wrapcheck // as in Read
}

// CloseWrite ends what is sent to the caller, if the network supports it.
func (c *Conn) CloseWrite() error {
	closer, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return errNoCloseWrite
	}
	return closer.CloseWrite()
}

// finish ends what is sent to the caller and waits until it has closed its end, for some time. It reads the rest of a request that
// was answered early and, where bytes can only be read as they come, another request, which is not served.
func (c *Conn) finish() {
	c.mu.Lock()
	requestRead, resets := c.requestRead, c.resets
	c.mu.Unlock()
	if resets || c.CloseWrite() != nil {
		return
	}
	if c.socket != nil {
		c.awaitDelivery()
		return
	}
	limit := time.Now().Add(lingerTimeout)
	end, buffer := limit, make([]byte, discardBufferSize)
	for {
		if c.SetReadDeadline(end) != nil {
			return
		}
		if _, err := c.Conn.Read(buffer); err != nil {
			return
		}
		if end = time.Now().Add(quietWait); !requestRead || end.After(limit) {
			end = limit
		}
	}
}

// ResetOnClose sets whether closing the connection resets it, also where the process ends, so that its end is not taken for that
// of a response that ends with the connection. A network without resets only closes it at once.
func (c *Conn) ResetOnClose(resets bool) {
	c.mu.Lock()
	c.resets = resets
	c.mu.Unlock()
	seconds := -1
	if resets {
		seconds = 0
	}
	if conn, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		// It fails only on a connection that has been closed.
		_ = conn.SetLinger(seconds)
	}
}

// awaitDelivery waits until the caller has got all that was sent and has closed its end. Bytes of another request are left unread, and
// closing the connection then resets it, so that the caller knows that they were.
func (c *Conn) awaitDelivery() {
	// The server may still be reading if another goroutine closes the connection.
	rest := newSocket(c.Conn, c.takeRest)
	buffer, began := make([]byte, discardBufferSize), time.Now()
	var delivered time.Time
	for now := began; now.Sub(began) < deliveryTimeout; now = time.Now() {
		if c.SetReadDeadline(now.Add(deliveryInterval(now.Sub(began)))) != nil {
			return
		}
		if _, err := rest.read(buffer); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
		switch rest.state() {
		case tcpFinWait1, tcpLastAck, tcpClosing:
			if now.Sub(began) > lingerTimeout && !rest.hasBytes() {
				// The kernel sends the rest.
				return
			}
		case tcpFinWait2:
			if delivered.IsZero() {
				delivered = now
				c.setDelivered(now)
			}
			if now.Sub(delivered) > lingerTimeout {
				return
			}
		default:
			return
		}
	}
}

// setDelivered sets the time at which the caller had got all that was sent.
func (c *Conn) setDelivered(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deliveredSince = now
}

// deliveryInterval returns the time until the next check of a wait that has lasted for a time.
func deliveryInterval(waited time.Duration) time.Duration {
	return max(deliveryPollInterval, time.Duration(deliveryPollShare*float64(waited)))
}

// cut closes the connection whatever is being served on it.
func (c *Conn) cut() {
	c.mu.Lock()
	wasServing, hasReadOn := c.state == connServing, c.hasReadOn
	c.state = connClosed
	c.mu.Unlock()
	c.end(Cut)
	if wasServing {
		c.reportClosing(CutByStop, hasReadOn)
	}
	// The connection is given up, so an error from closing it does not matter.
	_ = c.Conn.Close()
}

// closeIdle closes the connection if it waits for its next request. A new connection is left open, since its first request is
// about to arrive.
func (c *Conn) closeIdle(now time.Time) {
	c.closeIf(now, Unused, func() bool { return c.state == connIdle })
}

// closeUnused closes the connection if nothing of a request has been read from it.
func (c *Conn) closeUnused(now time.Time) {
	c.closeIf(now, Unused, func() bool { return c.state == connNew || c.state == connIdle })
}

// closeTimedOut closes the connection if it is not serving a request and has been waiting for too long.
func (c *Conn) closeTimedOut(now time.Time, headerTime, idleTime time.Duration) {
	c.closeIf(now, TimedOut, func() bool {
		limit := idleTime
		if c.state == connReading {
			limit = headerTime
		}
		// A request whose head has been read is about to be served.
		return c.state != connServing && c.framer.phase != frameHeadEnded && limit > 0 && now.Sub(c.waitingSince) > limit
	})
}

// closeIf closes the connection if it is open and matches, which is called with the lock held. If a response was written just
// before, only its end is sent: the reader of the connection closes it once the caller has closed its end. A connection on which a
// request waits that is about to be read is left open. It returns whether the connection is closed.
func (c *Conn) closeIf(now time.Time, closing Closing, matches func() bool) (closes bool) {
	c.mu.Lock()
	closes = c.state != connClosed && matches() && !c.socket.hasBytes()
	wasReading := c.state == connReading && c.hasServed
	lingers := c.hasServed && now.Sub(c.waitingSince) < lingerTimeout
	if closes {
		c.state = connClosed
	}
	c.mu.Unlock()
	if closes {
		c.reportClosing(closing, wasReading)
	}
	if !closes || lingers && c.CloseWrite() == nil && c.SetReadDeadline(now.Add(lingerTimeout)) == nil {
		return closes
	}
	// The connection is no longer used, so an error from closing it does not matter.
	_ = c.Conn.Close()
	return true
}

// hasUnread reports whether bytes of a request wait on the connection, and none is being served.
func (c *Conn) hasUnread() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state != connServing && c.state != connClosed && c.socket.hasBytes()
}

// isAnswered reports whether the connection has been closed, or its last response was written out and nothing waits on it.
func (c *Conn) isAnswered() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state == connClosed || (c.state == connAnswered || c.state == connIdle) && !c.socket.hasBytes()
}

// isUnused reports whether nothing of a request has been read from the connection for some time.
func (c *Conn) isUnused(now time.Time, wait time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return (c.state == connNew || c.state == connIdle) && now.Sub(c.waitingSince) >= wait
}
