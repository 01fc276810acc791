package chiveplace

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"chivedrift/chiverequest"
)

// endpointLimits are the limits of an endpoint as far as this node knows them.
type endpointLimits struct {
	chiverequest.Limits
	// version rises with each change. Of two nodes' views of the limits, the one with the higher version is newer.
	// Limits that are assumed from those of other endpoints have version 0.
	version uint64
	// statedAt is when a response last stated limits.
	statedAt time.Time
	// usedUpUntil is when the next permit may be available.
	usedUpUntil time.Time
	// unreported means that the latest change has not been reported to the other nodes.
	unreported bool
}

// set changes the limits.
func (l *endpointLimits) set(now time.Time, limits chiverequest.Limits, version uint64) {
	l.Limits, l.version, l.usedUpUntil = limits, version, time.Time{}
	if !limits.IsZero() {
		l.statedAt = now
	}
}

// isStated reports whether there are limits or were some.
func (l *endpointLimits) isStated() bool { return l != nil && (l.version > 0 || !l.IsZero()) }

// LimitedError means that the chosen endpoint has limits, so that the request needs a permit.
type LimitedError struct {
	// Endpoint is the key of the endpoint's incarnation.
	Endpoint string
	Limits   chiverequest.Limits
	// Cold means that the endpoint is warming up.
	Cold bool
}

// Error names the endpoint and its limits.
func (e *LimitedError) Error() string {
	return fmt.Sprintf("endpoint %s limits its requests to %g and its refusals to %d a second", e.Endpoint, e.Limits.PerSecond, e.Limits.Refusals)
}

// currentLimits returns the endpoint's limits.
func (c *candidate) currentLimits() chiverequest.Limits {
	if c.limits == nil {
		return chiverequest.Limits{}
	}
	return c.limits.Limits
}

// limitsAllow reports whether a request may be placed on the candidate as far as its limits are concerned. An ask with a
// permit is limited to the endpoint of the permit.
func (p *Pool) limitsAllow(now time.Time, cand *candidate, ask Ask) bool {
	if ask.Permitted != "" {
		return cand.incarnation == ask.Permitted
	}
	return p.permitWait(now, cand) <= 0
}

// permitWait returns the time until the next permit of an endpoint with limits may be available; 0 or less if it may be
// available now or none is needed.
func (p *Pool) permitWait(now time.Time, cand *candidate) time.Duration {
	if p.effectiveLimits(now, cand).IsZero() {
		return 0
	}
	wait := cand.warmUp.heldFor(now)
	if cand.limits != nil {
		wait = max(wait, cand.limits.usedUpUntil.Sub(now))
	}
	return wait
}

// needsPermit returns an error unless a request may be sent to the candidate without a further permit.
func (p *Pool) needsPermit(now time.Time, cand *candidate, ask Ask) *LimitedError {
	limits := p.effectiveLimits(now, cand)
	if limits.IsZero() || ask.Permitted == cand.incarnation {
		return nil
	}
	return &LimitedError{Endpoint: cand.incarnation, Limits: limits, Cold: p.isWarmingUp(now, cand)}
}

// ensureLimits gives a candidate limits to record, before the first ones are stated; the caller holds the lock.
func (p *Pool) ensureLimits(cand *candidate) *endpointLimits {
	if cand.limits == nil {
		cand.limits = &endpointLimits{}
	}
	if _, present := p.lookup(cand.incarnation); present {
		p.limited[cand.incarnation] = cand
	}
	return cand.limits
}

// brittleRetention is how long after an endpoint stated that it cannot refuse many requests new endpoints of its pool
// are assumed to be like it.
const brittleRetention = 10 * time.Second

// assumeLimits assumes that a new endpoint can refuse as few requests as the others of its pool, until it has responded
// itself: a process that has just started gets many requests at once. The caller holds the lock.
func (p *Pool) assumeLimits(now time.Time, cand *candidate) {
	if p.brittle.refusals > 0 && now.Sub(p.brittle.statedAt) < brittleRetention {
		p.ensureLimits(cand).Refusals = p.brittle.refusals
	}
}

// poolBrittleness is the latest limit on refusals that an endpoint of a pool has stated.
type poolBrittleness struct {
	refusals int
	statedAt time.Time
}

// Limited returns an error if an endpoint has limits; nil otherwise.
func (p *Pool) Limited(now time.Time, incarnation string) *LimitedError {
	p.mu.Lock()
	defer p.mu.Unlock()
	if cand, ok := p.lookup(incarnation); ok {
		return p.needsPermit(now, cand, Ask{})
	}
	return nil
}

// LimitUsedUp keeps requests of this node away from an endpoint until its next permit may be available.
func (p *Pool) LimitUsedUp(incarnation string, until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if cand, ok := p.lookup(incarnation); ok {
		p.ensureLimits(cand).usedUpUntil = until
	}
}

// LimitedEndpoints returns the number of endpoints with limits.
func (p *Pool) LimitedEndpoints() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	count := 0
	for _, cand := range p.limited {
		if !cand.currentLimits().IsZero() {
			count++
		}
	}
	return count
}

// limitWait returns the shortest time until an allowed endpoint whose limits are used up may have a permit; the caller
// holds the lock.
func (p *Pool) limitWait(now time.Time, ask Ask) (wait time.Duration, limited bool) {
	for _, cand := range p.allowedCandidates(ask) {
		if p.effectiveLimits(now, cand).IsZero() || slices.Contains(ask.Exclude, cand.incarnation) || !ask.allows(cand) || !cand.isUsable(now) {
			continue
		}
		left := max(p.permitWait(now, cand), minRetryAfter)
		if !limited || left < wait {
			wait, limited = left, true
		}
	}
	return wait, limited
}

// StateLimits records the limits that a response of the endpoint states. A response to a request that was sent before
// limits were last stated does not end them. StateLimits returns the limits before if they have changed.
func (p *Place) StateLimits(now time.Time, stated chiverequest.Limits) (before chiverequest.Limits, changed bool) {
	p.pool.mu.Lock()
	defer p.pool.mu.Unlock()
	if stated.IsZero() && !p.candidate.limits.isStated() {
		return before, false
	}
	limits := p.pool.ensureLimits(p.candidate)
	before = limits.Limits
	p.pool.noteBrittleness(now, stated)
	switch {
	case stated == before && limits.version > 0:
		limits.statedAt = now
		return before, false
	case stated.IsZero() && !p.startedAt.After(limits.statedAt):
		return before, false
	}
	limits.set(now, stated, limits.version+1)
	limits.unreported = true
	p.pool.onChange()
	return before, stated != before
}

// noteBrittleness keeps the latest limit on refusals for new endpoints of the pool; the caller holds the lock.
func (p *Pool) noteBrittleness(now time.Time, stated chiverequest.Limits) {
	if stated.Refusals > 0 {
		p.brittle = poolBrittleness{refusals: stated.Refusals, statedAt: now}
	}
}

// Limits returns the limits of the endpoint.
func (p *Place) Limits() chiverequest.Limits {
	p.pool.mu.Lock()
	defer p.pool.mu.Unlock()
	return p.candidate.currentLimits()
}

// Load returns the number of requests of all nodes on the endpoint.
func (p *Place) Load() int {
	p.pool.mu.Lock()
	defer p.pool.mu.Unlock()
	return p.candidate.load()
}

// EndpointLimits are the limits of an endpoint in a report.
type EndpointLimits struct {
	// Endpoint is the key of the endpoint's incarnation.
	Endpoint string
	// PerSecond is in requests a second and Refusals in refused requests a second, 0 for no limit.
	PerSecond float64
	Refusals  int
	Version   uint64
}

func (l EndpointLimits) limits() chiverequest.Limits {
	return chiverequest.Limits{PerSecond: l.PerSecond, Refusals: l.Refusals}
}

// isValid reports whether the limits could have been stated by an endpoint.
func (l EndpointLimits) isValid() bool {
	return l.Version > 0 && l.PerSecond >= 0 && !math.IsInf(l.PerSecond, 0) && l.Refusals >= 0
}

// Limits returns the limits of endpoints that this node knows, or only those that changed since the last such call.
func (p *Pool) Limits(onlyChanged bool) []EndpointLimits {
	p.mu.Lock()
	defer p.mu.Unlock()
	var all []EndpointLimits
	for incarnation, cand := range p.limited {
		if onlyChanged && !cand.limits.unreported || cand.limits.version == 0 {
			continue
		}
		if onlyChanged {
			cand.limits.unreported = false
		}
		all = append(all, EndpointLimits{Endpoint: incarnation, PerSecond: cand.limits.PerSecond, Refusals: cand.limits.Refusals, Version: cand.limits.version})
	}
	slices.SortFunc(all, func(a, b EndpointLimits) int { return strings.Compare(a.Endpoint, b.Endpoint) })
	return all
}

// applyReportedLimits applies another node's view of an endpoint's limits if it is newer. Of two views with the same
// version the lower limits hold. The caller holds the lock.
func (p *Pool) applyReportedLimits(now time.Time, reported EndpointLimits) {
	cand, ok := p.lookup(reported.Endpoint)
	if !ok || !reported.isValid() {
		return
	}
	limits, stated := p.ensureLimits(cand), reported.limits()
	if reported.Version < limits.version {
		return
	}
	if reported.Version == limits.version {
		stated = lowerLimits(limits.Limits, stated)
	}
	if stated != limits.Limits || reported.Version > limits.version {
		limits.set(now, stated, reported.Version)
	}
	p.noteBrittleness(now, stated)
}

// lowerLimits returns the lower ones of two endpoints' limits.
func lowerLimits(a, b chiverequest.Limits) chiverequest.Limits {
	return chiverequest.Limits{PerSecond: lowerLimit(a.PerSecond, b.PerSecond), Refusals: lowerLimit(a.Refusals, b.Refusals)}
}

// lowerLimit returns the lower one of two limits, of which 0 means none.
func lowerLimit[T int | float64](a, b T) T {
	if a == 0 || b == 0 {
		return max(a, b)
	}
	return min(a, b)
}
