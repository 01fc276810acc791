package chivelease

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"chivedrift/chivekernel"
	"chivedrift/chivelog"
)

// ServiceName is the name under which the lease registers.
const ServiceName = "lease"

const (
	// roundEvery is how often a node checks whether the lease needs action.
	roundEvery = 100 * time.Millisecond
	// refreshEvery is how often a candidate reads the lease.
	refreshEvery = time.Second
	// The holder renews after 1/renewDivisor of the term and stops acting 1/marginDivisor before its end, so that its last calls finish before others
	// may claim the lease.
	renewDivisor  = 3
	marginDivisor = 6
	// callTimeout bounds one store call, so that a hung connection leaves time for a retry within the term.
	callTimeout = 700 * time.Millisecond
	// retryAfter is the delay between attempts while the store is unavailable.
	retryAfter = 300 * time.Millisecond
	// rankDelay is the additional claim delay per rank, longer than a candidate may take to read that the lease is free.
	rankDelay = refreshEvery + roundEvery
	// handOverAfter is how long a holder that is no longer a candidate keeps the lease, since nodes briefly disagree on membership after a change.
	handOverAfter = 5 * time.Second
	// releaseTimeout bounds the release at shutdown.
	releaseTimeout = 400 * time.Millisecond
)

// ErrNotHeld means that this node does not hold the lease under the given token.
var ErrNotHeld = errors.New("lease: not held by this node")

// Options configure a Service.
type Options struct {
	Topic chivelog.ConditionalTopic
	// Self is the node's peer address, Incarnation identifies its process.
	Self        string
	Incarnation int64
	// Term is how long a lease is valid after its last renewal, and how long a former holder waits before it claims again.
	Term time.Duration
	// Rank returns this node's rank among the candidates, starting at 0; ok is false if it is not a candidate. Higher ranks wait longer before they
	// claim.
	Rank func() (rank int, ok bool)
	// SinceBoot reads a clock that keeps running while the machine is suspended.
	SinceBoot func() time.Duration
	Logger    *slog.Logger
}

// Tenure is an uninterrupted period in which one node holds the lease.
type Tenure struct {
	// Token is the fencing token, higher than that of any earlier tenure.
	Token int64
	// Remaining is how long this node may act without another renewal.
	Remaining time.Duration
	// Era is the store's era.
	Era int64
}

// Service claims, renews and releases the lease.
type Service struct {
	o      Options
	duties chivekernel.Duties
	// calls is a semaphore that limits the service to one store call at a time.
	calls chan struct{}

	mu   sync.Mutex
	view view
	held bool
	// token is the current tenure's fencing token, until when this node must stop acting without another renewal.
	token int64
	until time.Duration
	// call numbers the claims and renewals; unconfirmedAt is when the last of them was made if its outcome is unknown, and 0 otherwise.
	call          uint64
	unconfirmedAt time.Duration
	// lostAt is when this node's last tenure ended, and 0 before that. No claim is made within a term of it, unless the record at ownRecordAt is still
	// the newest.
	lostAt time.Duration
	// ownRecordAt is the position of the last record by which this node held the lease.
	ownRecordAt chivelog.Position
	// noClaimBefore is the earliest time at which this node may claim.
	noClaimBefore time.Duration
	nextCall      time.Duration
	// nonCandidateSince is when this node, as the holder, stopped being a candidate; 0 otherwise.
	nonCandidateSince time.Duration
	counts            Counts
}

// Counts are the lease statistics of this node since its start.
type Counts struct {
	Claims   int64 `json:"claims"`
	Losses   int64 `json:"losses"`
	Failures int64 `json:"failed_calls"`
}

// New returns a service that does not hold the lease. It waits one term before it claims, since a previous process of the node may have held it.
func New(o Options) *Service {
	return &Service{o: o, view: view{at: -1}, ownRecordAt: -1, noClaimBefore: o.SinceBoot() + o.Term, calls: make(chan struct{}, 1)}
}

// Start starts the background loop that claims and renews the lease.
func (s *Service) Start(ctx context.Context) error {
	s.duties.Begin(ctx, func(ctx context.Context) {
		chivekernel.Every(ctx, roundEvery, func(time.Time) { s.round(ctx) })
	})
	return nil
}

// Stop ends the background loop and releases the lease.
func (s *Service) Stop(ctx context.Context) error {
	s.duties.End()
	s.Release(context.WithoutCancel(ctx))
	return nil
}

// Release releases the lease if this node holds it, and prevents further claims.
func (s *Service) Release(ctx context.Context) {
	s.mu.Lock()
	held := s.held
	s.noClaimBefore = 1<<63 - 1
	s.mu.Unlock()
	if !held {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	if s.beginCall(ctx) != nil {
		return
	}
	defer s.endCall()
	s.release(ctx)
}

// Dump returns the lease state as last read by this node.
func (s *Service) Dump() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	return struct {
		Holder string `json:"holder"`
		Token  int64  `json:"token"`
		Held   bool   `json:"held_here"`
		Counts Counts `json:"counts"`
	}{s.view.record.Holder, s.view.token(), s.held, s.counts}
}

// Counts returns the lease statistics of this node.
func (s *Service) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Tenure returns the current tenure; ok is false while this node must not act.
func (s *Service) Tenure() (t Tenure, ok bool) {
	now := s.o.SinceBoot()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.held || now >= s.until {
		return Tenure{}, false
	}
	return Tenure{Token: s.token, Remaining: s.until - now, Era: s.view.end.Era()}, true
}

// Value returns the value last written under a key by this or an earlier holder, or nil.
func (s *Service) Value(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view.values[key]
}

// Write stores a value under a key for this node and later holders. It takes effect only if no other node has claimed the lease. After an error the
// value may have been written, or may be written later as long as the topic does not change.
func (s *Service) Write(ctx context.Context, token int64, key string, value []byte) error {
	if err := s.beginCall(ctx); err != nil {
		return err
	}
	defer s.endCall()
	s.mu.Lock()
	holds := s.held && s.token == token && s.o.SinceBoot() < s.until
	s.mu.Unlock()
	if !holds {
		return ErrNotHeld
	}
	at, err := s.append(ctx, key, value)
	if err != nil {
		s.handleFailure(ctx, err)
		if s.hasWritten(token, key, value) {
			return nil
		}
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view.end = at + 1
	s.view.values[key] = value
	return nil
}

// beginCall waits until no other store call is in progress.
func (s *Service) beginCall(ctx context.Context) error {
	select {
	case s.calls <- struct{}{}:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("lease: %w", ctx.Err())
	}
}

func (s *Service) endCall() { <-s.calls }

// hasWritten reports whether the last read returned a value under a key and the tenure continues.
func (s *Service) hasWritten(token int64, key string, value []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.held && s.token == token && bytes.Equal(s.view.values[key], value)
}

// Fenced ends the tenure with the given token because a higher one is in use.
func (s *Service) Fenced(token int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.held && s.token == token {
		s.loseTenure("fenced by a higher token")
		s.noClaimBefore = max(s.noClaimBefore, s.o.SinceBoot()+s.o.Term)
	}
}

// round makes the claim, renewal, release or read that is due, if any.
func (s *Service) round(ctx context.Context) {
	now := s.o.SinceBoot()
	rank, candidate := s.o.Rank()
	s.mu.Lock()
	if s.held && now >= s.until {
		s.loseTenure("not renewed in time")
	}
	held, due, mayClaim := s.held, now >= s.nextCall, s.mayClaim(now, rank)
	handOver := s.nonCandidateFor(now, candidate) >= handOverAfter
	s.mu.Unlock()
	if !due && !handOver {
		return
	}
	if s.beginCall(ctx) != nil {
		return
	}
	defer s.endCall()
	switch {
	case held && handOver:
		s.release(ctx)
	case held:
		s.renew(ctx)
	case candidate && mayClaim:
		s.claim(ctx)
	case candidate:
		s.refresh(ctx)
	}
}

// nonCandidateFor returns how long this node has held the lease without being a candidate. The caller holds the lock.
func (s *Service) nonCandidateFor(now time.Duration, candidate bool) time.Duration {
	switch {
	case candidate || !s.held:
		s.nonCandidateSince = 0
		return 0
	case s.nonCandidateSince == 0:
		s.nonCandidateSince = now
	}
	return now - s.nonCandidateSince
}

// mayClaim reports whether the lease is free or its holder's term has expired, and this rank's delay has passed. The caller holds the lock.
func (s *Service) mayClaim(now time.Duration, rank int) bool {
	if !s.view.known || now < s.noClaimBefore {
		return false
	}
	if s.view.at >= 0 && s.view.at == s.ownRecordAt {
		return true
	}
	if s.lostAt > 0 && now < s.lostAt+s.o.Term {
		return false
	}
	wait := time.Duration(rank) * rankDelay
	if !s.view.free {
		wait += s.o.Term
	}
	return now-s.view.firstRead >= wait
}

func (s *Service) isOwn(r Record) bool {
	return r.Holder == s.o.Self && r.Incarnation == s.o.Incarnation
}
