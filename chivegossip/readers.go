package chivegossip

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"chivedrift/chivemember"
)

// In a large fleet only a few nodes, the readers, read the store: if every node read every topic, each record would
// cost one call per node. The readers are the first nodes by a hash of their address, so all nodes agree on them
// without communication. A node that has learnt of a change publishes its digest to its children in a tree; they
// request what they lack and publish in turn. Each node has two parents. A node that hears from no peer for
// peerSilenceTimeout reads the store itself.

const (
	// Readers is the number of nodes that read the store; in fleets up to this size all nodes do.
	Readers = 8
	// readInterval is about how often one of the readers starts a new read of a topic. A read is a long poll that ends
	// with the next record, so a change is normally seen at once. But a long poll may miss records: its connection may
	// have died unnoticed, or the store may have lost the poll.
	readInterval = 700 * time.Millisecond
	// busyReadDelay is the shortest delay, per rank, before the next read of a topic with many writers, so that one read returns
	// many records.
	busyReadDelay = 300 * time.Millisecond
	// earlyReadStep is the delay per rank after which a reader of a new fleet reads on. The last reader begins within a
	// second, in case none before it reaches the store.
	earlyReadStep = 100 * time.Millisecond
	// fanOut is how many nodes have a given node as their first parent, in a tree whose roots are the readers. When 600
	// endpoints appear at once in a fleet of 300 nodes on links of 10 Mbit/s, the busiest node sends 0.73 MB, and the
	// last node knows them after 0.94 s. If the readers told all other nodes, it would be 2.5 MB, growing with the
	// fleet, and 1.8 s (virtual time).
	fanOut = 6
	// parentsPerNode is how many nodes publish to each node, so that one stalled parent delays nobody.
	parentsPerNode = 2
	// peerSilenceTimeout is the silence of all peers after which a node reads the store itself. On average a node
	// receives one digest every 0.4 s. If the senders drew their peers at random, a connected node would go four
	// seconds without any about once a day; sending to the peers in turn makes that rarer.
	peerSilenceTimeout = 4 * time.Second
	// SettleFor is how long a node waits, after it started or came to be among the first by hash, before it counts
	// itself as a reader: until it knows the fleet, each node is the first of the few that it knows. 300 nodes that
	// start at once know each other after 0.6 s (virtual time). A change of the configuration has two seconds to be in
	// force; meanwhile it comes from the nodes that do read, or those that read early.
	SettleFor = 1500 * time.Millisecond
)

// topology is the part that this node has in reading the store and in passing changes on.
type topology struct {
	mu sync.Mutex
	// rank is this node's index among the readers, -1 if it is not one of them.
	rank int
	// roleSince is when this node became a reader, or started.
	roleSince time.Time
	// oldestReaderStart is when the longest-running other reader started, in Unix milliseconds by its own clock; 0 if there is
	// none.
	oldestReaderStart int64
	readers           []string
	children          []string
	// gossipPeers are the peers to which this node sends digests.
	gossipPeers []string
	lastHeard   atomic.Int64
	publishNow  chan struct{}
	// foundPeers signals that this node has its first peers.
	foundPeers chan struct{}
}

// SetMembers recomputes the readers, the children and the gossip peers of this node.
func (s *Service) SetMembers(members []chivemember.Member) {
	ranked := chivemember.AddressesByHash(members)
	readers := ranked[:min(Readers, len(ranked))]
	rank := slices.Index(readers, s.options.Mesh.Self())
	position := slices.Index(ranked, s.options.Mesh.Self())
	children, gossipPeers := childrenOf(position, ranked), chivemember.Partners(s.options.Mesh.Self(), ranked)
	s.topology.mu.Lock()
	defer s.topology.mu.Unlock()
	if rank >= 0 && s.topology.rank < 0 {
		s.topology.roleSince = time.Now()
	}
	s.topology.oldestReaderStart = oldestOf(members, readers, s.options.Mesh.Self())
	hadPeers := len(s.topology.gossipPeers) > 0
	s.topology.rank, s.topology.readers, s.topology.children, s.topology.gossipPeers = rank, readers, children, gossipPeers
	if !hadPeers && len(gossipPeers) > 0 {
		s.sendFirstDigest()
	}
}

// oldestOf returns when the longest-running reader other than this node started, in Unix milliseconds; 0 if there is none.
func oldestOf(members []chivemember.Member, readers []string, self string) int64 {
	oldest := int64(0)
	for _, m := range members {
		if m.Address != self && slices.Contains(readers, m.Address) && (oldest == 0 || m.Incarnation < oldest) {
			oldest = m.Incarnation
		}
	}
	return oldest
}

// childrenOf returns the nodes to which the node at a position in the order by hash publishes: a reader to the other
// readers, and each node to its children in the tree, at most twelve.
func childrenOf(position int, ranked []string) []string {
	if position < 0 {
		return nil
	}
	var children []string
	if position < Readers {
		children = slices.Concat(ranked[:position], ranked[position+1:min(Readers, len(ranked))])
	}
	for child := Readers; child < len(ranked); child++ {
		firstParent := (child - Readers) / fanOut
		if position >= firstParent && position < firstParent+parentsPerNode && position < child {
			children = append(children, ranked[child])
		}
	}
	return children
}

// ReadWait returns how long this node's next read of the store waits for a record; gotRecord tells whether the last
// read returned any.
//
// A record ends the waits of all readers at the same moment. If the next waits were all of one length, they would also
// end together, and a change that they missed would not be seen until then. So after a record each reader waits in
// proportion to its rank, and after an empty read for a full round: one of them soon reads again, and tells the others.
func (s *Service) ReadWait(gotRecord bool) time.Duration {
	s.topology.mu.Lock()
	defer s.topology.mu.Unlock()
	if gotRecord && s.topology.rank >= 0 {
		return readInterval * time.Duration(s.topology.rank+1)
	}
	return readInterval * time.Duration(max(len(s.topology.readers), 1))
}

// ReadPace returns how long this node waits after an answer before it reads a busy topic again. The delay rises with
// its rank, since the readers before it have passed on most of what it would read.
func (s *Service) ReadPace() time.Duration {
	s.topology.mu.Lock()
	defer s.topology.mu.Unlock()
	return busyReadDelay * time.Duration(max(s.topology.rank, 0)+1)
}

// isReader reports whether this node is one of the readers among the nodes that it knows.
func (s *Service) isReader() bool {
	s.topology.mu.Lock()
	defer s.topology.mu.Unlock()
	return s.topology.rank >= 0
}

// Held reports whether this node leaves reading the store to others: it is not a reader and hears from its peers.
func (s *Service) Held() bool {
	return !s.isReader() && time.Now().UnixNano()-s.topology.lastHeard.Load() < int64(peerSilenceTimeout)
}

// Reads reports whether this node has been a reader for at least SettleFor. A node that knows no other node counts as a
// reader.
func (s *Service) Reads() bool {
	s.topology.mu.Lock()
	defer s.topology.mu.Unlock()
	return s.topology.rank >= 0 && time.Since(s.topology.roleSince) >= SettleFor
}

// ReadsEarly reports whether this node is a reader that need not wait for SettleFor: it has been running for that long,
// or no other reader has, and the readers of a lower rank have had time to begin.
//
// If all nodes of a fleet that starts at once waited for SettleFor, nobody would read for that time, and the fleet would
// go on using endpoints that have left and an old configuration. Clocks of nodes may differ; one that is behind makes
// this node wait for SettleFor.
func (s *Service) ReadsEarly() bool {
	s.topology.mu.Lock()
	defer s.topology.mu.Unlock()
	running := time.Since(s.startedAt)
	if s.topology.rank < 0 || running >= SettleFor {
		return s.topology.rank >= 0
	}
	if s.topology.oldestReaderStart > 0 && time.Since(time.UnixMilli(s.topology.oldestReaderStart)) >= SettleFor {
		return false
	}
	return s.hasTurn(running)
}

// HasTurn reports whether the readers of a lower rank than this node have had time to begin since it started.
func (s *Service) HasTurn() bool {
	s.topology.mu.Lock()
	defer s.topology.mu.Unlock()
	return s.hasTurn(time.Since(s.startedAt))
}

// hasTurn is HasTurn for a caller that holds the topology's lock; running is the time since the start.
func (s *Service) hasTurn(running time.Duration) bool {
	return running >= earlyReadStep*time.Duration(s.topology.rank+1)
}

// Learnt has the service publish what this node has learnt.
func (s *Service) Learnt() {
	select {
	case s.topology.publishNow <- struct{}{}:
	default:
		// A publication is pending already.
	}
}

// sendFirstDigest has the service send a digest without waiting for the next tick. It does not block.
func (s *Service) sendFirstDigest() {
	select {
	case s.topology.foundPeers <- struct{}{}:
	default:
		// A digest is pending already.
	}
}

// publish sends this node's digest to its children, which request what they lack.
func (s *Service) publish() {
	s.topology.mu.Lock()
	children := s.topology.children
	s.topology.mu.Unlock()
	s.sendDigestTo(children)
}
