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

	"chivedrift/chivetime"
	"chivedrift/chivewire"
)

var (
	// errSecondDial ends an attempt that net/http would otherwise retry on a second connection.
	errSecondDial = errors.New("endpoint closed the idle connection; a second dial is not allowed")
	// errWriteBlocked rejects a write after the request was declared unsent.
	errWriteBlocked = errors.New("attempt was cancelled, or its endpoint closed to requests, before its first byte was written")
	errClosed       = errors.New("connection is closed")
)

const (
	// dialTimeout limits connecting to an endpoint in the same region. One that does not accept within this time is down or
	// unreachable, and another one should get the request while its target latency can still be met.
	dialTimeout = 400 * time.Millisecond
	// dialRoundTrips is the number of round trips of a connection through a peer in the endpoint's region: one that this
	// node's own attempt may take before, the connection to the peer, and the request to it.
	dialRoundTrips = 3
	// defaultIdleTimeout is how long an idle connection is kept if the endpoint announces no timeout.
	defaultIdleTimeout = 3 * time.Second
	// idleTimeoutShare is the share of the endpoint's idle timeout for which a connection is reused. If the endpoint
	// closes a connection just as a request is sent, it is unknown whether the request ran.
	idleTimeoutShare = 0.6
	// maxIdlePerEndpoint limits the idle connections kept to one endpoint.
	maxIdlePerEndpoint   = 32
	connectionBufferSize = 4 << 10
	sweepInterval        = time.Second
)

// A connection is a connection to one endpoint, with its own transport, which dials only once.
//
// net/http retries a request by itself if a reused connection fails before the response and the request looks
// idempotent: a GET, or one with an Idempotency-Key header. The endpoint may have run the first copy, so a request that
// must not run twice could run twice, and retries would bypass the budget. Refusing the second dial prevents these
// retries. If the connection fails before the first byte was written, the write state proves that the request was not
// sent.
type connection struct {
	transport  *http.Transport
	network    chivewire.Network
	self       string
	endpointID string
	// unsolicited counts the connections on which the endpoint sent bytes while no request was in flight.
	unsolicited *unsolicitedBytes
	// rejected means that such bytes have closed this connection.
	rejected atomic.Bool
	// dialTimeout limits connecting to the endpoint.
	dialTimeout time.Duration

	dialled    atomic.Bool
	closed     atomic.Bool
	writeState atomic.Int32
	mu         sync.Mutex
	conn       net.Conn

	// withdrawn means that stillWanted has kept a request from being sent.
	withdrawn atomic.Bool
	// stillWanted reports, before the first byte of the request is written, whether it may still be sent.
	stillWanted func() bool

	// reused means that the connection carried other requests before the present one.
	reused bool
	// arrival is how long the present head or event has been arriving.
	arrival arrival
	// head checks the heads of responses; nil until the connection is established.
	head *chivewire.HeadReader
	// isLate recognizes late responses while a request waits for its own; nil otherwise. late counts them.
	isLate      atomic.Pointer[isLateFunc]
	late        atomic.Int64
	idleSince   time.Time
	idleTimeout time.Duration
}

const (
	requestUnsent int32 = iota
	requestMayBeSent
	requestBlocked
)

func (p *connectionPool) newConnection(endpointID string, timeout time.Duration) *connection {
	c := &connection{network: p.network, self: p.self, endpointID: endpointID, unsolicited: &p.unsolicited, dialTimeout: timeout, idleTimeout: defaultIdleTimeout}
	c.transport = &http.Transport{
		DialContext: c.dial, MaxIdleConnsPerHost: 1, DisableCompression: true, WriteBufferSize: connectionBufferSize, ReadBufferSize: connectionBufferSize,
		MaxResponseHeaderBytes: maxHeadBytes,
	}
	return c
}

func (c *connection) dial(ctx context.Context, _, address string) (net.Conn, error) {
	if c.dialled.Swap(true) {
		return nil, errSecondDial
	}
	ctx, cancel := context.WithTimeout(ctx, c.dialTimeout)
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
	tracked := &trackedConn{Conn: conn, connection: c}
	c.head = chivewire.NewHeadReader(ownReader{tracked})
	return tracked, nil
}

// resetWriteState prepares the connection to detect the first byte of the next request. A connection that was blocked stays so.
func (c *connection) resetWriteState() {
	c.writeState.CompareAndSwap(requestMayBeSent, requestUnsent)
}

// mayHaveSent reports whether a byte of the request may have been sent. If none was, it blocks all later writes: after
// a cancellation net/http may return while its writer is still about to write.
func (c *connection) mayHaveSent() bool {
	c.writeState.CompareAndSwap(requestUnsent, requestBlocked)
	return c.writeState.Load() == requestMayBeSent
}

// close closes the connection, even while it is being dialled.
func (c *connection) close() {
	c.closed.Store(true)
	c.mu.Lock()
	conn := c.conn
	c.mu.Unlock()
	if conn != nil {
		// The connection is discarded, so an error on closing it does not matter.
		_ = conn.Close()
	}
	c.transport.CloseIdleConnections()
}

// staleConn is a connection that may become worse than a new one.
type staleConn interface {
	// Stale reports whether new requests should not use the connection.
	Stale() bool
}

// relayedConn is a connection through a peer.
type relayedConn interface {
	// Peer returns the address of the peer.
	Peer() string
}

// through returns the address of the peer that the connection goes through; empty for none.
func (c *connection) through() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if relayed, ok := c.conn.(relayedConn); ok {
		return relayed.Peer()
	}
	return ""
}

// isOpened reports whether the connection was established.
func (c *connection) isOpened() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.conn != nil
}

// isReusable reports whether the connection may carry another request.
func (c *connection) isReusable(now time.Time) bool {
	if c.closed.Load() || now.Sub(c.idleSince) >= c.idleTimeout {
		return false
	}
	c.mu.Lock()
	conn := c.conn
	c.mu.Unlock()
	stale, ok := conn.(staleConn)
	return !ok || !stale.Stale()
}

// trackedConn tells its connection what was written and received, and hides late responses from net/http.
type trackedConn struct {
	net.Conn
	connection *connection
	// held are received bytes that were not read yet.
	held []byte
}

// Write marks the request as sent before it writes, so that a write that fails part-way still counts.
func (c *trackedConn) Write(data []byte) (int, error) {
	if c.connection.writeState.Load() == requestUnsent && !c.connection.stillWanted() && c.connection.writeState.CompareAndSwap(requestUnsent, requestBlocked) {
		c.connection.withdrawn.Store(true)
	}
	c.connection.writeState.CompareAndSwap(requestUnsent, requestMayBeSent)
	if c.connection.writeState.Load() == requestBlocked {
		return 0, errWriteBlocked
	}
	return c.Conn.Write(data) //nolint:wrapcheck // net/http wraps it
}

// receive receives bytes from the endpoint, unless no request is in flight or a head or an event has been arriving for too long.
func (c *trackedConn) receive(data []byte) (int, error) {
	if c.connection.arrival.isTooLong() {
		return 0, errArrivesTooLong
	}
	n, err := c.Conn.Read(data)
	if n > 0 {
		if c.connection.rejectsReceived() {
			return 0, errUnsolicited
		}
		c.connection.arrival.receive(time.Now())
	}
	return n, err //nolint:wrapcheck // net/http wraps it
}

// Close marks the connection as closed, so that it is not reused.
func (c *trackedConn) Close() error {
	c.connection.closed.Store(true)
	return c.Conn.Close() //nolint:wrapcheck // the error is not used
}

// connectionPool holds the idle connections by the endpoint's incarnation. The address would be no safe key, since
// another endpoint may get it later; and a restarted process has none of the connections of its predecessor.
type connectionPool struct {
	network chivewire.Network
	self    string
	mu      sync.Mutex
	idle    map[string][]*connection
	opened  int64
	reused  int64

	unsolicited unsolicitedBytes
}

func newConnectionPool(network chivewire.Network, self string) *connectionPool {
	return &connectionPool{network: network, self: self, idle: make(map[string][]*connection)}
}

// get returns the most recently used idle connection to an endpoint, or a new one, which takes at most the timeout.
func (p *connectionPool) get(target Target, timeout time.Duration, forceNew bool) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	now, endpoint := time.Now(), target.Incarnation
	idle := p.idle[endpoint]
	for len(idle) > 0 && !forceNew {
		c := idle[len(idle)-1]
		idle = idle[:len(idle)-1]
		p.idle[endpoint] = idle
		if c.isReusable(now) {
			p.reused++
			c.reused = true
			c.resetWriteState()
			return c
		}
		c.close()
	}
	p.opened++
	return p.newConnection(target.ID, timeout)
}

// put keeps a connection after a complete response; the header gives the endpoint's idle timeout.
func (p *connectionPool) put(endpoint string, c *connection, header http.Header) {
	c.idleTimeout = idleTimeoutOf(header)
	c.idleSince = time.Now()
	// From now on, whatever the endpoint sends answers no request.
	c.resetWriteState()
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.closed.Load() || len(p.idle[endpoint]) >= maxIdlePerEndpoint {
		c.close()
		return
	}
	p.idle[endpoint] = append(p.idle[endpoint], c)
}

// idleTimeoutOf returns how long to keep an idle connection, from the endpoint's Keep-Alive header.
func idleTimeoutOf(header http.Header) time.Duration {
	for _, field := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
		if err == nil && seconds > 0 {
			return chivetime.Seconds(seconds * idleTimeoutShare)
		}
	}
	return defaultIdleTimeout
}

// sweep closes connections whose idle timeout has passed.
func (p *connectionPool) sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for endpoint, idle := range p.idle {
		reusable := idle[:0]
		for _, c := range idle {
			if c.isReusable(now) {
				reusable = append(reusable, c)
			} else {
				c.close()
			}
		}
		if len(reusable) == 0 {
			delete(p.idle, endpoint)
			continue
		}
		p.idle[endpoint] = reusable
	}
}

func (p *connectionPool) closeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, idle := range p.idle {
		for _, c := range idle {
			c.close()
		}
	}
	p.idle = make(map[string][]*connection)
}

func (p *connectionPool) counts() (opened, reused int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened, p.reused
}
