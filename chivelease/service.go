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
	// checkInterval is the interval at which a node checks whether a call is due.
	checkInterval = 100 * time.Millisecond
	// refreshInterval is the interval at which a candidate reads the lease.
	refreshInterval = time.Second
	// The holder renews after 1/renewDivisor of the term. It stops acting 1/marginDivisor of the term before its end,
	// so that its last calls finish before others may claim the lease.
	renewDivisor  = 3
	marginDivisor = 6
	// callTimeout limits one store call, so that a hung connection leaves time for a retry within the term.
	callTimeout = 700 * time.Millisecond
	// retryDelay is the delay between attempts while the store is unavailable.
	retryDelay = 300 * time.Millisecond
	// rankDelay is the additional delay of a claim per rank. It is longer than a candidate may take to read that the
	// lease is free.
	rankDelay = refreshInterval + checkInterval
	// handOverDelay is how long a holder that is no longer a candidate keeps the lease, because nodes briefly disagree
	// on the membership after a change.
	handOverDelay = 5 * time.Second
	// releaseTimeout limits Release, which runs at shutdown.
	releaseTimeout = 400 * time.Millisecond
)

// ErrNotHeld means that this node does not hold the lease under the given token.
var ErrNotHeld = errors.New("lease: not held by this node")

// Options holds the dependencies and settings of a Service.
type Options struct {
	Topic chivelog.ConditionalTopic
	// Self is this node's peer address, Incarnation identifies its process.
	Self        string
	Incarnation int64
	// Term is how long a lease is valid after its last renewal, and how long a former holder waits before it claims
	// again.
	Term time.Duration
	// Rank returns this node's rank among the candidates, starting at 0; ok is false if it is not a candidate.
	// Candidates with a higher rank wait longer before they claim.
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
	// Era is the era of the store, as last read.
	Era int64
}

// Service claims, renews and releases the lease on behalf of this node.
type Service struct {
	opts  Options
	tasks chivekernel.Duties
	// callSemaphore limits the service to one store call at a time.
	callSemaphore chan struct{}

	mu   sync.Mutex
	view view
	held bool
	// token is the current tenure's fencing token, validUntil is when this node must stop acting without another
	// renewal.
	token      int64
	validUntil time.Duration
	// callNumber is the number of the last claim or renewal; unconfirmedAt is when it was made if its outcome is
	// unknown, and 0 otherwise.
	callNumber    uint64
	unconfirmedAt time.Duration
	// lostAt is when this node's last tenure ended, and 0 before that. No claim is made within a term of it, unless the
	// record at ownRecordAt is still the newest.
	lostAt time.Duration
	// ownRecordAt is the position of the last record under which this node held the lease.
	ownRecordAt chivelog.Position
	// noClaimBefore is the earliest time at which this node may claim.
	noClaimBefore time.Duration
	nextCallAt    time.Duration
	// nonCandidateSince is when this node, as the holder, stopped being a candidate; 0 otherwise.
	nonCandidateSince time.Duration
	counts            Counts
}

// Counts holds the lease statistics of this node since its start.
type Counts struct {
	Claims   int64 `json:"claims"`
	Losses   int64 `json:"losses"`
	Failures int64 `json:"failed_calls"`
}

// New returns a service that does not hold the lease. It waits one term before it claims, because a previous process of
// this node may have held the lease.
func New(opts Options) *Service {
	return &Service{opts: opts, view: view{at: -1}, ownRecordAt: -1, noClaimBefore: opts.SinceBoot() + opts.Term, callSemaphore: make(chan struct{}, 1)}
}

// Start starts the background loop that reads, claims and renews the lease.
func (s *Service) Start(ctx context.Context) error {
	s.tasks.Begin(ctx, func(ctx context.Context) {
		chivekernel.Every(ctx, checkInterval, func(time.Time) { s.makeDueCall(ctx) })
	})
	return nil
}

// Stop ends the background loop and releases the lease.
func (s *Service) Stop(ctx context.Context) error {
	s.tasks.End()
	s.Release(context.WithoutCancel(ctx))
	return nil
}

// Release releases the lease if this node holds it, and prevents further claims by this service.
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
	now := s.opts.SinceBoot()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.held || now >= s.validUntil {
		return Tenure{}, false
	}
	return Tenure{Token: s.token, Remaining: s.validUntil - now, Era: s.view.end.Era()}, true
}

// Value returns the value last written under a key by this or an earlier holder, or nil.
func (s *Service) Value(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view.values[key]
}

// Write stores a value under a key for this node and later holders. It takes effect only if no other node has claimed
// the lease. After an error the value may have been written, or may be written later as long as the topic does not
// change.
func (s *Service) Write(ctx context.Context, token int64, key string, value []byte) error {
	if err := s.beginCall(ctx); err != nil {
		return err
	}
	defer s.endCall()
	s.mu.Lock()
	holds := s.held && s.token == token && s.opts.SinceBoot() < s.validUntil
	s.mu.Unlock()
	if !holds {
		return ErrNotHeld
	}
	at, err := s.append(ctx, key, value)
	if err != nil {
		s.handleFailedWrite(ctx, err)
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
	case s.callSemaphore <- struct{}{}:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("lease: %w", ctx.Err())
	}
}

func (s *Service) endCall() { <-s.callSemaphore }

// hasWritten reports whether the tenure continues and the value was under the key when the topic was last read.
func (s *Service) hasWritten(token int64, key string, value []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.held && s.token == token && bytes.Equal(s.view.values[key], value)
}

// Fenced ends the tenure with the given fencing token, because a higher one is in use. The next claim waits one term.
func (s *Service) Fenced(token int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.held && s.token == token {
		s.endTenure("fenced by a higher token")
		s.noClaimBefore = max(s.noClaimBefore, s.opts.SinceBoot()+s.opts.Term)
	}
}

// makeDueCall makes the claim, renewal, release or read that is due, if any. It ends the tenure if it has expired.
func (s *Service) makeDueCall(ctx context.Context) {
	now := s.opts.SinceBoot()
	rank, candidate := s.opts.Rank()
	s.mu.Lock()
	if s.held && now >= s.validUntil {
		s.endTenure("not renewed in time")
	}
	held, due, mayClaim := s.held, now >= s.nextCallAt, s.mayClaim(now, rank)
	handOver := s.nonCandidateFor(now, candidate) >= handOverDelay
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

// mayClaim reports whether this node may claim the lease: the lease is free or its holder's term has expired, and the
// delay of this node's rank has passed. It need not wait if the newest record is still the one at ownRecordAt. The
// caller holds the lock.
func (s *Service) mayClaim(now time.Duration, rank int) bool {
	if !s.view.known || now < s.noClaimBefore {
		return false
	}
	if s.view.at >= 0 && s.view.at == s.ownRecordAt {
		return true
	}
	if s.lostAt > 0 && now < s.lostAt+s.opts.Term {
		return false
	}
	wait := time.Duration(rank) * rankDelay
	if !s.view.free {
		wait += s.opts.Term
	}
	return now-s.view.firstRead >= wait
}

func (s *Service) isOwn(r Record) bool {
	return r.Holder == s.opts.Self && r.Incarnation == s.opts.Incarnation
}
