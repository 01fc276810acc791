package chiveforward

import (
	"sync"
	"sync/atomic"
	"time"
)

// inFlightAttempts holds the attempts in flight, by the incarnation of their endpoint.
type inFlightAttempts struct {
	mu        sync.Mutex
	endpoints map[string]*endpointAttempts
}

// endpointAttempts holds the attempts in flight at one incarnation of an endpoint.
type endpointAttempts struct {
	target   Target
	attempts map[*attempt]struct{}
	// watchedSince is when the first of these attempts began, or when this process last resumed after a pause.
	watchedSince time.Time
	// lastActivity is when the endpoint last sent data on any of them.
	lastActivity *activityTime
	// lastBreak is when an attempt here last broke off, idleSince when the last one ended.
	lastBreak time.Time
	idleSince time.Time
	// lastCheck is when the endpoint's silence was last investigated, failedAt when it was last found to have failed.
	lastCheck time.Time
	failedAt  time.Time
}

// recentlyFailed reports whether the endpoint was found to have failed within failedDuration.
func (e *endpointAttempts) recentlyFailed(now time.Time) bool {
	return !e.failedAt.IsZero() && now.Sub(e.failedAt) < failedDuration
}

const (
	// aliveWindow is the maximum age of an endpoint's last activity for it to count as alive.
	aliveWindow = 2 * time.Second
	// idleRetention is how long an endpoint without attempts is kept.
	idleRetention = aliveWindow + time.Second
)

// wasAlive reports whether the endpoint was active within aliveWindow and no attempt there has broken off since.
func (e *endpointAttempts) wasAlive(now time.Time) bool {
	at := e.lastActivity.load()
	return now.Sub(at) < aliveWindow && !e.lastBreak.After(at)
}

// silentSince returns the time since which the endpoint has sent nothing.
func (e *endpointAttempts) silentSince() time.Time {
	if at := e.lastActivity.load(); at.After(e.watchedSince) {
		return at
	}
	return e.watchedSince
}

// activityTime is the time of an endpoint's last activity. The zero value means that there was none.
type activityTime struct {
	sinceEpoch atomic.Int64
}

// activityEpoch is the reference time of activityTime.
var activityEpoch = time.Now()

// record records that the endpoint sent data.
func (a *activityTime) record(now time.Time) { a.sinceEpoch.Store(int64(now.Sub(activityEpoch))) }

// load returns the time of the last activity.
func (a *activityTime) load() time.Time {
	elapsed := a.sinceEpoch.Load()
	if elapsed == 0 {
		return time.Time{}
	}
	return activityEpoch.Add(time.Duration(elapsed))
}

// silentEndpoint is an endpoint that has sent nothing for some time on any attempt in flight.
type silentEndpoint struct {
	target Target
	// since is the start of the silence.
	since time.Time
	// streaming means that at least one response had begun to stream.
	streaming bool
}

func newInFlightAttempts() *inFlightAttempts {
	return &inFlightAttempts{endpoints: make(map[string]*endpointAttempts)}
}

// add adds an attempt and returns where to record the endpoint's activity.
func (f *inFlightAttempts) add(a *attempt) *activityTime {
	f.mu.Lock()
	defer f.mu.Unlock()
	e, ok := f.endpoints[a.target.Incarnation]
	if !ok {
		e = &endpointAttempts{target: a.target, attempts: make(map[*attempt]struct{}), watchedSince: a.startedAt, lastActivity: &activityTime{}}
		f.endpoints[a.target.Incarnation] = e
	}
	if len(e.attempts) == 0 {
		e.watchedSince = a.startedAt
	}
	e.attempts[a] = struct{}{}
	a.endpointWasAlive = e.wasAlive(a.startedAt)
	return e.lastActivity
}

func (f *inFlightAttempts) remove(a *attempt) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e, ok := f.endpoints[a.target.Incarnation]
	if !ok {
		return
	}
	delete(e.attempts, a)
	e.idleSince = time.Now()
}

// recordBreak records that an attempt at an incarnation broke off.
func (f *inFlightAttempts) recordBreak(incarnation string, at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if e, ok := f.endpoints[incarnation]; ok {
		e.lastBreak = at
	}
}

// sweep removes endpoints that have had no attempts for idleRetention.
func (f *inFlightAttempts) sweep(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for incarnation, e := range f.endpoints {
		if len(e.attempts) == 0 && now.Sub(e.idleSince) >= idleRetention {
			delete(f.endpoints, incarnation)
		}
	}
}

// attemptsAt returns the attempts in flight at an incarnation, and the time of its last activity.
func (f *inFlightAttempts) attemptsAt(incarnation string) (attempts []*attempt, lastActivity time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e, ok := f.endpoints[incarnation]
	if !ok {
		return nil, time.Time{}
	}
	for a := range e.attempts {
		attempts = append(attempts, a)
	}
	return attempts, e.lastActivity.load()
}

// activeTargets returns the endpoints at which attempts are in flight.
func (f *inFlightAttempts) activeTargets() []Target {
	f.mu.Lock()
	defer f.mu.Unlock()
	targets := make([]Target, 0, len(f.endpoints))
	for _, e := range f.endpoints {
		if len(e.attempts) > 0 {
			targets = append(targets, e.target)
		}
	}
	return targets
}

// takeSilent returns the endpoints that have been silent long enough and were not checked within silenceCheckInterval.
func (f *inFlightAttempts) takeSilent(now time.Time) []silentEndpoint {
	f.mu.Lock()
	defer f.mu.Unlock()
	var silent []silentEndpoint
	for _, e := range f.endpoints {
		s := silentEndpoint{target: e.target, since: e.silentSince()}
		if len(e.attempts) == 0 || e.recentlyFailed(now) || now.Sub(s.since) < streamSilenceThreshold || now.Sub(e.lastCheck) < silenceCheckInterval {
			continue
		}
		for a := range e.attempts {
			s.streaming = s.streaming || a.streaming.Load()
		}
		if !s.streaming && now.Sub(s.since) < responseSilenceThreshold {
			continue
		}
		e.lastCheck = now
		silent = append(silent, s)
	}
	return silent
}

// activeSince returns the last activity, by incarnation, of the single processes that were active after the given time.
func (f *inFlightAttempts) activeSince(since time.Time) map[string]time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	alive := make(map[string]time.Time)
	for incarnation, e := range f.endpoints {
		if at := e.lastActivity.load(); e.target.Unique && at.After(since) {
			alive[incarnation] = at
		}
	}
	return alive
}

// markFailed marks an endpoint as failed. It returns false if the endpoint is not known, is already marked, or was
// active after the given time.
func (f *inFlightAttempts) markFailed(incarnation string, since time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	e, ok := f.endpoints[incarnation]
	if !ok || e.recentlyFailed(now) || e.silentSince().After(since) {
		return false
	}
	e.failedAt = now
	return true
}

// resetSilence restarts the measurement of silence after a pause of this process, during which nothing was read.
func (f *inFlightAttempts) resetSilence(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.endpoints {
		e.watchedSince = now
	}
}

// countByDomain returns the number of attempts in flight by the failure domain of their endpoint.
func (f *inFlightAttempts) countByDomain() map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	counts := make(map[string]int)
	for _, e := range f.endpoints {
		counts[e.target.FailureDomain] += len(e.attempts)
	}
	return counts
}
