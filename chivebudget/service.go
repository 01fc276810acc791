package chivebudget

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"chivedrift/chiveforward"
	"chivedrift/chivemember"
	"chivedrift/chiverequest"
	"chivedrift/chivewire"
)

// ServiceName is the name under which the service registers.
const ServiceName = "repeats"

const (
	// answerWithin is how long a peer may take to answer: several times the way there and back within a region.
	answerWithin = 20 * time.Millisecond
	// borrowWithin bounds the time that a request waits for all peers that are asked.
	borrowWithin = 60 * time.Millisecond
	// silentFor is how long a peer that did not answer is not asked.
	silentFor = 2 * time.Second
)

// Share is a node's own part of the limit.
type Share interface {
	chiveforward.Repeats
	// Lend takes one repeat for a peer and reports whether there was one left.
	Lend(now time.Time, pool string) bool
}

// Ask asks a peer for a repeat of a request to a pool.
type Ask struct {
	// Number names the question among those of its node.
	Number uint64
	Pool   string
}

// Answer is the peer's answer.
type Answer struct {
	Number  uint64
	Granted bool
}

// Service spends a node's own share first and then asks peers for theirs.
type Service struct {
	Share
	mesh     *chivewire.Mesh
	numbers  atomic.Uint64
	borrowed atomic.Int64
	lent     atomic.Int64

	mu       sync.Mutex
	partners []string
	waiting  map[uint64]chan bool
	silent   map[string]time.Time
}

// New returns a service that knows no peers yet.
func New(mesh *chivewire.Mesh, share Share) *Service {
	s := &Service{Share: share, mesh: mesh, waiting: make(map[uint64]chan bool), silent: make(map[string]time.Time)}
	chivewire.Receive(mesh, chivewire.KindRepeatAsk, s.lend)
	chivewire.Receive(mesh, chivewire.KindRepeatAnswer, func(_ string, answer Answer) { s.take(answer) })
	return s
}

// Start does nothing: repeats are taken on the requests' goroutines.
func (s *Service) Start(context.Context) error { return nil }

// Stop does nothing.
func (s *Service) Stop(context.Context) error { return nil }

// Dump returns how many repeats were taken from peers and handed to them.
func (s *Service) Dump() any {
	return struct {
		Borrowed int64 `json:"borrowed"`
		Lent     int64 `json:"lent"`
	}{s.borrowed.Load(), s.lent.Load()}
}

// SetMembers takes a change of the fleet. Peers in other regions are not asked, since their answers would come after answerWithin and the repeats
// that they hand over would be lost.
func (s *Service) SetMembers(members []chivemember.Member) {
	near := members
	if own := slices.IndexFunc(members, func(m chivemember.Member) bool { return m.Address == s.mesh.Self() }); own >= 0 {
		near = slices.DeleteFunc(slices.Clone(members), func(m chivemember.Member) bool { return m.Region != members[own].Region })
	}
	partners := chivemember.Partners(s.mesh.Self(), chivemember.AddressesByHash(near))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.partners = partners
	clear(s.silent)
}

// Spend takes one repeat, from a peer's share where the own one is used up, and reports whether there was one.
func (s *Service) Spend(now time.Time, request *chiverequest.Request) bool {
	if s.Share.Spend(now, request) {
		return true
	}
	until := now.Add(borrowWithin)
	if request.Deadline.Before(until) {
		until = request.Deadline
	}
	for _, peer := range s.peers(now) {
		if !time.Now().Before(until) {
			return false
		}
		if s.ask(peer, request.Pool) {
			s.borrowed.Add(1)
			return true
		}
	}
	return false
}

// Explain returns what the own share rests on and how many repeats peers have handed over, for the log.
func (s *Service) Explain(now time.Time, request *chiverequest.Request) []slog.Attr {
	return append(s.Share.Explain(now, request), slog.Int64("borrowed", s.borrowed.Load()))
}

// peers returns the peers to ask, in an order that differs from request to request.
func (s *Service) peers(now time.Time) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	peers := make([]string, 0, len(s.partners))
	for _, p := range s.partners {
		if now.After(s.silent[p]) {
			peers = append(peers, p)
		}
	}
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers
}

// ask asks one peer and waits a short while for its answer.
func (s *Service) ask(peer, pool string) bool {
	ask := Ask{Number: s.numbers.Add(1), Pool: pool}
	answered := make(chan bool, 1)
	s.mu.Lock()
	s.waiting[ask.Number] = answered
	s.mu.Unlock()
	defer s.forget(ask.Number)
	if err := s.mesh.Send(peer, chivewire.KindRepeatAsk, ask); err != nil {
		return false
	}
	timer := time.NewTimer(answerWithin)
	defer timer.Stop()
	select {
	case granted := <-answered:
		return granted
	case now := <-timer.C:
		s.mu.Lock()
		s.silent[peer] = now.Add(silentFor)
		s.mu.Unlock()
		return false
	}
}

func (s *Service) forget(number uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiting, number)
}

// lend answers a peer's question.
func (s *Service) lend(from string, ask Ask) {
	granted := s.Lend(time.Now(), ask.Pool)
	if granted {
		s.lent.Add(1)
	}
	// A lost answer loses the repeat, which keeps the limit.
	_ = s.mesh.Send(from, chivewire.KindRepeatAnswer, Answer{Number: ask.Number, Granted: granted})
}

// take hands an answer to the request that waits for it.
func (s *Service) take(answer Answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if answered := s.waiting[answer.Number]; answered != nil {
		answered <- answer.Granted
		delete(s.waiting, answer.Number)
	}
}
