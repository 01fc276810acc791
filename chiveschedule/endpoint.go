package chiveschedule

import (
	"sort"
	"time"
)

// endpoint tracks the slots in use on one endpoint, its health and its measured latency.
type endpoint struct {
	config         EndpointPlan
	sequencesInUse int64
	tokensInUse    int64

	timePerTokenMs float64
	firstTokenMs   float64
	samples        int
	lastUsed       time.Time

	consecutiveFailures int
	quarantinedUntil    time.Time
	drainingUntil       time.Time
	probeInFlight       bool
}

const (
	ewmaWeight          = 0.2
	minLatencySamples   = 4
	stragglerFactor     = 2.5
	stragglerRetryAfter = 5 * time.Second
	minQuarantine       = 500 * time.Millisecond
	maxQuarantine       = 10 * time.Second
	drainingPeriod      = time.Minute
	takeoverCapacity    = 0.5
)

func (e *endpoint) load() float64 {
	if e.config.Tokens == 0 {
		return 1
	}
	return max(float64(e.sequencesInUse)/float64(e.config.Sequences), float64(e.tokensInUse)/float64(e.config.Tokens))
}

// hasRoom reports whether a request of this cost fits within a fraction of the capacity; an idle endpoint takes any
// request that fits its whole capacity.
func (e *endpoint) hasRoom(cost int64, fraction float64) bool {
	sequences := max(int64(float64(e.config.Sequences)*fraction), 1)
	tokens := int64(float64(e.config.Tokens) * fraction)
	return e.sequencesInUse < sequences && (e.tokensInUse+cost <= tokens || (e.sequencesInUse == 0 && cost <= e.config.Tokens))
}

// available reports whether the endpoint may get a request. After a quarantine it gets one repeatable request at a time
// as a probe, until one succeeds.
func (e *endpoint) available(now time.Time, repeatable bool) bool {
	if e.config.Evacuated || now.Before(e.quarantinedUntil) || now.Before(e.drainingUntil) {
		return false
	}
	if e.consecutiveFailures > 0 {
		return repeatable && !e.probeInFlight
	}
	return true
}

func (e *endpoint) reserve(now time.Time, cost int64) {
	e.sequencesInUse++
	e.tokensInUse += cost
	e.lastUsed = now
	e.probeInFlight = e.consecutiveFailures > 0
}

func (e *endpoint) release(cost int64) {
	e.sequencesInUse = max(e.sequencesInUse-1, 0)
	e.tokensInUse = max(e.tokensInUse-cost, 0)
}

// recordSuccess ends a quarantine.
func (e *endpoint) recordSuccess() {
	e.consecutiveFailures = 0
	e.probeInFlight = false
}

// recordFailure quarantines the endpoint for a time that doubles with each consecutive failure, up to maxQuarantine.
func (e *endpoint) recordFailure(now time.Time) {
	e.probeInFlight = false
	quarantine := min(minQuarantine<<min(e.consecutiveFailures, 10), maxQuarantine)
	e.consecutiveFailures++
	e.quarantinedUntil = now.Add(quarantine)
}

func (e *endpoint) markDraining(now time.Time) {
	e.drainingUntil = now.Add(drainingPeriod)
}

// recordLatency adds a sample of the time to first token and of the time per output token; zero means no sample.
func (e *endpoint) recordLatency(now time.Time, observedFirstTokenMs float64, observedTimePerTokenMs float64) {
	e.lastUsed = now
	if observedFirstTokenMs > 0 {
		e.firstTokenMs = ewma(e.firstTokenMs, observedFirstTokenMs)
	}
	if observedTimePerTokenMs > 0 {
		e.timePerTokenMs = ewma(e.timePerTokenMs, observedTimePerTokenMs)
		e.samples++
	}
}

func ewma(previous, sample float64) float64 {
	if previous == 0 {
		return sample
	}
	return previous + ewmaWeight*(sample-previous)
}

// decayStragglerLatency moves the latency of an endpoint that is slower than the median halfway to the median each time
// it has been unused for stragglerRetryAfter. Otherwise a straggler that gets no requests would get no new samples and
// would be avoided for ever.
func (e *endpoint) decayStragglerLatency(now time.Time, median float64) {
	if median > 0 && e.timePerTokenMs > median && now.Sub(e.lastUsed) > stragglerRetryAfter {
		e.timePerTokenMs = (e.timePerTokenMs + median) / 2
		e.lastUsed = now
	}
}

func (e *endpoint) isStraggler(median float64) bool {
	return median > 0 && e.samples >= minLatencySamples && e.timePerTokenMs > stragglerFactor*median
}

// medianTimePerToken returns the median time per output token in milliseconds over the endpoints with enough samples,
// or 0 when fewer than two have enough.
func medianTimePerToken(endpoints []*endpoint) float64 {
	samples := make([]float64, 0, len(endpoints))
	for _, e := range endpoints {
		if e.samples >= minLatencySamples {
			samples = append(samples, e.timePerTokenMs)
		}
	}
	if len(samples) < 2 {
		return 0
	}
	sort.Float64s(samples)
	return samples[(len(samples)-1)/2]
}
