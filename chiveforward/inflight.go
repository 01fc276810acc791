package chiveforward

import (
	"sync"
	"sync/atomic"
	"time"
)

// inFlight holds the attempts that are under way, by the incarnation of their endpoint.
type inFlight struct {
	mu        sync.Mutex
	endpoints map[string]*endpointCalls
}

// endpointCalls are the attempts that are under way at one incarnation of an endpoint.
type endpointCalls struct {
	target Target
	calls  map[*call]struct{}
	// began is when the first of them began, or when the node was last known to have stood still.
	began time.Time
	// lastActivity is when the endpoint last sent anything on one of them.
	lastActivity *activity
	// brokeAt is when an attempt there last broke, idleSince when the last one ended.
	brokeAt   time.Time
	idleSince time.Time
	// checked is when its silence was last looked into, failedAt when it was last found to have failed.
	checked  time.Time
	failedAt time.Time
}

// hasFailed reports whether the endpoint was found to have failed a short while ago.
func (e *endpointCalls) hasFailed(now time.Time) bool {
	return !e.failedAt.IsZero() && now.Sub(e.failedAt) < failedFor
}

const (
	// aliveWithin is how old an endpoint's last activity may be for it to count as alive.
	aliveWithin = 2 * time.Second
	// idleKept is how long an endpoint without attempts is remembered.
	idleKept = aliveWithin + time.Second
)

// wasAlive reports whether the last that was known of an endpoint at a time is that it answered, not long ago.
func (e *endpointCalls) wasAlive(now time.Time) bool {
	at := e.lastActivity.at()
	return now.Sub(at) < aliveWithin && !e.brokeAt.After(at)
}

// silentSince returns since when nothing has come from the endpoint.
func (e *endpointCalls) silentSince() time.Time {
	if at := e.lastActivity.at(); at.After(e.began) {
		return at
	}
	return e.began
}

// activity is when an endpoint last sent anything; the zero time before that.
type activity struct {
	nanoseconds atomic.Int64
}

// epoch is what the times of activity are counted from.
var epoch = time.Now()

// note takes that the endpoint sent something.
func (a *activity) note(now time.Time) { a.nanoseconds.Store(int64(now.Sub(epoch))) }

// at returns the time of the last one.
func (a *activity) at() time.Time {
	nanoseconds := a.nanoseconds.Load()
	if nanoseconds == 0 {
		return time.Time{}
	}
	return epoch.Add(time.Duration(nanoseconds))
}

// silence is an endpoint that has sent nothing for a while on any of the attempts that are under way there.
type silence struct {
	target Target
	// since is when the endpoint last sent anything.
	since time.Time
	// streaming means that an answer had begun.
	streaming bool
}

func newInFlight() *inFlight { return &inFlight{endpoints: make(map[string]*endpointCalls)} }

// begin adds an attempt and returns where it notes activity.
func (f *inFlight) begin(c *call) *activity {
	f.mu.Lock()
	defer f.mu.Unlock()
	e, ok := f.endpoints[c.target.Incarnation]
	if !ok {
		e = &endpointCalls{target: c.target, calls: make(map[*call]struct{}), began: c.began, lastActivity: &activity{}}
		f.endpoints[c.target.Incarnation] = e
	}
	if len(e.calls) == 0 {
		e.began = c.began
	}
	e.calls[c] = struct{}{}
	c.endpointWasAlive = e.wasAlive(c.began)
	return e.lastActivity
}

// end removes an attempt.
func (f *inFlight) end(c *call) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e, ok := f.endpoints[c.target.Incarnation]
	if !ok {
		return
	}
	delete(e.calls, c)
	e.idleSince = time.Now()
}

// broke notes that an attempt at an incarnation broke.
func (f *inFlight) broke(incarnation string, at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if e, ok := f.endpoints[incarnation]; ok {
		e.brokeAt = at
	}
}

// sweep forgets the endpoints that have had no attempts for a while.
func (f *inFlight) sweep(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for incarnation, e := range f.endpoints {
		if len(e.calls) == 0 && now.Sub(e.idleSince) >= idleKept {
			delete(f.endpoints, incarnation)
		}
	}
}

// at returns the attempts that are under way at an incarnation, and its last activity.
func (f *inFlight) at(incarnation string) (calls []*call, lastActivity time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e, ok := f.endpoints[incarnation]
	if !ok {
		return nil, time.Time{}
	}
	for c := range e.calls {
		calls = append(calls, c)
	}
	return calls, e.lastActivity.at()
}

// targets returns the incarnations at which attempts are under way.
func (f *inFlight) targets() []Target {
	f.mu.Lock()
	defer f.mu.Unlock()
	targets := make([]Target, 0, len(f.endpoints))
	for _, e := range f.endpoints {
		if len(e.calls) > 0 {
			targets = append(targets, e.target)
		}
	}
	return targets
}

// takeSilent returns the endpoints that have been silent for a time and were not looked into within the check interval.
func (f *inFlight) takeSilent(now time.Time) []silence {
	f.mu.Lock()
	defer f.mu.Unlock()
	var silent []silence
	for _, e := range f.endpoints {
		s := silence{target: e.target, since: e.silentSince()}
		if len(e.calls) == 0 || e.hasFailed(now) || now.Sub(s.since) < silentAfter || now.Sub(e.checked) < silenceCheckEvery {
			continue
		}
		for c := range e.calls {
			s.streaming = s.streaming || c.answering.Load()
		}
		if !s.streaming && now.Sub(s.since) < unansweredAfter {
			continue
		}
		e.checked = now
		silent = append(silent, s)
	}
	return silent
}

// takeAlive returns when endpoints were last active, of those that were since a time.
func (f *inFlight) takeAlive(since time.Time) map[string]time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	alive := make(map[string]time.Time)
	for incarnation, e := range f.endpoints {
		if at := e.lastActivity.at(); e.target.Unique && at.After(since) {
			alive[incarnation] = at
		}
	}
	return alive
}

// markFailed notes that an endpoint failed, and reports whether that is new and the endpoint has been silent since a time.
func (f *inFlight) markFailed(incarnation string, since time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	e, ok := f.endpoints[incarnation]
	if !ok || e.hasFailed(now) || e.silentSince().After(since) {
		return false
	}
	e.failedAt = now
	return true
}

// resetSilence takes that the node itself stood still up to a time, so that nothing was read meanwhile.
func (f *inFlight) resetSilence(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.endpoints {
		e.began = now
	}
}
