package chivecaller

import (
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Conn is a caller's connection with its state.
//
// A graceful shutdown closes idle connections. net/http considers a connection idle until it has read a complete
// header, so its own Shutdown can close a connection on which a request is being read: the request would be forwarded
// and its caller would get no response. Here closing a connection and reading a request from it are transitions of
// the same state, of which only one succeeds.
type Conn struct {
	net.Conn
	conns *Conns
	// socket is nil if bytes can only be read as they come.
	socket *socket
	mu     sync.Mutex
	state  connState
	// framer has gone on by the bytes that were read through the socket.
	framer framer
	// head is what is known of the size of the current request's head.
	head head
	// id is that of the request being served, or of the last one.
	id string
	// waitingSince is the time since which the connection has been waiting for a request or, while one is being read,
	// for the rest of its header.
	waitingSince time.Time
	// hasServed means that a response has been written out.
	hasServed bool
	// requestRead means that the current request has been read as a whole, so that further bytes belong to another one.
	requestRead bool
	// isFollowed means that the first byte of another request arrived before the handler of the current one returned, and
	// hasReadOn that it was read.
	isFollowed bool
	hasReadOn  bool
	// answered means that the handler of the current request has returned, which may be before its response was written.
	answered bool
	// wrote means that something was written since the last request ended, writeFailed that a write has failed.
	wrote       bool
	writeFailed bool
	// writingSince is the time since which a part of a response waits to be written; zero if none does.
	writingSince time.Time
	// deliveredSince is the time since which the caller has got all that was sent and its end of the connection, zero before.
	deliveredSince time.Time
	// resets means that closing the connection resets it.
	resets bool
	// onEnd is called when the response to the current request has ended; nil if there is none.
	onEnd func(Ending)
	// requests is the number of requests that the connection has carried, readErr the error of the last read.
	requests int
	readErr  error
}

type connState uint8

const (
	// connNew is a connection of which nothing has been read.
	connNew connState = iota
	// connReading is a connection of which a part of a request has been read.
	connReading
	connServing
	// connAnswered is a connection whose response has been written out. A part of the next request may have been read.
	connAnswered
	// connIdle is a connection that waits for its next request.
	connIdle
	connClosed
)

// Ending is how the response to a request ended.
type Ending uint8

const (
	// Written means that the response was written out as a whole.
	Written Ending = iota
	// Broken means that the connection ended before: the response was aborted, or the caller has left.
	Broken
	// Cut means that the shutdown closed the connection before.
	Cut
)

var endingNames = [...]string{"written", "broken", "cut"}

// String returns the name of the ending as it is logged.
func (e Ending) String() string { return endingNames[e] }

type connContextKey struct{}

// Of returns the connection of a request, or nil if it did not arrive through a tracked server.
func Of(r *http.Request) *Conn {
	conn, ok := r.Context().Value(connContextKey{}).(*Conn)
	if !ok {
		return nil
	}
	return conn
}

// StartServing marks the connection as serving a request; it returns false if the connection has been closed.
func (c *Conn) StartServing(r *http.Request) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == connClosed {
		return false
	}
	if !c.head.complete() {
		return false
	}
	c.framer.begin(r)
	c.state, c.requestRead, c.isFollowed, c.hasReadOn, c.answered = connServing, false, false, false, false
	c.requests++
	return true
}

// RequestRead states that the current request has been read as a whole.
func (c *Conn) RequestRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requestRead = true
}

// OnResponseEnd sets a function that is called once, when the response to the current request has ended.
func (c *Conn) OnResponseEnd(onEnd func(Ending)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onEnd = onEnd
}

// Answered states that the handler of the current request returns without aborting the response.
func (c *Conn) Answered() {
	isFollowed := c.conns.closesWhenIdle() && len(c.behind()) > 0
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answered, c.isFollowed = true, c.isFollowed || isFollowed
}

// Read reads from the connection. Once the connection has been closed, nothing that arrives is passed on.
func (c *Conn) Read(data []byte) (int, error) {
	if !c.awaitBytes() {
		c.finish()
		return 0, io.EOF
	}
	if !c.readsAhead(len(data)) {
		n, err := c.readCurrent(data)
		c.readEnded(err)
		return n, err
	}
	n, err := c.Conn.Read(data)
	if n > 0 && !c.beginReading(len(data)) {
		c.finish()
		return 0, io.EOF
	}
	c.readEnded(err)
	return n, err //nolint:wrapcheck // a connection returns the errors of the one below
}

// awaitBytes states that the server needs more bytes of the connection: if it has answered a request, it holds no whole request
// any more. It returns false if the connection is to be closed now, or has been.
func (c *Conn) awaitBytes() bool {
	if c.becomeWaiting() {
		c.reportClosing(Unused, false)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state != connClosed
}

// becomeWaiting ends the state in which a response has been written out; it returns true if it closes the connection.
func (c *Conn) becomeWaiting() bool {
	closesWhenIdle := c.conns.closesWhenIdle()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state != connAnswered {
		return false
	}
	c.framer.next()
	switch {
	case c.socket != nil && c.framer.phase == frameUnknown:
		// Where the next request begins is not known, so that nothing bounds its head.
		c.state = connClosed
	case c.isFollowed:
		c.state, c.waitingSince = connReading, time.Now()
	case closesWhenIdle:
		// A response that started before the shutdown carried no "Connection: close". If its connection stayed open, the
		// caller could send another request too late for it to be completed.
		c.state = connClosed
	default:
		c.state = connIdle
	}
	return c.state == connClosed
}

// backgroundReadSize is the size of the reads by which net/http notices the end of a connection while a request is served.
const backgroundReadSize = 1

// beginReading states that bytes have been read into a buffer of the given size. It returns false if the connection has been closed, so that they do not count.
func (c *Conn) beginReading(size int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.state == connNew, c.state == connIdle:
		c.state, c.waitingSince, c.requestRead = connReading, time.Now(), false
	case c.state == connServing && size == backgroundReadSize && !c.answered:
		c.isFollowed, c.hasReadOn = true, true
	}
	return c.state != connClosed
}

const (
	// writeTimeout is how long a caller may read nothing of a response.
	writeTimeout = 30 * time.Second
	// writePieceSize is the part of a response that has to be written in that time, in bytes.
	writePieceSize = 64 << 10
)

// Write writes to the connection. It fails if the caller does not read for writeTimeout.
func (c *Conn) Write(data []byte) (written int, err error) {
	for piece := range slices.Chunk(data, writePieceSize) {
		var n int
		n, err = c.writePiece(piece)
		if written += n; err != nil {
			break
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wrote, c.writingSince = true, time.Time{}
	c.writeFailed = c.writeFailed || err != nil
	return written, err
}

func (c *Conn) writePiece(piece []byte) (int, error) {
	now := time.Now()
	c.mu.Lock()
	c.writingSince = now
	c.mu.Unlock()
	// It fails only on a connection that has been closed, as the write does.
	_ = c.SetWriteDeadline(now.Add(writeTimeout))
	return c.Conn.Write(piece) //nolint:wrapcheck // as in Read
}

// becomeAnswered ends the request whose response was written out.
func (c *Conn) becomeAnswered() {
	c.mu.Lock()
	c.waitingSince, c.hasServed, c.wrote = time.Now(), true, false
	if c.state == connServing {
		c.state = connAnswered
	}
	c.mu.Unlock()
	c.releaseHead()
	c.end(Written)
}

// end reports how the response to the current request ended.
func (c *Conn) end(ending Ending) {
	c.mu.Lock()
	onEnd := c.onEnd
	c.onEnd = nil
	c.mu.Unlock()
	if onEnd != nil {
		onEnd(ending)
	}
}
