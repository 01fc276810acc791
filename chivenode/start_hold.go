package chivenode

import (
	"math/rand/v2"
	"time"

	"chivedrift/chivegossip"
)

const (
	// unknownLeast is how long a node of a large fleet waits at least for endpoints from its peers before it reads them from the store itself.
	unknownLeast = 4 * time.Second
	// unknownSpread is the range in which nodes draw what they wait beyond that, so that they do not all read at once where those that read for
	// all cannot.
	unknownSpread = 8 * time.Second
)

// startHold decides whether a node that starts leaves reading the endpoints to others. The store's read bandwidth is shared by all readers: when a
// whole fleet starts and each node reads all endpoints, no read completes.
type startHold struct {
	began time.Time
	// until is when the node reads by itself if it still knows no endpoints.
	until time.Time
	// isSeed reports whether this node is a seed, hasSeeds whether the settings name other nodes that may exist.
	isSeed   func() bool
	hasSeeds func() bool
	members  func() int
	settled  func() bool
	// readByOthers reports whether other nodes read the store for this one, knows whether it has known an endpoint.
	readByOthers func() bool
	knows        func() bool
}

func (n *StoreNode) newStartHold(roster *roster) *startHold {
	began := time.Now()
	return &startHold{
		began: began, until: began.Add(unknownLeast + rand.N(unknownSpread)), isSeed: roster.isSeed, hasSeeds: roster.hasSeeds,
		members: func() int { return len(n.members.Members()) }, settled: func() bool { return n.grants.Settled() }, readByOthers: n.gossip.Held, knows: n.directory.Knew,
	}
}

// holds reports whether the first read of the endpoints is to wait.
func (h *startHold) holds() bool {
	now := time.Now()
	members := h.members()
	switch {
	case h.isSeed():
		// The other nodes connect to the seeds first and can take the endpoints from them.
		return false
	case members == 1:
		return h.hasSeeds() && now.Sub(h.began) < chivegossip.SettleFor
	case members <= chivegossip.Readers:
		return false
	case !h.settled():
		return true
	case !h.readByOthers():
		return false
	}
	return h.knows() || now.Before(h.until)
}
