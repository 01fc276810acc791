package chivecaller

import (
	"log/slog"
)

// Closing is why the node closed a connection.
type Closing uint8

const (
	// BrokenOff means that the response was broken off.
	BrokenOff Closing = iota
	// Announced means that the response, or its request, announced the end of the connection.
	Announced
	// CutByStop means that the shutdown closed all connections.
	CutByStop
	// TimedOut means that the next request did not come in time.
	TimedOut
	// Unused means that the shutdown closed the connection between two requests.
	Unused
	// MadeRoom means that another connection was accepted in its place.
	MadeRoom
)

var closingNames = [...]string{"broken_off", "announced", "cut", "timed_out", "unused", "made_room"}

// String returns the name of the reason as it is logged.
func (c Closing) String() string { return closingNames[c] }

// Unserved is what a caller had sent behind a request when the node closed the connection.
type Unserved struct {
	// ID is that of the request before.
	ID      string
	Closing Closing
	// Read means that bytes had been read, Waiting that others had not.
	Read    bool
	Waiting bool
}

// Attributes returns what is logged of it beside the ID.
func (u Unserved) Attributes() []slog.Attr {
	return []slog.Attr{slog.String("closing", u.Closing.String()), slog.Bool("read", u.Read), slog.Bool("waiting", u.Waiting)}
}

// OnUnserved sets a function that is called when the node closes a connection on which bytes of another request came behind a response. It
// must be called before the server starts.
func (c *Conns) OnUnserved(onUnserved func(Unserved)) { c.onUnserved = onUnserved }

// SetID sets the ID of the request that is being served.
func (c *Conn) SetID(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.id = id
}

// reportClosing reports that the node closes the connection, and whether bytes of another request have come. read means that some of
// them have been read.
func (c *Conn) reportClosing(closing Closing, read bool) {
	c.reportClosed(closing)
	c.mu.Lock()
	id, socket := c.id, c.socket
	c.mu.Unlock()
	waiting := socket.hasBytes()
	if c.conns.onUnserved == nil || !read && !waiting {
		return
	}
	c.conns.onUnserved(Unserved{ID: id, Closing: closing, Read: read, Waiting: waiting})
}
