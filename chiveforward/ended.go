package chiveforward

import (
	"slices"
	"sync"
	"time"

	"chivedrift/chivehealth"
)

const (
	// endedRetention is how long an attempt is kept that ended without conclusive evidence of a crash, and how long a crash is
	// remembered. The successor of a crashed endpoint registers within this time.
	endedRetention = 3 * time.Second
	// maxEnded limits the number of these attempts; the oldest are dropped first.
	maxEnded = 256
	// maxKnownCrashes limits the number of endpoints whose crashes are remembered.
	maxKnownCrashes = 1024
	// crashTimeTolerance is how much the times may differ at which the connections of one crashed process are found broken.
	crashTimeTolerance = 100 * time.Millisecond
)

// endReason is why an attempt ended without conclusive evidence of a crash.
type endReason uint8

const (
	// endedInconclusively means that the attempt broke off at an endpoint that had accepted it, or was alive before.
	endedInconclusively endReason = iota
	// endedAtUnprovedEndpoint means that the attempt broke off at an endpoint that may have failed before it began.
	endedAtUnprovedEndpoint
	// endedByQuarantine means that the attempt was cancelled because its request was quarantined.
	endedByQuarantine
)

// endedAttempt is an attempt that ended without conclusive evidence that its endpoint had crashed. Its request is without content.
type endedAttempt struct {
	attempt *attempt
	endedAt time.Time
	reason  endReason
}

// isImplicated reports whether the attempt was at the endpoint when that crashed. A cancelled attempt is implicated as long as
// the endpoint has not been active since.
func (e endedAttempt) isImplicated(crash knownCrash) bool {
	if !e.attempt.startedAt.Before(crash.latestStart()) {
		return false
	}
	if e.reason == endedByQuarantine {
		return !e.attempt.lastActivity.load().After(e.endedAt)
	}
	return crash.at.Sub(e.endedAt).Abs() <= crashTimeTolerance
}

// knownCrash is a crash of an endpoint.
type knownCrash struct {
	// at is when the crash shows at this node: later than at the endpoint by the time that bytes take.
	at       time.Time
	evidence chivehealth.Evidence
}

// latestStart returns the time from which on attempts began too late to be implicated.
func (c knownCrash) latestStart() time.Time {
	if c.evidence.IsSilent() {
		return c.at.Add(implicationWindow)
	}
	return c.at
}

// endedAttempts holds attempts that ended without conclusive evidence, the oldest first, and recent crashes by incarnation.
type endedAttempts struct {
	mu       sync.Mutex
	attempts []endedAttempt
	crashes  map[string]knownCrash
}

// add keeps an attempt, unless a known crash of its endpoint implicates it; then it returns that crash.
func (e *endedAttempts) add(ended endedAttempt) (crash knownCrash, implicated bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if crash, known := e.crashes[ended.attempt.target.Incarnation]; known && ended.isImplicated(crash) {
		return crash, true
	}
	if len(e.attempts) >= maxEnded {
		e.attempts = slices.Delete(e.attempts, 0, 1)
	}
	e.attempts = append(e.attempts, ended)
	return knownCrash{}, false
}

// addCrash remembers a crash, and removes and returns the attempts that it implicates.
func (e *endedAttempts) addCrash(incarnation string, crash knownCrash) []endedAttempt {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.crashes) >= maxKnownCrashes {
		clear(e.crashes)
	}
	if e.crashes == nil {
		e.crashes = make(map[string]knownCrash)
	}
	e.crashes[incarnation] = crash
	return e.take(func(ended endedAttempt) bool {
		return ended.attempt.target.Incarnation == incarnation && ended.isImplicated(crash)
	})
}

// takeInconclusive removes and returns the recent attempts at the endpoints that match, except those that may have begun after
// the endpoint had failed and those that were cancelled.
func (e *endedAttempts) takeInconclusive(now time.Time, matches func(Target) bool) []endedAttempt {
	e.sweep(now)
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.take(func(ended endedAttempt) bool {
		return ended.reason == endedInconclusively && matches(ended.attempt.target)
	})
}

// take removes and returns the attempts that match. The caller must hold e.mu.
func (e *endedAttempts) take(matches func(endedAttempt) bool) []endedAttempt {
	var taken []endedAttempt
	e.attempts = slices.DeleteFunc(e.attempts, func(ended endedAttempt) bool {
		if matches(ended) {
			taken = append(taken, ended)
			return true
		}
		return false
	})
	return taken
}

// sweep drops expired attempts and crashes.
func (e *endedAttempts) sweep(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.attempts = slices.DeleteFunc(e.attempts, func(ended endedAttempt) bool { return now.Sub(ended.endedAt) >= endedRetention })
	for incarnation, c := range e.crashes {
		if now.Sub(c.at) >= endedRetention {
			delete(e.crashes, incarnation)
		}
	}
}

// withoutContent returns what is needed of an attempt that has ended to report a crash under it.
func (a *attempt) withoutContent() *attempt {
	kept := &attempt{
		state: &requestState{forwarder: a.state.forwarder, request: a.state.request.WithoutContent()}, place: a.place, target: a.target,
		startedAt: a.startedAt, lastActivity: a.lastActivity, endpointWasAlive: a.endpointWasAlive,
	}
	kept.streaming.Store(a.streaming.Load())
	kept.begun.Store(a.begun.Load())
	return kept
}

// keepEnded keeps an attempt for a crash of its endpoint that is still to be found, or reports it for one that is known.
func (f *Forwarder) keepEnded(e endedAttempt) {
	if crash, implicated := f.ended.add(e); implicated {
		f.reportEndedAttempt(e, crash)
	}
}

// reportEnded reports a crash for the attempts at the endpoint that ended before it was known.
func (f *Forwarder) reportEnded(failure chivehealth.Failure) {
	crash := knownCrash{failure.At.Add(f.options.Distances.FromDomain(failure.FailureDomain)), failure.Evidence}
	for _, e := range f.ended.addCrash(failure.Endpoint, crash) {
		f.reportEndedAttempt(e, crash)
	}
}

func (f *Forwarder) reportEndedAttempt(e endedAttempt, crash knownCrash) {
	f.reportCrash(e.attempt, chivehealth.EvidenceReported, crash.at.Add(-f.options.Distances.FromDomain(e.attempt.target.FailureDomain)))
}

// PeerCrash handles a crash under a request of another node, which implicates the attempts of this node that ended at the same
// endpoint without conclusive evidence.
func (f *Forwarder) PeerCrash(failure chivehealth.Failure) { f.reportEnded(failure) }
