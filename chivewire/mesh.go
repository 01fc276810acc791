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

// ErrBusy means that the send queue of a peer is full; the message was not queued.
var ErrBusy = errors.New("wire: send queue to the peer is full")

// ErrStopped means that the mesh has been stopped.
var ErrStopped = errors.New("wire: stopped")

// Handler handles one message body from a peer. It runs on the connection's reader goroutine, so it must not block, and
// it must not retain the body.
type Handler func(from string, body []byte)

// Mesh manages the connections of one node to its peers, which are identified by their peer addresses.
type Mesh struct {
	self     string
	network  Network
	listener net.Listener
	handlers [256]Handler
	onLost   []func(peer string)
	sent     [256]counter
	received [256]counter
	// failedWrites counts the messages that may have been sent in part when the connection ended.
	failedWrites [256]counter

	mu         sync.Mutex
	linkByPeer map[string]*link
	links      map[*link]struct{}
	stopped    bool
	goroutines sync.WaitGroup
	background chivekernel.Duties
}

type counter struct {
	messages atomic.Int64
	bytes    atomic.Int64
}

func (c *counter) add(bytes int) {
	c.messages.Add(1)
	c.bytes.Add(int64(bytes))
}

// Traffic counts the messages and bytes of one kind in one direction since the mesh was created.
type Traffic struct {
	Messages int64 `json:"messages"`
	Bytes    int64 `json:"bytes"`
}

// hello is the first message on a connection and carries the peer address of the node that opened it.
type hello struct {
	Address string
}

// NewMesh returns a mesh that listens at the peer address self once Start is called.
func NewMesh(self string, network Network) *Mesh {
	return &Mesh{self: self, network: network, linkByPeer: make(map[string]*link), links: make(map[*link]struct{})}
}

// Handle sets the handler of a kind. All handlers must be set before Start.
func (m *Mesh) Handle(kind Kind, handler Handler) {
	m.handlers[kind] = handler
}

// Receive sets the handler of a kind whose messages are decoded as T. A message that cannot be decoded is ignored.
func Receive[T any](m *Mesh, kind Kind, handle func(from string, message T)) {
	m.Handle(kind, func(from string, body []byte) {
		if message, err := Decode[T](body); err == nil {
			handle(from, message)
		}
	})
}

// OnLost adds a function that is called when a connection to a peer breaks or goes silent. It must not block.
func (m *Mesh) OnLost(notify func(peer string)) {
	m.onLost = append(m.onLost, notify)
}

// Self returns the node's own peer address.
func (m *Mesh) Self() string { return m.self }

// Start starts listening for connections from peers.
func (m *Mesh) Start(ctx context.Context) error {
	listener, err := m.network.Listen(m.self)
	if err != nil {
		return fmt.Errorf("wire: listen for peers: %w", err)
	}
	m.listener = listener
	m.goroutines.Add(1)
	go m.accept()
	m.background.Begin(ctx, m.maintainLinks)
	return nil
}

// Stop closes every connection and waits for all goroutines of the mesh.
func (m *Mesh) Stop(context.Context) error {
	m.mu.Lock()
	m.stopped = true
	for l := range m.links {
		l.cancel()
	}
	m.mu.Unlock()
	if m.listener != nil {
		_ = m.listener.Close()
	}
	m.background.End()
	m.goroutines.Wait()
	return nil
}

// maintainLinks triggers maintenance on the links that need it.
//
// All links share one ticker: a node in a fleet of 300 is connected to most of the others, nearly all connections are
// idle, and a ticker for each would wake the process 300 times per second without need.
func (m *Mesh) maintainLinks(ctx context.Context) {
	chivekernel.Every(ctx, maintenanceInterval, func(now time.Time) {
		m.mu.Lock()
		defer m.mu.Unlock()
		for l := range m.links {
			if l.needsMaintenance(now) {
				l.requestMaintenance()
			}
		}
	})
}

// Send queues a message for a peer and connects to it if needed. Messages on a connection that breaks are lost; OnLost
// reports the break. A message to the node itself is handled before Send returns.
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
	if !l.sendQueue.Offer(frame) {
		return ErrBusy
	}
	l.recordActivity()
	return nil
}

// Traffic returns the messages and bytes sent and received, by kind.
func (m *Mesh) Traffic() (sent, received map[string]Traffic) {
	return trafficByKind(&m.sent), trafficByKind(&m.received)
}

// IsConnected reports whether messages to a peer are sent over an open connection, so that none has to be established.
func (m *Mesh) IsConnected(peer string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	l, ok := m.linkByPeer[peer]
	return ok && l.open.Load()
}

// Links returns the number of connections, including those that are still being established.
func (m *Mesh) Links() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.links)
}

// Broken returns the messages whose write failed, by kind; the receiver got at most a part of each.
func (m *Mesh) Broken() map[string]Traffic { return trafficByKind(&m.failedWrites) }

func trafficByKind(counts *[256]counter) map[string]Traffic {
	byKind := make(map[string]Traffic)
	for kind := range counts {
		if n := counts[kind].messages.Load(); n > 0 {
			byKind[Kind(kind).String()] = Traffic{Messages: n, Bytes: counts[kind].bytes.Load()}
		}
	}
	return byKind
}

// Dump returns the depths of the send queues by peer and the traffic by kind.
func (m *Mesh) Dump() any {
	sent, received := m.Traffic()
	m.mu.Lock()
	defer m.mu.Unlock()
	queues := make(map[string]chivering.Depth, len(m.linkByPeer))
	for peer, l := range m.linkByPeer {
		queues[peer] = l.sendQueue.Depth()
	}
	return struct {
		Self         string                     `json:"self"`
		Queues       map[string]chivering.Depth `json:"rings"`
		Sent         map[string]Traffic         `json:"sent"`
		Received     map[string]Traffic         `json:"received"`
		FailedWrites map[string]Traffic         `json:"broken"`
	}{m.self, queues, sent, received, m.Broken()}
}

func (m *Mesh) linkTo(peer string) (*link, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopped {
		return nil, ErrStopped
	}
	if l, ok := m.linkByPeer[peer]; ok {
		return l, nil
	}
	l := newLink(m, peer)
	m.addLink(l)
	go l.dial()
	return l, nil
}

// addLink registers a link; the caller holds the lock.
func (m *Mesh) addLink(l *link) {
	m.links[l] = struct{}{}
	if l.peer != "" {
		m.linkByPeer[l.peer] = l
	}
	m.goroutines.Add(1)
}

func (m *Mesh) accept() {
	defer m.goroutines.Done()
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
		m.addLink(l)
		m.mu.Unlock()
		go l.serve()
	}
}

// setPeer records the peer of an accepted connection, so that messages to the peer are sent over it.
func (m *Mesh) setPeer(l *link, peer string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	l.peer = peer
	if _, exists := m.linkByPeer[peer]; !exists {
		m.linkByPeer[peer] = l
	}
}

func (m *Mesh) removeLink(l *link, lost bool) {
	m.mu.Lock()
	delete(m.links, l)
	peer := l.peer
	if m.linkByPeer[peer] == l {
		delete(m.linkByPeer, peer)
	}
	stopped := m.stopped
	m.mu.Unlock()
	if lost && !stopped && peer != "" {
		for _, notify := range m.onLost {
			notify(peer)
		}
	}
	m.goroutines.Done()
}

func (m *Mesh) deliver(from string, kind Kind, body []byte) {
	m.received[kind].add(len(body) + headerBytes)
	if handler := m.handlers[kind]; handler != nil {
		handler(from, body)
	}
}
