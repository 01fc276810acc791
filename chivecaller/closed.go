package chivecaller

import (
	"errors"
	"os"
)

// Closed is a connection that the node closed although it was open for further requests.
type Closed struct {
	closing  Closing
	requests int
}

// Closing returns why the node closed it.
func (c Closed) Closing() Closing { return c.closing }

// Requests returns the number of requests that it had carried.
func (c Closed) Requests() int { return c.requests }

// OnClosed sets a function that is called when the node closes a connection that was open for further requests. It must be called
// before the server starts.
func (c *Conns) OnClosed(onClosed func(Closed)) { c.onClosed = onClosed }

// reportClosed reports that the node closes the connection, unless its caller was told so or has left.
func (c *Conn) reportClosed(closing Closing) {
	c.mu.Lock()
	closed, hasLeft := Closed{closing, c.requests}, c.readErr != nil && !errors.Is(c.readErr, os.ErrDeadlineExceeded)
	c.mu.Unlock()
	if c.conns.onClosed != nil && closing != Announced && !hasLeft {
		c.conns.onClosed(closed)
	}
}

// readEnded records the error of the last read, nil if there was none.
func (c *Conn) readEnded(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readErr = err
}
