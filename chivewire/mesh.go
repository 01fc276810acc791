package chivewire

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"chivedrift/chivekernel"
	"chivedrift/chivering"
)

// ErrBusy means that the ring towards a peer is full; the message was not taken.
var ErrBusy = errors.New("wire: ring towards the peer is full")

// ErrStopped means that the mesh no longer sends.
var ErrStopped = errors.New("wire: stopped")

// Handler takes one message body from a peer; it runs on the connection's reader and must not block or keep the body.
type Handler func(from string, body []byte)

// Mesh holds the connections of one node to its peers, each found by its peer address.
type Mesh struct {
	self     string
	network  Network
	listener net.Listener
	handlers [256]Handler
	onLost   []func(peer string)
	sent     [256]count
	received [256]count
	// broken counts the messages of which a part may have been sent when the connection ended.
	broken [256]count

	mu      sync.Mutex
	links   map[string]*link
	all     map[*link]struct{}
	stopped bool
	done    sync.WaitGroup
	duties  chivekernel.Duties
}

type count struct {
	messages atomic.Int64
	bytes    atomic.Int64
}

func (c *count) add(bytes int) {
	c.messages.Add(1)
	c.bytes.Add(int64(bytes))
}

// Traffic is the number of messages and bytes of one kind and direction since the start.
type Traffic struct {
	Messages int64 `json:"messages"`
	Bytes    int64 `json:"bytes"`
}

// hello is the first message on a connection and tells whose it is.
type hello struct {
	Address string
}

// NewMesh returns a mesh that will listen at the peer address self.
func NewMesh(self string, network Network) *Mesh {
	return &Mesh{self: self, network: network, links: make(map[string]*link), all: make(map[*link]struct{})}
}

// Handle sets the handler of a kind; all handlers are set before Start.
func (m *Mesh) Handle(kind Kind, handler Handler) {
	m.handlers[kind] = handler
}

// Receive sets the handler of a kind whose messages are of type T; a message that cannot be decoded is passed over.
func Receive[T any](m *Mesh, kind Kind, handle func(from string, message T)) {
	m.Handle(kind, func(from string, body []byte) {
		if message, err := Decode[T](body); err == nil {
			handle(from, message)
		}
	})
}

// OnLost adds a function that hears when a connection to a peer broke or went silent; it must not block.
func (m *Mesh) OnLost(heard func(peer string)) {
	m.onLost = append(m.onLost, heard)
}

// Self returns the node's own peer address.
func (m *Mesh) Self() string { return m.self }

// Start listens for peers.
func (m *Mesh) Start(ctx context.Context) error {
	listener, err := m.network.Listen(m.self)
	if err != nil {
		return fmt.Errorf("wire: listen for peers: %w", err)
	}
	m.listener = listener
	m.done.Add(1)
	go m.accept()
	m.duties.Begin(ctx, m.tend)
	return nil
}

// Stop closes every connection and waits for its goroutines.
func (m *Mesh) Stop(context.Context) error {
	m.mu.Lock()
	m.stopped = true
	for l := range m.all {
		l.quit()
	}
	m.mu.Unlock()
	if m.listener != nil {
		_ = m.listener.Close()
	}
	m.duties.End()
	m.done.Wait()
	return nil
}

// tend wakes the links that need a heartbeat or have been idle for long.
//
// One clock for all: a node of a fleet of 300 holds a connection to most others, nearly all of them quiet, and a ticker in each would wake
// the process 300 times a second for nothing.
func (m *Mesh) tend(ctx context.Context) {
	chivekernel.Every(ctx, tendEvery, func(now time.Time) {
		m.mu.Lock()
		defer m.mu.Unlock()
		for l := range m.all {
			if l.needsTending(now) {
				l.wake()
			}
		}
	})
}

// Send puts a message on the ring towards a peer, connecting when needed; a message on a connection that breaks is lost, which OnLost tells.
func (m *Mesh) Send(peer string, kind Kind, message any) error {
	frame, err := encode(kind, message)
	if err != nil {
		return err
	}
	if peer == m.self {
		m.deliver(peer, kind, frame[headerBytes:])
		return nil
	}
	l, err := m.linkTo(peer)
	if err != nil {
		return err
	}
	if !l.out.Offer(frame) {
		return ErrBusy
	}
	l.touch()
	return nil
}

// Traffic returns what was sent and received, by kind.
func (m *Mesh) Traffic() (sent, received map[string]Traffic) {
	return traffic(&m.sent), traffic(&m.received)
}

// Links returns how many connections there are, those that are being made included.
func (m *Mesh) Links() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.all)
}

// Broken returns the messages whose writing did not end well, by kind: the receiver got a part of each at most.
func (m *Mesh) Broken() map[string]Traffic { return traffic(&m.broken) }

func traffic(counts *[256]count) map[string]Traffic {
	kinds := make(map[string]Traffic)
	for kind := range counts {
		if n := counts[kind].messages.Load(); n > 0 {
			kinds[Kind(kind).String()] = Traffic{Messages: n, Bytes: counts[kind].bytes.Load()}
		}
	}
	return kinds
}

// Dump returns the connections and the traffic by kind.
func (m *Mesh) Dump() any {
	sent, received := m.Traffic()
	m.mu.Lock()
	defer m.mu.Unlock()
	rings := make(map[string]chivering.Depth, len(m.links))
	for peer, l := range m.links {
		rings[peer] = l.out.Depth()
	}
	return struct {
		Self     string                     `json:"self"`
		Rings    map[string]chivering.Depth `json:"rings"`
		Sent     map[string]Traffic         `json:"sent"`
		Received map[string]Traffic         `json:"received"`
		Broken   map[string]Traffic         `json:"broken"`
	}{m.self, rings, sent, received, m.Broken()}
}

// ---------------------------------------------------------------- connections

func (m *Mesh) linkTo(peer string) (*link, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopped {
		return nil, ErrStopped
	}
	if l, ok := m.links[peer]; ok {
		return l, nil
	}
	l := newLink(m, peer)
	m.add(l)
	go l.dial()
	return l, nil
}

// add takes a link in; the caller holds the lock.
func (m *Mesh) add(l *link) {
	m.all[l] = struct{}{}
	if l.peer != "" {
		m.links[l.peer] = l
	}
	m.done.Add(1)
}

func (m *Mesh) accept() {
	defer m.done.Done()
	for {
		conn, err := m.listener.Accept()
		if err != nil {
			return
		}
		m.mu.Lock()
		if m.stopped {
			m.mu.Unlock()
			_ = conn.Close()
			return
		}
		l := newLink(m, "")
		l.conn = conn
		m.add(l)
		m.mu.Unlock()
		go l.serve()
	}
}

// name records whose connection an accepted one is, so that answers go back over it.
func (m *Mesh) name(l *link, peer string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	l.peer = peer
	if _, taken := m.links[peer]; !taken {
		m.links[peer] = l
	}
}

func (m *Mesh) remove(l *link, lost bool) {
	m.mu.Lock()
	delete(m.all, l)
	peer := l.peer
	if m.links[peer] == l {
		delete(m.links, peer)
	}
	stopped := m.stopped
	m.mu.Unlock()
	if lost && !stopped && peer != "" {
		for _, heard := range m.onLost {
			heard(peer)
		}
	}
	m.done.Done()
}

func (m *Mesh) deliver(from string, kind Kind, body []byte) {
	m.received[kind].add(len(body) + headerBytes)
	if handler := m.handlers[kind]; handler != nil {
		handler(from, body)
	}
}
