package chivequota

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"chivedrift/chivemember"
	"chivedrift/chiveroute"
	"chivedrift/chivetime"
	"chivedrift/chivewire"
)

// ServiceName is the name under which the quota registers.
const ServiceName = "quota"

const (
	// ownerKey precedes the team whose owner is looked up among the members.
	ownerKey          = "quota/"
	replyTimeout      = 250 * time.Millisecond
	maxBuckets        = 4096
	bucketIdleTimeout = time.Minute
)

// Request draws tokens from a team's limit. A request with ID 0 returns tokens instead and gets no reply.
type Request struct {
	ID     int64
	Team   string
	Limit  int64
	Tokens int64
}

// Grant is the reply to a request.
type Grant struct {
	ID      int64
	OK      bool
	AfterMs int64
}

// Service holds the buckets of the teams that this node owns and requests tokens from the owners of teams.
type Service struct {
	mesh         *chivewire.Mesh
	members      atomic.Pointer[[]chivemember.Member]
	calls        *chivewire.Calls[Grant]
	mu           sync.Mutex
	buckets      map[string]*Bucket
	localBuckets map[string]*Bucket
	limits       map[string]int64
	peak         chivemember.PeakSize
	// changedAt is when the members changed, and with them the owners of some teams; zero before the first change.
	changedAt time.Time
}

// NewService returns a service without buckets.
func NewService(mesh *chivewire.Mesh) *Service {
	s := &Service{
		mesh: mesh, calls: chivewire.NewCalls[Grant](), buckets: make(map[string]*Bucket), localBuckets: make(map[string]*Bucket), limits: make(map[string]int64),
		peak: chivemember.NewPeakSize(time.Now()),
	}
	s.members.Store(&[]chivemember.Member{})
	chivewire.Receive(mesh, chivewire.KindQuotaRequest, s.handleRequest)
	chivewire.Receive(mesh, chivewire.KindQuotaGrant, func(_ string, grant Grant) { s.calls.Deliver(uint64(grant.ID), grant) })
	return s
}

// SetMembers applies a membership change.
func (s *Service) SetMembers(members []chivemember.Member) {
	before := *s.members.Swap(&members)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.peak.Set(now, len(members))
	if len(before) > 0 {
		s.changedAt = now
	}
	for team, b := range s.buckets {
		if chiveroute.BecomesOwner(s.mesh.Self(), ownerKey+team, before, members) {
			b.Empty(now)
		}
	}
}

// Start does nothing: requests are sent on the goroutines of the callers.
func (s *Service) Start(context.Context) error { return nil }

// Stop does nothing.
func (s *Service) Stop(context.Context) error { return nil }

// Dump returns the balances of the teams that this node holds buckets for.
func (s *Service) Dump() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	balances := make(map[string]int64, len(s.buckets))
	for team, b := range s.buckets {
		balances[team] = b.Balance()
	}
	return balances
}

// Take draws tokens from the team's bucket at its owner. If the owner does not reply in time, this node's even share of
// the limit decides, so that a team is not refused until another node owns it.
func (s *Service) Take(ctx context.Context, team string, limit, tokens int64) (ok bool, retryAfter time.Duration) {
	s.mu.Lock()
	s.limits[team] = limit
	s.mu.Unlock()
	grant, answered := s.request(ctx, Request{Team: team, Limit: limit, Tokens: tokens})
	if answered {
		return grant.OK, time.Duration(grant.AfterMs) * time.Millisecond
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	return s.bucketOf(s.localBuckets, team, s.share(limit, 1), now).Take(now, tokens)
}

// share returns the share of a limit of some nodes of the largest recent fleet. The caller holds the lock.
func (s *Service) share(limit int64, nodes int) int64 {
	return max(limit*int64(nodes)/int64(s.peak.Size()), 1)
}

// Return puts back the tokens that a request did not use, or draws the tokens that it used beyond its estimate.
func (s *Service) Return(team string, tokens int64) {
	s.mu.Lock()
	limit, limited := s.limits[team]
	s.mu.Unlock()
	if !limited || tokens == 0 {
		return
	}
	if owner, ok := s.ownerOf(team); ok {
		// If this message is lost, the team's balance is off by the error of one request's estimate.
		_ = s.mesh.Send(owner, chivewire.KindQuotaRequest, Request{Team: team, Limit: limit, Tokens: tokens})
	}
}

func (s *Service) ownerOf(team string) (string, bool) {
	return chiveroute.Owner(ownerKey+team, *s.members.Load())
}

func (s *Service) request(ctx context.Context, r Request) (Grant, bool) {
	owner, ok := s.ownerOf(r.Team)
	if !ok {
		return Grant{}, false
	}
	grant, err := s.calls.Call(ctx, replyTimeout, func(number uint64) error {
		r.ID = int64(number)
		return s.mesh.Send(owner, chivewire.KindQuotaRequest, r)
	})
	return grant, err == nil
}

// handleRequest draws tokens from a bucket of this node. In a partition each side has an owner: each gives the share of
// the limit that corresponds to its share of the fleet.
func (s *Service) handleRequest(from string, r Request) {
	now := time.Now()
	s.mu.Lock()
	b := s.bucketOf(s.buckets, r.Team, s.share(r.Limit, max(len(*s.members.Load()), 1)), now)
	if r.ID == 0 {
		b.Return(now, r.Tokens)
		s.mu.Unlock()
		return
	}
	ok, retryAfter := b.Take(now, r.Tokens)
	s.mu.Unlock()
	// If the reply is lost, the requesting node falls back on its own share of the limit.
	_ = s.mesh.Send(from, chivewire.KindQuotaGrant, Grant{ID: r.ID, OK: ok, AfterMs: chivetime.CeilMilliseconds(retryAfter)})
}

// bucketOf returns the bucket of a team, creating it if needed. Idle buckets are evicted when there are maxBuckets. The
// caller holds the lock.
func (s *Service) bucketOf(buckets map[string]*Bucket, team string, limit int64, now time.Time) *Bucket {
	b, ok := buckets[team]
	if !ok {
		if len(buckets) >= maxBuckets {
			evictIdle(buckets, now)
		}
		b = NewBucket(limit, now, s.changedAt)
		buckets[team] = b
	}
	if b.limit != float64(limit) {
		b.SetLimit(now, limit)
	}
	return b
}

func evictIdle(buckets map[string]*Bucket, now time.Time) {
	for team, b := range buckets {
		if now.Sub(b.updatedAt) > bucketIdleTimeout {
			delete(buckets, team)
		}
	}
}
