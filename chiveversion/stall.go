package chiveversion

import (
	"context"
	"sync"
	"time"

	"chivedrift/chivekernel"
)

const (
	// stallCheckInterval is how often a node checks that it runs.
	stallCheckInterval = 250 * time.Millisecond
	// maxStall is the longest time between two checks after which the node counts as having run all the while.
	maxStall = 750 * time.Millisecond
)

// stalls detects that the process or its machine stood still.
//
// What a node knows is out of date when it resumes, but the time of its last answer from the store need not show that: the
// runtime's clock doesn't count a suspension, and an answer that waited in the connection meanwhile arrives as a new one.
type stalls struct {
	// sinceBoot reads a clock that keeps running while the machine is suspended; nil detects no stalls.
	sinceBoot func() time.Duration
	// confirmedAge returns how long ago the last request that the store has answered was sent, by that clock; negative means
	// never.
	confirmedAge func() time.Duration
	mu           sync.Mutex
	checkedAt    time.Duration
	resumedAt    time.Duration
}

// isConfirmed reports whether the store has answered a request that was sent after the node last resumed.
func (s *stalls) isConfirmed() bool {
	if s.sinceBoot == nil {
		return true
	}
	sinceResumed := s.check()
	age := s.confirmedAge()
	return age >= 0 && age < sinceResumed
}

// check detects a stall since the last check, and returns for how long the node has run without one.
func (s *stalls) check() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.sinceBoot()
	if s.checkedAt > 0 && now-s.checkedAt > maxStall {
		s.resumedAt = now
	}
	s.checkedAt = now
	return now - s.resumedAt
}

// hasResumed reports whether the node has stood still since its start.
func (s *stalls) hasResumed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.resumedAt > 0
}

// watch checks for stalls, so that none is missed between two requests.
func (s *stalls) watch(ctx context.Context) {
	if s.sinceBoot == nil {
		return
	}
	chivekernel.Every(ctx, stallCheckInterval, func(time.Time) { s.check() })
}

// DetectStalls makes the service distrust its view after the node stood still, until the store confirms it. sinceBoot reads
// a clock that keeps running while the machine is suspended; confirmedAge returns how long ago the last request for the
// endpoints that the store has answered was sent, by that clock, negative for never. It must be called before Start.
func (s *Service) DetectStalls(sinceBoot, confirmedAge func() time.Duration) {
	s.stalls.sinceBoot, s.stalls.confirmedAge = sinceBoot, confirmedAge
}

// AwaitsConfirmation reports whether this node stood still, and the store has not answered a request that was sent since.
func (s *Service) AwaitsConfirmation() bool { return s.stalls.hasResumed() && !s.stalls.isConfirmed() }
