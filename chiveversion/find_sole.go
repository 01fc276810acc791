package chiveversion

import (
	"context"
	"time"

	"chivedrift/chivegossip"
	"chivedrift/chivewire"
)

// soleReplyTimeout is how long a node in the same region may take to reply: several network round trips.
const soleReplyTimeout = 60 * time.Millisecond

// SoleAsk asks a peer for the version of all endpoints of a pool.
type SoleAsk struct {
	// Number identifies the request among those of the sending node.
	Number uint64
	Pool   string
}

// SoleAnswer is the reply to a SoleAsk.
type SoleAnswer struct {
	Number uint64
	// Version is the only one that the sender knows; empty if it knows several, does not know that of each endpoint, or is out
	// of touch.
	Version string
	// Certain means that the sender has known the pool for so long that there was no other one.
	Certain bool
	// Several means that the sender knows several, whether or not it is in touch.
	Several bool
}

// FindSole returns the version of all endpoints of a pool, including those that left lately. Most nodes that read the store
// for others have to state it, one of them has to be certain, and none may know another one: a node that has lost the
// others, or the store, a moment ago may not know of a version that they know.
func (s *Service) FindSole(ctx context.Context, pool string) (version string, ok bool) {
	if s.Several(pool) || s.isMinority() {
		return "", false
	}
	peers, isReader := s.otherReaders()
	answers := make(chan SoleAnswer, len(peers)+1)
	asked := len(peers)
	if isReader {
		asked++
		answers <- s.stateSole(pool)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for _, peer := range peers {
		go func() { answers <- s.askSole(ctx, peer, pool) }()
	}
	stated, isCertain := 0, false
	for range asked {
		answer := <-answers
		switch {
		case answer.Several || answer.Version != "" && stated > 0 && answer.Version != version:
			return "", false
		case answer.Version != "":
			version, isCertain = answer.Version, isCertain || answer.Certain
			stated++
		}
	}
	return version, 2*stated > asked && isCertain && s.registry.HasNoOther(time.Now(), pool, version)
}

// stateSole returns what this node states about a pool.
func (s *Service) stateSole(pool string) (answer SoleAnswer) {
	answer.Several = s.Several(pool)
	if s.isCurrent() {
		answer.Version, answer.Certain = s.registry.Only(time.Now(), pool)
	}
	return answer
}

// askSole returns what a peer states about a pool; nothing if it does not reply.
func (s *Service) askSole(ctx context.Context, peer, pool string) SoleAnswer {
	answer, err := s.calls.Call(ctx, peer, soleReplyTimeout, func(number uint64) error {
		return s.mesh.Send(peer, chivewire.KindSoleAsk, SoleAsk{Number: number, Pool: pool})
	})
	if err != nil {
		// A peer that does not reply states nothing.
		return SoleAnswer{}
	}
	return answer
}

func (s *Service) respondSole(from string, ask SoleAsk) {
	answer := s.stateSole(ask.Pool)
	answer.Number = ask.Number
	// The caller tries again if the reply is lost.
	_ = s.mesh.Send(from, chivewire.KindSoleAnswer, answer)
}

// otherReaders returns the other nodes that read the store for all, and whether this node is one of those that do. A node
// that knows no members yet counts as one.
func (s *Service) otherReaders() (addresses []string, isReader bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, address := range s.byHash[:min(len(s.byHash), chivegossip.Readers)] {
		if address == s.mesh.Self() {
			isReader = true
			continue
		}
		addresses = append(addresses, address)
	}
	return addresses, isReader || len(addresses) == 0
}
