package chiveschedule

import (
	"time"
)

// Estimates learns how long outputs are, by class and team, since nobody knows a length beforehand.
type Estimates struct {
	byTeam  map[string]*lengthStats
	byClass map[string]*lengthStats
}

type lengthStats struct {
	quantile float64
	mean     float64
	samples  int
}

const (
	lengthQuantile   = 0.8
	quantileStep     = 0.08
	meanWeight       = 0.05
	minLengthSamples = 20
	minLength        = 1
	keySeparator     = "\x00"
	rateWindow       = 2 * time.Second
	rateResetAfter   = 10 * time.Second
)

// NewEstimates returns estimates that know nothing yet.
func NewEstimates() *Estimates {
	return &Estimates{byTeam: make(map[string]*lengthStats), byClass: make(map[string]*lengthStats)}
}

// Observe notes the output length of a finished request.
func (e *Estimates) Observe(class, team string, tokens int64) {
	recordLength(e.byClass, class, tokens)
	recordLength(e.byTeam, class+keySeparator+team, tokens)
}

func recordLength(stats map[string]*lengthStats, key string, tokens int64) {
	s, ok := stats[key]
	if !ok {
		s = &lengthStats{quantile: float64(tokens), mean: float64(tokens)}
		stats[key] = s
	}
	s.add(float64(tokens))
}

// add moves the running quantile by a step in proportion to itself: up by q when above it, down by 1-q when below.
func (s *lengthStats) add(tokens float64) {
	s.samples++
	s.mean += meanWeight * (tokens - s.mean)
	step := quantileStep * max(s.quantile, minLength)
	if tokens > s.quantile {
		s.quantile += step * lengthQuantile
	} else {
		s.quantile -= step * (1 - lengthQuantile)
	}
}

// Of returns the high quantile and the mean of the output in tokens for a class and team, or the class's prior.
func (e *Estimates) Of(class *ClassPlan, team string) (high, mean int64) {
	for _, s := range []*lengthStats{e.byTeam[class.name+keySeparator+team], e.byClass[class.name]} {
		if s != nil && s.samples >= minLengthSamples {
			return max(int64(s.quantile), minLength), max(int64(s.mean), minLength)
		}
	}
	return class.expectedTokens, class.expectedTokens
}

// tokenRate measures how many tokens of finished work leave a shard a second.
type tokenRate struct {
	windowStart     time.Time
	windowTokens    float64
	tokensPerSecond float64
}

func (r *tokenRate) add(now time.Time, tokens int64) {
	if r.windowStart.IsZero() {
		r.windowStart = now
	}
	r.windowTokens += float64(tokens)
	r.advanceWindow(now)
}

func (r *tokenRate) advanceWindow(now time.Time) {
	elapsed := now.Sub(r.windowStart)
	if r.windowStart.IsZero() || elapsed < rateWindow {
		return
	}
	current := r.windowTokens / elapsed.Seconds()
	if r.tokensPerSecond == 0 || elapsed > rateResetAfter {
		r.tokensPerSecond = current
	} else {
		r.tokensPerSecond = (r.tokensPerSecond + current) / 2
	}
	r.windowStart = now
	r.windowTokens = 0
}
