package chivebudget

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"chivedrift/chivedistance"
	"chivedrift/chiveforward"
	"chivedrift/chivemember"
	"chivedrift/chiverequest"
	"chivedrift/chivewire"
)

// ServiceName is the name under which the service registers.
const ServiceName = "repeats"

const (
	// responseTimeout is how long a peer may take to respond: several network round trips within a region.
	responseTimeout = 20 * time.Millisecond
	// borrowTimeout bounds the total time that a request waits for the peers that are asked.
	borrowTimeout = 60 * time.Millisecond
	// peerBackoff is how long a peer that did not respond is not asked.
	peerBackoff = 2 * time.Second
)

// Share is this node's share of the retry budget.
type Share interface {
	chiveforward.Repeats
	// Lend spends one retry on behalf of a peer and reports whether one was left.
	Lend(now time.Time, pool string) bool
}

// Ask asks a peer for a retry of a request to a pool.
type Ask struct {
	// Number identifies the request among those of the sending node.
	Number uint64
	Pool   string
}

// Answer is the response to an Ask.
type Answer struct {
	Number  uint64
	Granted bool
}

// Service spends retries from this node's share and borrows from peers once that is used up.
type Service struct {
	Share
	mesh     *chivewire.Mesh
	calls    *chivedistance.Calls[Answer]
	borrowed atomic.Int64
	lent     atomic.Int64

	mu           sync.Mutex
	partners     []string
	backoffUntil map[string]time.Time
}

// New returns a service without peers.
func New(mesh *chivewire.Mesh, share Share) *Service {
	s := &Service{Share: share, mesh: mesh, calls: chivedistance.NewCalls[Answer](nil), backoffUntil: make(map[string]time.Time)}
	chivewire.Receive(mesh, chivewire.KindRepeatAsk, s.respond)
	chivewire.Receive(mesh, chivewire.KindRepeatAnswer, func(_ string, response Answer) { s.calls.Deliver(response.Number, response) })
	return s
}

// Start does nothing: retries are borrowed on the goroutines of the requests.
func (s *Service) Start(context.Context) error { return nil }

// Stop does nothing.
func (s *Service) Stop(context.Context) error { return nil }

// Dump returns how many retries were borrowed from peers and lent to them.
func (s *Service) Dump() any {
	return struct {
		Borrowed int64 `json:"borrowed"`
		Lent     int64 `json:"lent"`
	}{s.borrowed.Load(), s.lent.Load()}
}

// SetDistances sets the distances to the peers; it must be called before the first request.
func (s *Service) SetDistances(distances *chivedistance.Table) { s.calls.SetTable(distances) }

// SetMembers applies a membership change. Peers in other regions are not asked: their responses would arrive after
// responseTimeout, and the retries that they lend would be lost.
func (s *Service) SetMembers(members []chivemember.Member) {
	regional := members
	if self := slices.IndexFunc(members, func(m chivemember.Member) bool { return m.Address == s.mesh.Self() }); self >= 0 {
		regional = slices.DeleteFunc(slices.Clone(members), func(m chivemember.Member) bool { return m.Region != members[self].Region })
	}
	partners := chivemember.Partners(s.mesh.Self(), chivemember.AddressesByHash(regional))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.partners = partners
	clear(s.backoffUntil)
}

// Spend spends one retry, borrowing it from a peer if this node's share is used up, and reports whether it got one.
func (s *Service) Spend(now time.Time, request *chiverequest.Request) bool {
	if s.Share.Spend(now, request) {
		return true
	}
	deadline := now.Add(borrowTimeout)
	if request.Deadline.Before(deadline) {
		deadline = request.Deadline
	}
	for _, peer := range s.peers(now) {
		if !time.Now().Before(deadline) {
			return false
		}
		if s.borrow(peer, request.Pool) {
			s.borrowed.Add(1)
			return true
		}
	}
	return false
}

// Explain returns the log attributes of this node's share and the number of retries borrowed from peers.
func (s *Service) Explain(now time.Time, request *chiverequest.Request) []slog.Attr {
	return append(s.Share.Explain(now, request), slog.Int64("borrowed", s.borrowed.Load()))
}

// peers returns the peers to ask in random order, without those in backoff.
func (s *Service) peers(now time.Time) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	peers := make([]string, 0, len(s.partners))
	for _, p := range s.partners {
		if now.After(s.backoffUntil[p]) {
			peers = append(peers, p)
		}
	}
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers
}

// borrow asks one peer for a retry and waits up to responseTimeout for its response.
func (s *Service) borrow(peer, pool string) bool {
	response, err := s.calls.Call(context.Background(), peer, responseTimeout, func(number uint64) error {
		return s.mesh.Send(peer, chivewire.KindRepeatAsk, Ask{Number: number, Pool: pool})
	})
	if errors.Is(err, chivewire.ErrNoReply) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.backoffUntil[peer] = time.Now().Add(peerBackoff)
	}
	return err == nil && response.Granted
}

// respond handles a peer's request for a retry.
func (s *Service) respond(from string, request Ask) {
	granted := s.Lend(time.Now(), request.Pool)
	if granted {
		s.lent.Add(1)
	}
	// If the response is lost, the retry is lost too, which keeps the fleet within the budget.
	_ = s.mesh.Send(from, chivewire.KindRepeatAnswer, Answer{Number: request.Number, Granted: granted})
}
