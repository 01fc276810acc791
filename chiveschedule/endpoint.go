package chiveschedule

import (
	"sort"
	"time"
)

// endpoint is the ledger of one endpoint together with what its answers told of its health and pace.
type endpoint struct {
	plan      EndpointPlan
	sequences int64
	tokens    int64

	pace     float64
	first    float64
	samples  int
	lastUsed time.Time

	failures  int
	downUntil time.Time
	leaving   time.Time
	probing   bool
}

const (
	paceWeight       = 0.2
	paceSamples      = 4
	stragglerFactor  = 2.5
	paceForgotten    = 5 * time.Second
	quarantineFirst  = 500 * time.Millisecond
	quarantineMost   = 10 * time.Second
	leavingKept      = time.Minute
	settlingFraction = 0.5
)

func (e *endpoint) load() float64 {
	if e.plan.Tokens == 0 {
		return 1
	}
	return max(float64(e.sequences)/float64(e.plan.Sequences), float64(e.tokens)/float64(e.plan.Tokens))
}

// fits reports whether the ledger has room, within a fraction of the capacity.
func (e *endpoint) fits(cost int64, fraction float64) bool {
	sequences := max(int64(float64(e.plan.Sequences)*fraction), 1)
	tokens := int64(float64(e.plan.Tokens) * fraction)
	return e.sequences < sequences && (e.tokens+cost <= tokens || (e.sequences == 0 && cost <= e.plan.Tokens))
}

// up reports whether the endpoint may get work at all; after a quarantine one repeatable request at a time probes it.
func (e *endpoint) up(now time.Time, repeatable bool) bool {
	if now.Before(e.downUntil) || now.Before(e.leaving) {
		return false
	}
	if e.failures > 0 {
		return repeatable && !e.probing
	}
	return true
}

func (e *endpoint) take(now time.Time, cost int64) {
	e.sequences++
	e.tokens += cost
	e.lastUsed = now
	e.probing = e.failures > 0
}

func (e *endpoint) release(cost int64) {
	e.sequences = max(e.sequences-1, 0)
	e.tokens = max(e.tokens-cost, 0)
}

// succeed ends a quarantine.
func (e *endpoint) succeed() {
	e.failures = 0
	e.probing = false
}

// fail quarantines the endpoint for a time that doubles with each failure in a row.
func (e *endpoint) fail(now time.Time) {
	e.probing = false
	pause := min(quarantineFirst<<min(e.failures, 10), quarantineMost)
	e.failures++
	e.downUntil = now.Add(pause)
}

func (e *endpoint) leave(now time.Time) {
	e.leaving = now.Add(leavingKept)
}

// observe notes the time to the first token and the time a token, in milliseconds.
func (e *endpoint) observe(now time.Time, firstMs float64, paceMs float64) {
	e.lastUsed = now
	if firstMs > 0 {
		e.first = blend(e.first, firstMs)
	}
	if paceMs > 0 {
		e.pace = blend(e.pace, paceMs)
		e.samples++
	}
}

func blend(old, sample float64) float64 {
	if old == 0 {
		return sample
	}
	return old + paceWeight*(sample-old)
}

// forgive moves an endpoint's pace towards the median after a while without samples, so that a straggler that
// nobody uses any more is tried again instead of being avoided for good.
func (e *endpoint) forgive(now time.Time, median float64) {
	if median > 0 && e.pace > median && now.Sub(e.lastUsed) > paceForgotten {
		e.pace = (e.pace + median) / 2
		e.lastUsed = now
	}
}

func (e *endpoint) straggles(median float64) bool {
	return median > 0 && e.samples >= paceSamples && e.pace > stragglerFactor*median
}

// medianPace returns the median time a token over the endpoints that have samples, in milliseconds; 0 while fewer than two have.
func medianPace(endpoints []*endpoint) float64 {
	paces := make([]float64, 0, len(endpoints))
	for _, e := range endpoints {
		if e.samples >= paceSamples {
			paces = append(paces, e.pace)
		}
	}
	if len(paces) < 2 {
		return 0
	}
	sort.Float64s(paces)
	return paces[(len(paces)-1)/2]
}
