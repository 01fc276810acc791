package chivewire

import (
	"bufio"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"chivedrift/chivering"
)

const (
	// sendQueueFrames is the capacity of the send queue of one peer: 50 messages per second over silenceTimeout, ten times
	// the rate between two nodes of a large fleet. Queues of 1,000 frames for each of 300 peers took 7 MB.
	sendQueueFrames   = 128
	heartbeatInterval = time.Second
	// maintenanceInterval is how often links are checked; a heartbeat is late by at most this interval.
	maintenanceInterval = 500 * time.Millisecond
	activeWindow        = 2 * time.Second
	silenceTimeout      = 2500 * time.Millisecond
	idleTimeout         = 30 * time.Second
	// readBufferBytes holds about twenty of the most frequent messages, which take 60 to 90 bytes each.
	readBufferBytes = 2 << 10
)

// link is one connection to a peer: a writer goroutine that drains a queue and a reader goroutine that calls handlers.
//
// A connection can go silent for good while new ones work, because a device between the two ends has lost its state.
// Both ends therefore send heartbeats while the link is active, that is, for activeWindow after each message. An active
// link that receives nothing for silenceTimeout is closed and reported lost, and the next message opens a new one. An
// inactive link sends no heartbeats, since those of 400 connections would cost more than all control traffic.
type link struct {
	mesh          *Mesh
	peer          string
	conn          net.Conn
	outbound      atomic.Bool
	open          atomic.Bool
	sendQueue     *chivering.Ring[[]byte]
	ctx           context.Context //nolint:containedctx // the lifetime of the link's two goroutines
	cancel        context.CancelFunc
	lastMessage   atomic.Int64
	activeSince   atomic.Int64
	lastReceived  atomic.Int64
	lastSent      atomic.Int64
	closedCleanly atomic.Bool
	// maintenanceDue tells the writer to call maintain.
	maintenanceDue chan struct{}
}

func newLink(m *Mesh, peer string) *link {
	l := &link{mesh: m, peer: peer, sendQueue: chivering.New[[]byte](sendQueueFrames), maintenanceDue: make(chan struct{}, 1)}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	l.recordActivity()
	return l
}

// recordActivity marks the link active, since a message is being sent or was received.
func (l *link) recordActivity() {
	now := time.Now().UnixNano()
	if previous := l.lastMessage.Swap(now); now-previous > int64(activeWindow) {
		l.activeSince.Store(now)
	}
}

func (l *link) dial() {
	conn, err := dialPeer(l.ctx, l.mesh.network, l.mesh.self, l.peer)
	if err != nil {
		l.cancel()
		l.mesh.removeLink(l, true)
		return
	}
	l.conn = conn
	l.outbound.Store(true)
	l.serve()
}

// serve runs the reader and the writer until one of them ends the link.
func (l *link) serve() {
	l.open.Store(true)
	l.lastReceived.Store(time.Now().UnixNano())
	reader := sync.WaitGroup{}
	reader.Add(1)
	go func() {
		defer reader.Done()
		defer l.cancel()
		l.read()
	}()
	l.write()
	l.cancel()
	_ = l.conn.Close()
	reader.Wait()
	l.mesh.removeLink(l, l.wasLost())
}

// wasLost reports whether the link broke. A link that was closed cleanly counts as broken if it was still active.
func (l *link) wasLost() bool {
	return !l.closedCleanly.Load() || l.active()
}

func (l *link) active() bool {
	return time.Now().UnixNano()-l.lastMessage.Load() < int64(activeWindow)
}

func (l *link) read() {
	reader := bufio.NewReaderSize(l.conn, readBufferBytes)
	var body []byte
	for {
		kind, next, err := readFrame(reader, body)
		if err != nil {
			return
		}
		body = next
		l.lastReceived.Store(time.Now().UnixNano())
		switch kind {
		case KindHello:
			if !l.handleHello(body) {
				return
			}
		case KindBeat:
			l.mesh.received[KindBeat].add(headerBytes)
		case KindBye:
			l.closedCleanly.Store(true)
			return
		default:
			l.recordActivity()
			l.mesh.deliver(l.peer, kind, body)
		}
	}
}

// handleHello records the peer of an accepted connection and reports whether the message was valid.
func (l *link) handleHello(body []byte) bool {
	message, err := Decode[hello](body)
	if err != nil || l.outbound.Load() {
		return false
	}
	l.mesh.setPeer(l, message.Address)
	return true
}

func (l *link) write() {
	if l.outbound.Load() && !l.send(KindHello, hello{Address: l.mesh.self}) {
		return
	}
	for {
		select {
		case <-l.ctx.Done():
			return
		case frame := <-l.sendQueue.Ready():
			if !l.writeFrame(frame) {
				return
			}
		case <-l.maintenanceDue:
			if !l.maintain() {
				return
			}
		}
	}
}

// silent reports whether an active link has received nothing for longer than silenceTimeout.
func (l *link) silent(now time.Time) bool {
	return now.UnixNano()-max(l.lastReceived.Load(), l.activeSince.Load()) > int64(silenceTimeout)
}

// needsMaintenance reports whether the link must send a heartbeat or be closed. No heartbeat is needed within
// heartbeatInterval after a sent message.
func (l *link) needsMaintenance(now time.Time) bool {
	if l.active() {
		return l.silent(now) || now.UnixNano()-l.lastSent.Load() >= int64(heartbeatInterval)
	}
	return l.outbound.Load() && now.UnixNano()-l.lastMessage.Load() > int64(idleTimeout)
}

// requestMaintenance makes the writer call maintain; it does nothing if a request is already pending.
func (l *link) requestMaintenance() {
	select {
	case l.maintenanceDue <- struct{}{}:
	default:
	}
}

// maintain sends the heartbeat of an active link and reports false if the link must be closed: because an active one is
// silent, or because an idle one has sent its KindBye.
func (l *link) maintain() bool {
	now := time.Now()
	if !l.needsMaintenance(now) {
		return true
	}
	if !l.active() {
		l.closedCleanly.Store(true)
		l.send(KindBye, nil)
		return false
	}
	return !l.silent(now) && l.send(KindBeat, nil)
}

func (l *link) send(kind Kind, message any) bool {
	frame, err := encode(kind, message)
	if err != nil {
		return false
	}
	return l.writeFrame(frame)
}

// writeFrame writes a frame with a deadline, since a peer that stopped reading would otherwise block the writer and
// prevent it from detecting the silence.
func (l *link) writeFrame(frame []byte) bool {
	if err := l.conn.SetWriteDeadline(time.Now().Add(silenceTimeout)); err != nil {
		return false
	}
	if _, err := l.conn.Write(frame); err != nil {
		l.mesh.failedWrites[frame[4]].add(len(frame))
		return false
	}
	l.lastSent.Store(time.Now().UnixNano())
	l.mesh.sent[frame[4]].add(len(frame))
	return true
}
