package chivegossip

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"chivedrift/chivemember"
	"chivedrift/chivewire"
)

// In a large fleet a few nodes read the store for all: with every node waiting on every topic, each record costs a call a node.
// The readers are the first nodes by a hash of their address, so all agree without talking. When a node has learnt
// something it publishes its digest to its children in a tree, which ask for what they lack and publish in their turn; each node has two parents. A node that
// hears from no peer for a while reads the store itself.

const (
	// Readers is how many nodes read the store; fleets up to this size all do.
	Readers = 8
	// readEvery is about how often one of the readers begins a new read of a topic. A read waits for the next record, so that a
	// change is seen at once; but a wait can be deaf: its connection has gone silent, or the store has lost the wait itself.
	readEvery = 700 * time.Millisecond
	// busyPace is the minimum time between two reads of a topic that many write to, so that one read brings many records.
	busyPace = 300 * time.Millisecond
	// branches is how many nodes each node is the first to tell, in a tree whose roots are the readers. Of 600 endpoints that are new at once to
	// 300 nodes on links of 10 Mbit/s the busiest node then sends 0.73 MB, and the last one knows them after 0.94 s; with readers that tell all
	// others it is 2.5 MB, and grows with the fleet, and 1.8 s (virtual time).
	branches = 6
	// parents is how many nodes publish to one, so that one that stands still holds up nobody.
	parents = 2
	// aloneAfter is the silence of all peers after which a node reads the store itself: each peer compares with one of its partners drawn at random
	// every 0.4 s, and each node is the partner of as many as it has, so that four seconds without any happen to a connected node about once in a day.
	aloneAfter = 4 * time.Second
	// SettleFor is how long a node that starts, or becomes one of the first by hash, waits before it takes itself for a reader: until it knows the
	// fleet each node is the first of the few that it knows. 300 nodes that start at once know each other after 0.6 s (on virtual time). A change
	// of the configuration has two seconds to be in force; in the meantime it comes from the nodes that do read.
	SettleFor = 1500 * time.Millisecond
)

// fleet is what a node knows of who reads.
type fleet struct {
	mu sync.Mutex
	// rank is this node's place among the readers, and -1 when it is none of them.
	rank int
	// since is when this node became one of them, or started.
	since    time.Time
	reading  []string
	children []string
	// partners are the peers that this node compares itself with.
	partners []string
	heard    atomic.Int64
	told     chan struct{}
}

// SetMembers takes a change of the fleet.
func (s *Service) SetMembers(members []chivemember.Member) {
	ranked := chivemember.AddressesByHash(members)
	reading := ranked[:min(Readers, len(ranked))]
	own := slices.Index(reading, s.o.Mesh.Self())
	place := slices.Index(ranked, s.o.Mesh.Self())
	children, partners := childrenOf(place, ranked), chivemember.Partners(s.o.Mesh.Self(), ranked)
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	if own >= 0 && s.fleet.rank < 0 {
		s.fleet.since = time.Now()
	}
	s.fleet.rank, s.fleet.reading, s.fleet.children, s.fleet.partners = own, reading, children, partners
}

// childrenOf returns whom the node at a place among all tells at once: a reader the other readers, and each its part of the nodes further on, at most
// twelve.
func childrenOf(own int, ranked []string) []string {
	if own < 0 {
		return nil
	}
	var children []string
	if own < Readers {
		children = slices.Concat(ranked[:own], ranked[own+1:min(Readers, len(ranked))])
	}
	for place := Readers; place < len(ranked); place++ {
		first := (place - Readers) / branches
		if own >= first && own < first+parents && own < place {
			children = append(children, ranked[place])
		}
	}
	return children
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

// ReadPace returns how long this node waits after an answer before it reads a busy topic again. The wait rises with its rank among the readers, since
// most of what it would read has been passed on by the readers before it.
func (s *Service) ReadPace() time.Duration {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	return busyPace * time.Duration(max(s.fleet.rank, 0)+1)
}

// Held reports whether others read the store for this node.
func (s *Service) Held() bool {
	s.fleet.mu.Lock()
	reads := s.fleet.rank >= 0
	s.fleet.mu.Unlock()
	return !reads && time.Now().UnixNano()-s.fleet.heard.Load() < int64(aloneAfter)
}

// Reads reports whether this node has been one of those that read the store for long enough to be sure of it. A node that knows no other is.
func (s *Service) Reads() bool {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	return s.fleet.rank >= 0 && time.Since(s.fleet.since) >= SettleFor
}

// Learnt hears that this node has learnt something.
func (s *Service) Learnt() {
	select {
	case s.fleet.told <- struct{}{}:
	default:
		// The children are about to be told anyway.
	}
}

// publish shows the children what this node knows; they ask for what they lack.
func (s *Service) publish() {
	s.fleet.mu.Lock()
	children := s.fleet.children
	s.fleet.mu.Unlock()
	own := s.digest()
	for _, address := range children {
		s.send(address, chivewire.KindDigest, Digest{Table: own.Table, Offset: own.Offset})
	}
}
