package chiveplace

import (
	"time"

	"chivedrift/chivedirectory"
	"chivedrift/chiverequest"
)

// A cold endpoint, one that has just started or has become slow again, accepts only a few requests a second for a while, and
// crashes at a rate well above that. So each request to it needs a permit of the node that issues those of the endpoint.

// warmUpState is the state of an endpoint that warms up or states a rate.
type warmUpState struct {
	// endsAt is the end of the warm-up by the directory entry, nextAt when this node may next choose the endpoint by its rate
	// without a permit, heldUntil until when it sends the endpoint none since it became cold while busy.
	endsAt    time.Time
	nextAt    time.Time
	heldUntil time.Time
}

// coldHold is how long after a busy endpoint has become cold this node sends it no requests: the span in which the endpoint
// counts those that came before the nodes knew.
const coldHold = time.Second

// changeWarmUp calls change, and keeps requests away from the endpoint for a while if it has become cold by that and had more
// requests than it takes now. The caller holds the lock.
func (p *Pool) changeWarmUp(now time.Time, cand *candidate, change func()) {
	wasCold := p.isWarmingUp(now, cand)
	change()
	if !wasCold && p.isWarmingUp(now, cand) && p.placements.perSecond(now)*float64(max(p.nodeCount, 1)) > p.warmUpRate*float64(len(p.sorted)) {
		cand.ensureWarmUp().heldUntil = now.Add(coldHold)
	}
}

// maxColdRetryAfter bounds when a caller returns that was refused because all endpoints are cold.
const maxColdRetryAfter = 5 * time.Second

// ColdRetryAfter returns when a caller should return that is refused now, if all endpoints that its ask allows are cold; false
// otherwise. The more are refused, the later they return, up to the end of the first warm-up.
func (p *Pool) ColdRetryAfter(now time.Time, ask Ask) (retryAfter time.Duration, allCold bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	left := maxColdRetryAfter
	for _, cand := range p.allowedCandidates(ask) {
		if !p.isEligible(now, cand, ask) {
			continue
		}
		coldFor := p.warmUpLeft(now, cand)
		if coldFor == 0 {
			return 0, false
		}
		left, allCold = min(left, coldFor), true
	}
	if !allCold {
		return 0, false
	}
	p.coldRefusals.add(now)
	refused, served := p.coldRefusals.perSecond(now), p.placements.perSecond(now)
	spread := p.rng.Float64() * refused / (refused + served)
	return max(time.Duration(spread*float64(left)), minRetryAfter), true
}

// rateCounter counts events by the second.
type rateCounter struct {
	since         time.Time
	count, before int
}

// add counts an event.
func (r *rateCounter) add(now time.Time) {
	r.advance(now)
	r.count++
}

// perSecond returns the number of events in the last full second, or since then if there were more.
func (r *rateCounter) perSecond(now time.Time) float64 {
	r.advance(now)
	return float64(max(r.count, r.before))
}

// advance begins a new second if the current one is over.
func (r *rateCounter) advance(now time.Time) {
	switch elapsed := now.Sub(r.since); {
	case elapsed >= 2*time.Second:
		r.since, r.count, r.before = now, 0, 0
	case elapsed >= time.Second:
		r.since, r.count, r.before = r.since.Add(time.Second), 0, r.count
	}
}

// setEndpoint applies the current directory entry of the endpoint.
func (c *candidate) setEndpoint(now time.Time, e chivedirectory.Endpoint) {
	if e.Address != c.endpoint.Address {
		c.goneUntil = time.Time{}
	}
	c.endpoint = e
	if e.WarmUp > 0 {
		// The entry was written before this node learns of it, so this end is too late rather than too early.
		c.ensureWarmUp().endsAt = now.Add(e.WarmUp)
	} else if c.warmUp != nil {
		c.warmUp.endsAt = time.Time{}
	}
}

// ensureWarmUp gives a candidate the state of a warm-up, before the first write to it.
func (c *candidate) ensureWarmUp() *warmUpState {
	if c.warmUp == nil {
		c.warmUp = &warmUpState{}
	}
	return c.warmUp
}

// left returns how much longer the endpoint warms up by its directory entry; 0 or less if it does not.
func (w *warmUpState) left(now time.Time) time.Duration {
	if w == nil {
		return 0
	}
	return w.endsAt.Sub(now)
}

// heldFor returns how much longer the endpoint gets no requests since it became cold while busy; 0 or less if it does.
func (w *warmUpState) heldFor(now time.Time) time.Duration {
	if w == nil {
		return 0
	}
	return w.heldUntil.Sub(now)
}

// warmUpLeft returns how much longer the endpoint is cold by the latest end that it states; 0 if it is not cold.
func (p *Pool) warmUpLeft(now time.Time, cand *candidate) time.Duration {
	if p.warmUpRate <= 0 {
		return 0
	}
	return max(cand.warmUp.left(now), cand.notice.warmUpLeft(now), 0)
}

// isWarmingUp reports whether the endpoint accepts only a few requests for now.
func (p *Pool) isWarmingUp(now time.Time, cand *candidate) bool { return p.warmUpLeft(now, cand) > 0 }

// permitsWarmUp reports whether requests to cold endpoints need permits. A pool that no other node uses keeps to the rate by
// itself.
func (p *Pool) permitsWarmUp() bool { return p.warmUpPermits || p.nodeCount > 1 }

// isPaced reports whether an ask keeps to the rate of an endpoint without a permit. A choice by this node alone is followed by a
// permit. A choice among an owner's engines is paced here: the node that asked may get no permit, and its place would count as
// taken for a while.
func (p *Pool) isPaced(ask Ask) bool {
	return ask.Permitted == "" && (ask.Among != nil || !p.permitsWarmUp())
}

// paceAllows reports whether an ask may choose an endpoint by its rate.
func (p *Pool) paceAllows(now time.Time, cand *candidate, ask Ask) bool {
	return !p.isPaced(ask) || p.paceInterval(now, cand) == 0 || cand.warmUp == nil || !now.Before(cand.warmUp.nextAt)
}

// paceInterval returns the time between two choices of an endpoint by its rate without a permit; 0 if it has none. Pools whose
// endpoints are never cold have no pace.
func (p *Pool) paceInterval(now time.Time, cand *candidate) time.Duration {
	if p.warmUpRate <= 0 {
		return 0
	}
	rate := cand.currentLimits().PerSecond
	if p.isWarmingUp(now, cand) {
		rate = lowerLimit(rate, p.warmUpRate)
	}
	if rate == 0 {
		return 0
	}
	return time.Duration(float64(time.Second) / rate)
}

// paceBurst is the time whose choices may be made up for later, at least one, as a bucket keeps permits for later.
const paceBurst = 200 * time.Millisecond

// pace records the choice of an endpoint for an ask. Where permits follow, those of paceBurst may be made up for later.
func (p *Pool) pace(now time.Time, cand *candidate, ask Ask) {
	interval := p.paceInterval(now, cand)
	if interval == 0 || !p.isPaced(ask) {
		return
	}
	earliest := now
	if p.permitsWarmUp() {
		earliest = now.Add(-max(interval, paceBurst))
	}
	if state := cand.ensureWarmUp(); state.nextAt.Before(earliest) {
		state.nextAt = earliest.Add(interval)
	} else {
		state.nextAt = state.nextAt.Add(interval)
	}
}

// effectiveLimits returns the limits that an endpoint states, with its rate while it is cold.
func (p *Pool) effectiveLimits(now time.Time, cand *candidate) chiverequest.Limits {
	limits := cand.currentLimits()
	if p.permitsWarmUp() && p.isWarmingUp(now, cand) {
		limits.PerSecond = lowerLimit(limits.PerSecond, p.warmUpRate)
	}
	return limits
}

// warmUpTolerance is the difference up to which two ends that an endpoint states are one: responses take different times.
const warmUpTolerance = 250 * time.Millisecond

// StateWarmUp records how much longer an endpoint is cold by what it has stated to this node or to a peer; the latest end holds.
// It reports whether that was not known and concerns the pool. Statements of unknown incarnations are ignored.
func (p *Pool) StateWarmUp(now time.Time, incarnation string, left time.Duration) (changed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	cand, listed := p.lookup(incarnation)
	if !listed {
		return false
	}
	n, warmAt := p.ensureNotice(now, incarnation), now.Add(left)
	// Ends that each rise by less than the tolerance add up.
	if changed = p.warmUpRate > 0 && left > max(cand.warmUp.left(now), n.announcedAt.Sub(now), 0)+warmUpTolerance; changed {
		n.announcedAt = warmAt
	}
	if warmAt.After(n.warmAt) {
		p.changeWarmUp(now, cand, func() { n.warmAt = warmAt })
	}
	return changed
}

// SetWarmUpRate sets how many requests a second an endpoint accepts while it warms up; 0 means no limit.
func (p *Pool) SetWarmUpRate(rate float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.warmUpRate = rate
}

// RequireWarmUpPermits makes every request to a cold endpoint need a permit, also while this node knows no other one.
func (p *Pool) RequireWarmUpPermits() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.warmUpPermits = true
}

// SetNodes sets how many nodes place requests on the pool.
func (p *Pool) SetNodes(nodes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.nodeCount = nodes
}

// ColdEndpoints returns the number of endpoints that are warming up.
func (p *Pool) ColdEndpoints(now time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	count := 0
	for _, cand := range p.sorted {
		if p.isWarmingUp(now, cand) {
			count++
		}
	}
	return count
}
