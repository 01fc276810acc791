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
	// laneDial bounds the connection to an endpoint: one that does not take a connection in this time is dead or cut off,
	// and another one should get the request while its target can still be met.
	laneDial = 400 * time.Millisecond
	// laneIdle is how long a connection is kept for which the endpoint names no time.
	laneIdle = 3 * time.Second
	// laneMargin is the part of the endpoint's own idle time that a connection is used for: one that is closed by the
	// endpoint just as a request is sent leaves in the dark whether the request ran.
	laneMargin = 0.6
	// lanesPerEndpoint bounds the idle connections kept to one endpoint.
	lanesPerEndpoint = 32
	laneBuffer       = 4 << 10
	sweepEvery       = time.Second
)

// A lane is one connection to one endpoint, with a transport of its own that never dials twice.
//
// net/http repeats a request by itself when a reused connection dies before the answer and the request looks harmless: a
// GET, or one with an Idempotency-Key header. The endpoint may have run the first copy; one would notice a second run of a
// request that may run once, or repeats that no budget counted. With a second dial refused there is nothing to repeat on.
// The count of written bytes proves that a request did not arrive when its connection broke before the first of them.
type lane struct {
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
	laneUntouched int32 = iota
	laneTouched
	laneSealed
)

func newLane(network chivewire.Network, self string) *lane {
	l := &lane{network: network, self: self, keep: laneIdle}
	l.transport = &http.Transport{
		DialContext: l.dial, MaxIdleConnsPerHost: 1, DisableCompression: true, WriteBufferSize: laneBuffer, ReadBufferSize: laneBuffer,
	}
	return l
}

func (l *lane) dial(ctx context.Context, _, address string) (net.Conn, error) {
	if l.dialled.Swap(true) {
		return nil, errDialledTwice
	}
	ctx, cancel := context.WithTimeout(ctx, laneDial)
	defer cancel()
	conn, err := l.network.Dial(ctx, l.self, address)
	if err != nil {
		l.closed.Store(true)
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed.Load() {
		_ = conn.Close()
		return nil, errClosed
	}
	l.conn = conn
	return &laneConn{Conn: conn, lane: l}, nil
}

// arm makes the lane ready to count the bytes of the next request.
func (l *lane) arm() { l.state.Store(laneUntouched) }

// touched tells whether a byte of the request may have left, and makes sure that none does from then on if none has:
// net/http answers a cancelled request while its writer may be just about to write.
func (l *lane) touched() bool {
	l.state.CompareAndSwap(laneUntouched, laneSealed)
	return l.state.Load() == laneTouched
}

// close ends the lane, also when its dial is still under way.
func (l *lane) close() {
	l.closed.Store(true)
	l.mu.Lock()
	conn := l.conn
	l.mu.Unlock()
	if conn != nil {
		// The connection is given up; what its closing says does not matter any more.
		_ = conn.Close()
	}
	l.transport.CloseIdleConnections()
}

// fresh tells whether the lane may carry another request.
func (l *lane) fresh(now time.Time) bool {
	return !l.closed.Load() && now.Sub(l.idleSince) < l.keep
}

type laneConn struct {
	net.Conn
	lane *lane
}

// Write marks the request as sent before the bytes leave, so that a write that fails half-way still counts.
func (c *laneConn) Write(data []byte) (int, error) {
	c.lane.state.CompareAndSwap(laneUntouched, laneTouched)
	if c.lane.state.Load() == laneSealed {
		return 0, errSealed
	}
	return c.Conn.Write(data) //nolint:wrapcheck // net/http wraps it
}

// Close marks the lane, so that it is not chosen for another request.
func (c *laneConn) Close() error {
	c.lane.closed.Store(true)
	return c.Conn.Close() //nolint:wrapcheck // nobody reads it
}

// lanes are the idle connections by the endpoint's incarnation: its address may belong to another endpoint later.
type lanes struct {
	network chivewire.Network
	self    string
	mu      sync.Mutex
	idle    map[string][]*lane
	opened  int64
	reused  int64
}

func newLanes(network chivewire.Network, self string) *lanes {
	return &lanes{network: network, self: self, idle: make(map[string][]*lane)}
}

// get returns the connection to an endpoint that was used last, or a new one.
func (p *lanes) get(endpoint string, fresh bool) *lane {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	kept := p.idle[endpoint]
	for len(kept) > 0 && !fresh {
		l := kept[len(kept)-1]
		kept = kept[:len(kept)-1]
		p.idle[endpoint] = kept
		if l.fresh(now) {
			p.reused++
			l.arm()
			return l
		}
		l.close()
	}
	p.opened++
	return newLane(p.network, p.self)
}

// put keeps a connection whose answer came whole; the header tells for how long the endpoint keeps it.
func (p *lanes) put(endpoint string, l *lane, header http.Header) {
	l.keep = keepFor(header)
	l.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if l.closed.Load() || len(p.idle[endpoint]) >= lanesPerEndpoint {
		l.close()
		return
	}
	p.idle[endpoint] = append(p.idle[endpoint], l)
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
			return time.Duration(seconds * laneMargin * float64(time.Second))
		}
	}
	return laneIdle
}

// sweep closes connections that were idle for too long.
func (p *lanes) sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for endpoint, kept := range p.idle {
		fresh := kept[:0]
		for _, l := range kept {
			if l.fresh(now) {
				fresh = append(fresh, l)
			} else {
				l.close()
			}
		}
		if len(fresh) == 0 {
			delete(p.idle, endpoint)
			continue
		}
		p.idle[endpoint] = fresh
	}
}

func (p *lanes) closeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, kept := range p.idle {
		for _, l := range kept {
			l.close()
		}
	}
	p.idle = make(map[string][]*lane)
}

func (p *lanes) counts() (opened, reused int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened, p.reused
}
