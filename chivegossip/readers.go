package chivegossip

import (
	"slices"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"chivedrift/chivemember"
	"chivedrift/chivewire"

	"github.com/cespare/xxhash/v2"
)

// In a large fleet a few nodes read the store for all: with every node waiting on every topic, each record costs a call a node.
// The readers are the first nodes by a hash of their address, so all agree without talking. When a reader has learnt
// something it tells the nodes in its care, which ask for what they lack; each node is in the care of two readers. A node that
// hears from no peer for a while reads the store itself.

const (
	// Readers is how many nodes read the store; fleets up to this size all do.
	Readers = 8
	// readEvery is about how often one of the readers begins a new read of a topic. A read waits for the next record, so that a
	// change is seen at once; but a wait can be deaf: its connection has gone silent, or the store has lost the wait itself.
	readEvery = 700 * time.Millisecond
	// cares is how many readers care for one node, so that one that stands still holds up nobody.
	cares = 2
	// aloneAfter is the silence of all peers after which a node reads the store itself: each peer compares with one drawn at random every
	// 0.4 s, so that four seconds without any happen to a connected node about once in a day.
	aloneAfter = 4 * time.Second
)

// fleet is what a node knows of who reads.
type fleet struct {
	mu sync.Mutex
	// rank is this node's place among the readers, and -1 when it is none of them.
	rank    int
	reading []string
	inCare  []string
	heard   atomic.Int64
	told    chan struct{}
}

// SetMembers takes a change of the fleet.
func (s *Service) SetMembers(members []chivemember.Member) {
	ranked := make([]string, 0, len(members))
	for _, m := range members {
		if m.State == chivemember.Alive {
			ranked = append(ranked, m.Address)
		}
	}
	sort.Slice(ranked, func(i, j int) bool { return xxhash.Sum64String(ranked[i]) < xxhash.Sum64String(ranked[j]) })
	reading := ranked[:min(Readers, len(ranked))]
	own := slices.Index(reading, s.o.Mesh.Self())
	var inCare []string
	if own >= 0 {
		inCare = careOf(own, reading, ranked[len(reading):])
	}
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	s.fleet.rank, s.fleet.reading, s.fleet.inCare = own, reading, inCare
}

// careOf returns whom a reader tells at once: the other readers, and its part of the nodes that do not read.
func careOf(own int, reading, others []string) []string {
	inCare := slices.Concat(reading[:own], reading[own+1:])
	for i, address := range others {
		for k := range cares {
			if (i+k)%len(reading) == own {
				inCare = append(inCare, address)
			}
		}
	}
	return inCare
}

// ReadWait is how long this node's next read of the store waits for a record; fresh tells that the read before has brought
// something.
//
// A record ends the waits of all readers in the same moment. If all began the next wait with the same length, they would also
// end together, and a change that the waits did not hear of would be seen by nobody until then. So after a record each reader
// waits for its rank, and only after a wait without one for a whole round: one of them always asks soon, and tells the others.
func (s *Service) ReadWait(fresh bool) time.Duration {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	if fresh && s.fleet.rank >= 0 {
		return readEvery * time.Duration(s.fleet.rank+1)
	}
	return readEvery * time.Duration(max(len(s.fleet.reading), 1))
}

// Held tells whether others read the store for this node.
func (s *Service) Held() bool {
	s.fleet.mu.Lock()
	reads := s.fleet.rank >= 0
	s.fleet.mu.Unlock()
	return !reads && time.Now().UnixNano()-s.fleet.heard.Load() < int64(aloneAfter)
}

// Learnt hears that this node has learnt something.
func (s *Service) Learnt() {
	select {
	case s.fleet.told <- struct{}{}:
	default:
		// The nodes in care are about to be told anyway.
	}
}

// tell shows the nodes in care what this node knows; they ask for what they lack.
func (s *Service) tell() {
	s.fleet.mu.Lock()
	inCare := s.fleet.inCare
	s.fleet.mu.Unlock()
	own := s.standing()
	for _, address := range inCare {
		s.send(address, chivewire.KindKnowledge, Knowledge{Table: own.Table, Offset: own.Offset})
	}
}
