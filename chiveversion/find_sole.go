package chiveversion

import (
	"context"
	"math/rand/v2"
	"time"

	"chivedrift/chivewire"
)

const (
	// readers is the number of nodes, the first ones by hash, that are asked for the version of a pool: those that read the
	// store for all.
	readers = 8
	// askedReaders is how many of them are asked at once.
	askedReaders = 2
	// soleReplyTimeout is how long a node in the same region may take to reply: several network round trips.
	soleReplyTimeout = 60 * time.Millisecond
)

// SoleAsk asks a peer for the version of all endpoints of a pool.
type SoleAsk struct {
	// Number identifies the request among those of the sending node.
	Number uint64
	Pool   string
}

// SoleAnswer is the reply to a SoleAsk; Version is empty if there are several or the sender may not know one.
type SoleAnswer struct {
	Number  uint64
	Version string
}

// FindSole returns what Sole does, or else what nodes that read the store know: this node may not read it, or have started
// a moment ago.
func (s *Service) FindSole(ctx context.Context, pool string) (version string, ok bool) {
	if version, ok = s.Sole(pool); ok || s.Several(pool) {
		return version, ok
	}
	asked := s.readers()
	rand.Shuffle(len(asked), func(i, j int) { asked[i], asked[j] = asked[j], asked[i] })
	asked = asked[:min(askedReaders, len(asked))]
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	versions := make(chan string, len(asked))
	for _, peer := range asked {
		go func() { versions <- s.askSole(ctx, peer, pool) }()
	}
	for range asked {
		if version = <-versions; version != "" {
			return version, s.registry.HasNoOther(time.Now(), pool, version)
		}
	}
	return "", false
}

// askSole returns the version of all endpoints of a pool by a peer's knowledge; empty if the peer does not know it or reply.
func (s *Service) askSole(ctx context.Context, peer, pool string) string {
	answer, err := s.calls.Call(ctx, peer, soleReplyTimeout, func(number uint64) error {
		return s.mesh.Send(peer, chivewire.KindSoleAsk, SoleAsk{Number: number, Pool: pool})
	})
	if err != nil {
		// A peer that does not reply counts as one that does not know.
		return ""
	}
	return answer.Version
}

func (s *Service) respondSole(from string, ask SoleAsk) {
	answer := SoleAnswer{Number: ask.Number}
	if version, ok := s.Sole(ask.Pool); ok {
		answer.Version = version
	}
	// The caller tries again if the reply is lost.
	_ = s.mesh.Send(from, chivewire.KindSoleAnswer, answer)
}

// readers returns the other nodes that read the store for all.
func (s *Service) readers() (addresses []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, address := range s.byHash[:min(len(s.byHash), readers)] {
		if address != s.mesh.Self() {
			addresses = append(addresses, address)
		}
	}
	return addresses
}
