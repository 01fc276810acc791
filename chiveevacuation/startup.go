package chiveevacuation

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"chivedrift/chiveevent"
	"chivedrift/chivelog"
	"chivedrift/chivewire"
)

const (
	// askInterval is how often a starting node asks the next of its peers.
	askInterval = 50 * time.Millisecond
	// startupTimeout is how long a node that knows all else waits for the evacuations at its start. Nodes of earlier releases do not answer, but
	// send their state to a new member in their next turn.
	startupTimeout = 2 * resendInterval
)

// Ask is a starting node's question for the state of a peer.
type Ask struct {
	// Position is that of the asking node's own state.
	Position chivelog.Position
}

// startup is what a starting node knows of the evacuations.
type startup struct {
	// neededAt is when the node was first asked whether it knows them, since it knows all else that it serves by.
	neededAt time.Time
	// known means that the store or a peer has answered, timedOut that neither did in time. A store in a later era than its
	// first may have lost evacuations that only peers retain; wasRead means that such a one has answered.
	known    bool
	timedOut bool
	wasRead  bool
	// settled is known or timedOut as Known has last reported it; it may be read without the lock.
	settled atomic.Bool
}

// recordSnapshot records that the store has answered with a snapshot up to a position.
func (s *startup) recordSnapshot(next chivelog.Position) {
	if next.Era() == chivelog.NewPosition(0, 0).Era() {
		s.known = true
	}
	s.wasRead = true
}

// Known reports whether the node knows the evacuations: from a store that has lost none, or from a peer. After a while without an answer of
// either it does not wait for one any longer.
func (s *Service) Known() bool {
	if s.startup.settled.Load() {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.startup.neededAt.IsZero() {
		s.startup.neededAt = time.Now()
	}
	if !s.startup.known && !s.startup.timedOut && time.Since(s.startup.neededAt) >= startupTimeout {
		s.startup.timedOut, s.startup.known = true, s.startup.wasRead
		chiveevent.EvacuationsUnknown.Log(context.Background(), s.options.Logger, slog.Bool("store_read", s.startup.wasRead))
	}
	s.startup.settled.Store(s.startup.known || s.startup.timedOut)
	return s.startup.settled.Load()
}

// askNext asks the next peer for its state, and reports whether there is no need to go on asking.
func (s *Service) askNext() (done bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.startup.known || s.startup.timedOut:
		return true
	case len(s.peers) > 0:
		s.peerIndex++
		_ = s.options.Mesh.Send(s.peers[s.peerIndex%len(s.peers)], chivewire.KindEvacuationsAsk, Ask{Position: s.state.Position})
	}
	return false
}

// answer sends the state to a node that has asked for it, unless this node does not know it either.
func (s *Service) answer(to string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.startup.known {
		s.send(to)
	}
}
