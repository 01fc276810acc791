package chiveplace

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
)

// rateLimit is the rate limit of an endpoint as far as this node knows it.
type rateLimit struct {
	// perSecond is in requests a second from all nodes together; 0 for none.
	perSecond float64
	// version rises with each change. Of two nodes' views of a limit, the one with the higher version is newer.
	version uint64
	// statedAt is when a response last stated the limit.
	statedAt time.Time
	// usedUpUntil is when the next permit of the shared rate may be available.
	usedUpUntil time.Time
	// unreported means that the latest change has not been reported to the other nodes.
	unreported bool
}

// set changes the limit.
func (l *rateLimit) set(now time.Time, perSecond float64, version uint64) {
	l.perSecond, l.version, l.usedUpUntil = perSecond, version, time.Time{}
	if perSecond > 0 {
		l.statedAt = now
	}
}

// LimitedError means that the chosen endpoint has a rate limit, so that the request needs a permit.
type LimitedError struct {
	// Endpoint is the key of the endpoint's incarnation.
	Endpoint string
	// PerSecond is the limit in requests a second.
	PerSecond float64
}

// Error names the endpoint and its limit.
func (e *LimitedError) Error() string {
	return fmt.Sprintf("endpoint %s limits its rate to %g requests a second", e.Endpoint, e.PerSecond)
}

// limitPerSecond returns the endpoint's rate limit; 0 for none.
func (c *candidate) limitPerSecond() float64 {
	if c.limit == nil {
		return 0
	}
	return c.limit.perSecond
}

// limitAllows reports whether a request may be placed on the candidate as far as its rate limit is concerned. An ask with
// a permit is limited to the endpoint of the permit.
func (c *candidate) limitAllows(now time.Time, ask Ask) bool {
	if ask.Permitted != "" {
		return c.incarnation == ask.Permitted
	}
	return c.limitPerSecond() == 0 || !now.Before(c.limit.usedUpUntil)
}

// needsPermit returns an error unless a request may be sent to the candidate without a further permit.
func (c *candidate) needsPermit(ask Ask) *LimitedError {
	if c.limitPerSecond() == 0 || ask.Permitted == c.incarnation {
		return nil
	}
	return &LimitedError{Endpoint: c.incarnation, PerSecond: c.limit.perSecond}
}

// ensureLimit gives a candidate a rate limit to record, before the first one is stated; the caller holds the lock.
func (p *Pool) ensureLimit(cand *candidate) *rateLimit {
	if cand.limit == nil {
		cand.limit = &rateLimit{}
	}
	if _, present := p.lookup(cand.incarnation); present {
		p.limited[cand.incarnation] = cand
	}
	return cand.limit
}

// Limited returns an error if an endpoint has a rate limit; nil otherwise.
func (p *Pool) Limited(incarnation string) *LimitedError {
	p.mu.Lock()
	defer p.mu.Unlock()
	if cand, ok := p.limited[incarnation]; ok {
		return cand.needsPermit(Ask{})
	}
	return nil
}

// LimitUsedUp keeps requests of this node away from an endpoint until its next permit may be available.
func (p *Pool) LimitUsedUp(incarnation string, until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if cand, ok := p.limited[incarnation]; ok {
		cand.limit.usedUpUntil = until
	}
}

// LimitedEndpoints returns the number of endpoints with a rate limit.
func (p *Pool) LimitedEndpoints() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	count := 0
	for _, cand := range p.limited {
		if cand.limit.perSecond > 0 {
			count++
		}
	}
	return count
}

// limitWait returns the shortest time until an allowed endpoint whose limit is used up may have a permit; the caller
// holds the lock.
func (p *Pool) limitWait(now time.Time, ask Ask) (wait time.Duration, limited bool) {
	for _, cand := range p.allowedCandidates(ask) {
		if cand.limitPerSecond() == 0 || slices.Contains(ask.Exclude, cand.incarnation) || !cand.isUsable(now) {
			continue
		}
		left := max(cand.limit.usedUpUntil.Sub(now), minRetryAfter)
		if !limited || left < wait {
			wait, limited = left, true
		}
	}
	return wait, limited
}

// StateLimit records the rate limit that a response of the endpoint states, in requests a second; 0 if it states none.
// A response to a request that was sent before the limit was last stated does not end it. StateLimit returns the limit
// before if it has changed.
func (p *Place) StateLimit(now time.Time, perSecond float64) (before float64, changed bool) {
	p.pool.mu.Lock()
	defer p.pool.mu.Unlock()
	if p.candidate.limit == nil && perSecond == 0 {
		return 0, false
	}
	limit := p.pool.ensureLimit(p.candidate)
	before = limit.perSecond
	switch {
	case perSecond == before:
		limit.statedAt = now
		return before, false
	case perSecond == 0 && !p.startedAt.After(limit.statedAt):
		return before, false
	}
	limit.set(now, perSecond, limit.version+1)
	limit.unreported = true
	p.pool.onChange()
	return before, true
}

// EndpointLimit is the rate limit of an endpoint in a report.
type EndpointLimit struct {
	// Endpoint is the key of the endpoint's incarnation.
	Endpoint string
	// PerSecond is in requests a second; 0 means that the limit has ended.
	PerSecond float64
	Version   uint64
}

// Limits returns the rate limits that this node knows, or only those that changed since the last such call.
func (p *Pool) Limits(onlyChanged bool) []EndpointLimit {
	p.mu.Lock()
	defer p.mu.Unlock()
	var limits []EndpointLimit
	for incarnation, cand := range p.limited {
		if onlyChanged && !cand.limit.unreported {
			continue
		}
		if onlyChanged {
			cand.limit.unreported = false
		}
		limits = append(limits, EndpointLimit{Endpoint: incarnation, PerSecond: cand.limit.perSecond, Version: cand.limit.version})
	}
	slices.SortFunc(limits, func(a, b EndpointLimit) int { return strings.Compare(a.Endpoint, b.Endpoint) })
	return limits
}

// applyReportedLimit applies another node's view of a limit if it is newer; of two views with the same version the lower
// limit holds. The caller holds the lock.
func (p *Pool) applyReportedLimit(now time.Time, reported EndpointLimit) {
	cand, ok := p.lookup(reported.Endpoint)
	if !ok || reported.Version == 0 || math.IsNaN(reported.PerSecond) || reported.PerSecond < 0 {
		return
	}
	limit := p.ensureLimit(cand)
	if reported.Version < limit.version {
		return
	}
	isLower := reported.PerSecond > 0 && (limit.perSecond == 0 || reported.PerSecond < limit.perSecond)
	if reported.Version == limit.version && !isLower {
		return
	}
	limit.set(now, reported.PerSecond, reported.Version)
}
