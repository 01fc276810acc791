package chivequota

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"chivedrift/chivemember"
	"chivedrift/chiveroute"
	"chivedrift/chivewire"
)

// ServiceName is the name under which the quota registers.
const ServiceName = "quota"

const (
	replyWait   = 250 * time.Millisecond
	bucketsMost = 4096
	bucketKept  = time.Minute
)

// Request draws tokens of a team's limit; a request with ID 0 gives tokens back and has no reply.
type Request struct {
	ID     int64
	Team   string
	Limit  int64
	Tokens int64
}

// Grant answers a request.
type Grant struct {
	ID      int64
	OK      bool
	AfterMs int64
}

// Service is both sides: the owner of the teams that hash to this node, and the gateway that asks.
type Service struct {
	mesh    *chivewire.Mesh
	members atomic.Pointer[[]chivemember.Member]
	next    atomic.Int64
	mu      sync.Mutex
	buckets map[string]*Bucket
	shares  map[string]*Bucket
	limits  map[string]int64
	waiting map[int64]chan Grant
}

// NewService returns a quota without buckets.
func NewService(mesh *chivewire.Mesh) *Service {
	s := &Service{
		mesh: mesh, buckets: make(map[string]*Bucket), shares: make(map[string]*Bucket), limits: make(map[string]int64),
		waiting: make(map[int64]chan Grant),
	}
	s.members.Store(&[]chivemember.Member{})
	chivewire.Receive(mesh, chivewire.KindQuotaRequest, s.onRequest)
	chivewire.Receive(mesh, chivewire.KindQuotaGrant, s.onGrant)
	return s
}

// SetMembers takes a change of the fleet.
func (s *Service) SetMembers(members []chivemember.Member) { s.members.Store(&members) }

// Start does nothing: requests run on their callers' goroutines.
func (s *Service) Start(context.Context) error { return nil }

// Stop does nothing.
func (s *Service) Stop(context.Context) error { return nil }

// Dump returns the balances of the teams that this node keeps.
func (s *Service) Dump() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	balances := make(map[string]int64, len(s.buckets))
	for team, b := range s.buckets {
		balances[team] = b.Balance()
	}
	return balances
}

// Take asks the team's owner for tokens; without its word in time, this node's own share of the limit decides.
func (s *Service) Take(ctx context.Context, team string, limit, tokens int64) (ok bool, after time.Duration) {
	s.mu.Lock()
	s.limits[team] = limit
	s.mu.Unlock()
	grant, heard := s.ask(ctx, Request{ID: s.next.Add(1), Team: team, Limit: limit, Tokens: tokens})
	if heard {
		return grant.OK, time.Duration(grant.AfterMs) * time.Millisecond
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	share := max(limit/int64(max(len(*s.members.Load()), 1)), 1)
	return bucketOf(s.shares, team, share, now).Take(now, tokens)
}

// Return gives back what a request did not use, or charges what it used beyond its estimate.
func (s *Service) Return(team string, tokens int64) {
	s.mu.Lock()
	limit, limited := s.limits[team]
	s.mu.Unlock()
	if !limited || tokens == 0 {
		return
	}
	if owner, ok := s.ownerOf(team); ok {
		// When this is lost the team's limit is off by one request's estimate.
		_ = s.mesh.Send(owner, chivewire.KindQuotaRequest, Request{Team: team, Limit: limit, Tokens: tokens})
	}
}

func (s *Service) ownerOf(team string) (string, bool) {
	ranked := chiveroute.Ranked("quota/"+team, "", *s.members.Load())
	if len(ranked) == 0 {
		return "", false
	}
	return ranked[0].Address, true
}

func (s *Service) ask(ctx context.Context, r Request) (Grant, bool) {
	owner, ok := s.ownerOf(r.Team)
	if !ok {
		return Grant{}, false
	}
	answer := make(chan Grant, 1)
	s.mu.Lock()
	s.waiting[r.ID] = answer
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.waiting, r.ID)
		s.mu.Unlock()
	}()
	if err := s.mesh.Send(owner, chivewire.KindQuotaRequest, r); err != nil {
		return Grant{}, false
	}
	select {
	case g := <-answer:
		return g, true
	case <-time.After(replyWait):
	case <-ctx.Done():
	}
	return Grant{}, false
}

func (s *Service) onRequest(from string, r Request) {
	now := time.Now()
	s.mu.Lock()
	b := bucketOf(s.buckets, r.Team, r.Limit, now)
	if r.ID == 0 {
		b.Return(now, r.Tokens)
		s.mu.Unlock()
		return
	}
	ok, after := b.Take(now, r.Tokens)
	s.mu.Unlock()
	// Without the reply the gateway falls back on its own share.
	_ = s.mesh.Send(from, chivewire.KindQuotaGrant, Grant{ID: r.ID, OK: ok, AfterMs: after.Milliseconds()})
}

func (s *Service) onGrant(_ string, g Grant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if answer, ok := s.waiting[g.ID]; ok {
		answer <- g
		delete(s.waiting, g.ID)
	}
}

// bucketOf returns a team's bucket; the caller holds the lock. Buckets that were idle are forgotten when there are many.
func bucketOf(buckets map[string]*Bucket, team string, limit int64, now time.Time) *Bucket {
	b, ok := buckets[team]
	if !ok {
		if len(buckets) >= bucketsMost {
			forgetIdle(buckets, now)
		}
		b = NewBucket(limit, now)
		buckets[team] = b
	}
	if b.limit != float64(limit) {
		b.SetLimit(now, limit)
	}
	return b
}

func forgetIdle(buckets map[string]*Bucket, now time.Time) {
	for team, b := range buckets {
		if now.Sub(b.at) > bucketKept {
			delete(buckets, team)
		}
	}
}
