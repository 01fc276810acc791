package chivestand

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"
)

// ErrRefused is returned where nobody listens.
var ErrRefused = fmt.Errorf("stand-in network: %w", syscall.ECONNREFUSED)

// ErrTimedOut is returned where the way stays blocked for synTimeout.
var ErrTimedOut = fmt.Errorf("stand-in network: %w", syscall.ETIMEDOUT)

// synTimeout is how long an operating system tries to connect to an address that does not answer.
const synTimeout = 2 * time.Minute

// Network stands in for the network between processes: in-memory connections that can be cut or made silent.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	conns     []*memoryConn
	blocked   func(from, to string) bool
	refused   func(from, to string) bool
	delay     func(from, to string) time.Duration
	// rate is what a host's link carries in bytes a second; 0 stands for no limit.
	rate  int
	links map[linkEnd]*link
}

// NewNetwork returns a network on which nobody listens yet.
func NewNetwork() *Network {
	return &Network{listeners: make(map[string]*listener)}
}

// Listen accepts connections at an address.
func (n *Network) Listen(address string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &listener{network: n, address: address, incoming: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = l
	return l, nil
}

// Dial connects to an address; while the way is blocked it waits as a SYN without answer does, for synTimeout
// at most.
func (n *Network) Dial(ctx context.Context, from, address string) (net.Conn, error) {
	n.mu.Lock()
	l, ok := n.listeners[address]
	blocked := n.blocked != nil && n.blocked(from, address)
	refused := n.refused != nil && n.refused(from, address)
	n.mu.Unlock()
	if !blocked {
		if err := n.handshake(ctx, from, address); err != nil {
			return nil, err
		}
	}
	if refused {
		return nil, ErrRefused
	}
	if blocked {
		select {
		case <-time.After(synTimeout):
			return nil, ErrTimedOut
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	if !ok {
		return nil, ErrRefused
	}
	near, far := net.Pipe()
	local := n.track(near, from, address)
	select {
	case l.incoming <- n.track(far, address, from):
		return local, nil
	case <-l.closed:
		return nil, ErrRefused
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Block makes the ways for which blocked is true silent: connections stay open and carry nothing; nil lifts it.
func (n *Network) Block(blocked func(from, to string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blocked = blocked
}

// Refuse refuses new connections on the ways for which refused is true and leaves the open ones; nil lifts it.
func (n *Network) Refuse(refused func(from, to string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.refused = refused
}

// Silence makes the connections open now that match carry nothing for good, while new ones work.
func (n *Network) Silence(match func(from, to string) bool) {
	for _, c := range n.open(match) {
		c.silence()
	}
}

// Cut breaks the connections open now that match.
func (n *Network) Cut(match func(from, to string) bool) {
	for _, c := range n.open(match) {
		_ = c.Close()
	}
}

// open returns the connections open now that match; their own locks are taken only after the network's is free, since
// a connection that writes takes them the other way round.
func (n *Network) open(match func(from, to string) bool) []*memoryConn {
	n.mu.Lock()
	defer n.mu.Unlock()
	var conns []*memoryConn
	for _, c := range n.conns {
		if match(c.from, c.to) {
			conns = append(conns, c)
		}
	}
	return conns
}

func (n *Network) track(conn net.Conn, from, to string) *memoryConn {
	n.mu.Lock()
	defer n.mu.Unlock()
	c := &memoryConn{Conn: conn, network: n, from: from, to: to}
	n.conns = append(n.conns, c)
	return c
}

func (n *Network) forget(gone *memoryConn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for i, c := range n.conns {
		if c == gone {
			n.conns = append(n.conns[:i], n.conns[i+1:]...)
			return
		}
	}
}

func (n *Network) swallows(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.blocked != nil && n.blocked(from, to)
}

// memoryConn drops what is written while its way is blocked or the connection was silenced.
type memoryConn struct {
	net.Conn
	network *Network
	from    string
	to      string
	mu      sync.Mutex
	silent  bool
	// deadline bounds writes; zero stands for none.
	deadline time.Time
	line     delayLine
}

func (c *memoryConn) silence() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent = true
}

// Write sends bytes, or swallows them for good once any were swallowed: a stream never skips a part.
func (c *memoryConn) Write(data []byte) (int, error) {
	swallowed := c.network.swallows(c.from, c.to)
	c.mu.Lock()
	c.silent = c.silent || swallowed
	silent := c.silent
	c.mu.Unlock()
	if silent {
		return len(data), nil
	}
	sent := 0
	for chunk := range slices.Chunk(data, linkChunk) {
		if err := c.pass(len(chunk)); err != nil {
			return sent, err
		}
		if c.line.send(chunk, c.network.delayOf(c.from, c.to), c.deliver) {
			sent += len(chunk)
			continue
		}
		n, err := c.Conn.Write(chunk)
		sent += n
		if err != nil {
			return sent, err
		}
	}
	return sent, nil
}

// LocalAddr returns the address of this end.
func (c *memoryConn) LocalAddr() net.Addr { return address(c.from) }

// RemoteAddr returns the address of the other end.
func (c *memoryConn) RemoteAddr() net.Addr { return address(c.to) }

// Close closes one end; the other end of a silent connection hears nothing of it.
func (c *memoryConn) Close() error {
	c.network.forget(c)
	c.mu.Lock()
	silent := c.silent
	c.mu.Unlock()
	if silent {
		return c.SetDeadline(time.Unix(1, 0))
	}
	if c.line.send(nil, c.network.delayOf(c.from, c.to), c.deliver) {
		return c.SetReadDeadline(time.Unix(1, 0))
	}
	return c.Conn.Close()
}

type listener struct {
	network  *Network
	address  string
	incoming chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.incoming:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		if l.network.listeners[l.address] == l {
			delete(l.network.listeners, l.address)
		}
	})
	return nil
}

func (l *listener) Addr() net.Addr {
	return address(l.address)
}

type address string

func (a address) Network() string { return "memory" }

func (a address) String() string { return string(a) }
