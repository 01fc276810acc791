package chivenode

import (
	"math/rand/v2"
	"time"

	"chivedrift/chivegossip"
)

const (
	// minPeerWait is the minimum time for which a node of a large fleet waits for endpoints from its peers before it
	// reads them from the store itself.
	minPeerWait = 4 * time.Second
	// peerWaitJitter is the range of a random addition to minPeerWait. It keeps nodes from all reading the store at the
	// same time when the designated readers cannot read it.
	peerWaitJitter = 8 * time.Second
)

// firstReadPolicy decides whether a starting node leaves the first read of the endpoints to other nodes. All readers
// share the store's read bandwidth: if every node of a large fleet reads all endpoints at start, no read completes.
type firstReadPolicy struct {
	started time.Time
	// readAt is when the node reads the store itself if it has received no endpoints.
	readAt time.Time
	// isSeed reports whether this node is a seed; hasSeeds reports whether the settings name other nodes as seeds.
	isSeed      func() bool
	hasSeeds    func() bool
	memberCount func() int
	// readByOthers reports whether other nodes read the store for this one, hasTurn whether the readers of a lower rank
	// have had time to begin.
	readByOthers func() bool
	hasTurn      func() bool
	// hasSeenEndpoint reports whether this node has known an endpoint since its start, hasChanges whether peers have
	// brought the changes up to some position, from which it can read on.
	hasSeenEndpoint func() bool
	hasChanges      func() bool
}

func (n *StoreNode) newFirstReadPolicy(discovery *peerDiscovery) *firstReadPolicy {
	started := time.Now()
	return &firstReadPolicy{
		started: started, readAt: started.Add(minPeerWait + rand.N(peerWaitJitter)), isSeed: discovery.isSeed, hasSeeds: discovery.hasSeeds,
		memberCount: func() int { return len(n.members.Members()) }, readByOthers: n.gossip.Held, hasTurn: n.gossip.HasTurn,
		hasSeenEndpoint: n.directory.Knew, hasChanges: func() bool { return n.directory.Newest() >= 0 },
	}
}

// defers reports whether the first read of the endpoints has to wait.
//
// A starting node knows only a few others at first, among which it is one of the first by hash. So a reader waits for its
// peers as well, for a time that depends on its rank.
func (p *firstReadPolicy) defers() bool {
	now := time.Now()
	switch {
	case p.isSeed():
		// Other nodes connect to the seeds first and can get the endpoints from them.
		return false
	case p.memberCount() == 1:
		return p.hasSeeds() && now.Sub(p.started) < chivegossip.SettleFor
	case p.readByOthers():
		return p.hasSeenEndpoint() || now.Before(p.readAt)
	case p.hasChanges():
		return false
	}
	return !p.hasTurn()
}
