package chiveforward

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"chivedrift/chivewire"
)

var (
	// errDialledTwice ends an attempt that net/http would repeat on a second connection.
	errDialledTwice = errors.New("the connection had been closed while it was idle")
	// errSealed stops a write that would come after the request was judged not to have been sent.
	errSealed = errors.New("the attempt was given up before its first byte")
	errClosed = errors.New("the connection is closed")
)

const (
	// connectionDial bounds the connection to an endpoint: one that does not take a connection in this time is dead or cut off,
	// and another one should get the request while its target can still be met.
	connectionDial = 400 * time.Millisecond
	// connectionIdle is how long a connection is kept for which the endpoint names no time.
	connectionIdle = 3 * time.Second
	// connectionMargin is the part of the endpoint's own idle time that a connection is used for: one that is closed by the
	// endpoint just as a request is sent leaves in the dark whether the request ran.
	connectionMargin = 0.6
	// connectionsPerEndpoint bounds the idle connections kept to one endpoint.
	connectionsPerEndpoint = 32
	connectionBuffer       = 4 << 10
	sweepEvery             = time.Second
)

// A connection leads to one endpoint, with a transport of its own that never dials twice.
//
// net/http repeats a request by itself when a reused connection dies before the answer and the request looks harmless: a
// GET, or one with an Idempotency-Key header. The endpoint may have run the first copy; one would notice a second run of a
// request that may run once, or repeats that no budget counted. With a second dial refused there is nothing to repeat on.
// The count of written bytes proves that a request did not arrive when its connection broke before the first of them.
type connection struct {
	transport *http.Transport
	network   chivewire.Network
	self      string

	dialled atomic.Bool
	closed  atomic.Bool
	state   atomic.Int32
	mu      sync.Mutex
	conn    net.Conn

	idleSince time.Time
	keep      time.Duration
}

const (
	connectionUntouched int32 = iota
	connectionTouched
	connectionSealed
)

func newConnection(network chivewire.Network, self string) *connection {
	c := &connection{network: network, self: self, keep: connectionIdle}
	c.transport = &http.Transport{
		DialContext: c.dial, MaxIdleConnsPerHost: 1, DisableCompression: true, WriteBufferSize: connectionBuffer, ReadBufferSize: connectionBuffer,
	}
	return c
}

func (c *connection) dial(ctx context.Context, _, address string) (net.Conn, error) {
	if c.dialled.Swap(true) {
		return nil, errDialledTwice
	}
	ctx, cancel := context.WithTimeout(ctx, connectionDial)
	defer cancel()
	conn, err := c.network.Dial(ctx, c.self, address)
	if err != nil {
		c.closed.Store(true)
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed.Load() {
		_ = conn.Close()
		return nil, errClosed
	}
	c.conn = conn
	return &countedConn{Conn: conn, connection: c}, nil
}

// arm makes the connection ready to count the bytes of the next request.
func (c *connection) arm() { c.state.Store(connectionUntouched) }

// touched reports whether a byte of the request may have left, and makes sure that none does from then on if none has:
// net/http answers a cancelled request while its writer may be just about to write.
func (c *connection) touched() bool {
	c.state.CompareAndSwap(connectionUntouched, connectionSealed)
	return c.state.Load() == connectionTouched
}

// close ends the connection, also when its dial is still under way.
func (c *connection) close() {
	c.closed.Store(true)
	c.mu.Lock()
	conn := c.conn
	c.mu.Unlock()
	if conn != nil {
		// The connection is given up; what its closing says does not matter any more.
		_ = conn.Close()
	}
	c.transport.CloseIdleConnections()
}

// fresh reports whether the connection may carry another request.
func (c *connection) fresh(now time.Time) bool {
	return !c.closed.Load() && now.Sub(c.idleSince) < c.keep
}

type countedConn struct {
	net.Conn
	connection *connection
}

// Write marks the request as sent before the bytes leave, so that a write that fails half-way still counts.
func (c *countedConn) Write(data []byte) (int, error) {
	c.connection.state.CompareAndSwap(connectionUntouched, connectionTouched)
	if c.connection.state.Load() == connectionSealed {
		return 0, errSealed
	}
	return c.Conn.Write(data) //nolint:wrapcheck // net/http wraps it
}

// Close marks the connection, so that it is not chosen for another request.
func (c *countedConn) Close() error {
	c.connection.closed.Store(true)
	return c.Conn.Close() //nolint:wrapcheck // nobody reads it
}

// connections are the idle connections by the incarnation of the endpoint: its address may belong to another one later, and a process that started
// again has none of those to the one before it.
type connections struct {
	network chivewire.Network
	self    string
	mu      sync.Mutex
	idle    map[string][]*connection
	opened  int64
	reused  int64
}

func newConnections(network chivewire.Network, self string) *connections {
	return &connections{network: network, self: self, idle: make(map[string][]*connection)}
}

// get returns the connection to an endpoint that was used last, or a new one.
func (p *connections) get(endpoint string, fresh bool) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	kept := p.idle[endpoint]
	for len(kept) > 0 && !fresh {
		c := kept[len(kept)-1]
		kept = kept[:len(kept)-1]
		p.idle[endpoint] = kept
		if c.fresh(now) {
			p.reused++
			c.arm()
			return c
		}
		c.close()
	}
	p.opened++
	return newConnection(p.network, p.self)
}

// put keeps a connection whose answer came whole; the header tells for how long the endpoint keeps it.
func (p *connections) put(endpoint string, c *connection, header http.Header) {
	c.keep = keepFor(header)
	c.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.closed.Load() || len(p.idle[endpoint]) >= connectionsPerEndpoint {
		c.close()
		return
	}
	p.idle[endpoint] = append(p.idle[endpoint], c)
}

// keepFor reads how long an endpoint keeps an idle connection.
func keepFor(header http.Header) time.Duration {
	for _, field := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
		if err == nil && seconds > 0 {
			return time.Duration(seconds * connectionMargin * float64(time.Second))
		}
	}
	return connectionIdle
}

// sweep closes connections that were idle for too long.
func (p *connections) sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for endpoint, kept := range p.idle {
		fresh := kept[:0]
		for _, c := range kept {
			if c.fresh(now) {
				fresh = append(fresh, c)
			} else {
				c.close()
			}
		}
		if len(fresh) == 0 {
			delete(p.idle, endpoint)
			continue
		}
		p.idle[endpoint] = fresh
	}
}

func (p *connections) closeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, kept := range p.idle {
		for _, c := range kept {
			c.close()
		}
	}
	p.idle = make(map[string][]*connection)
}

func (p *connections) counts() (opened, reused int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened, p.reused
}
