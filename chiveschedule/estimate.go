package chiveschedule

import (
	"time"
)

// Estimates predicts output lengths from those of finished requests, by class and team; the length of an output is not
// known in advance.
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

// NewEstimates returns estimates without samples.
func NewEstimates() *Estimates {
	return &Estimates{byTeam: make(map[string]*lengthStats), byClass: make(map[string]*lengthStats)}
}

// Observe records the output length of a finished request.
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

// add updates the mean and the quantile estimate. The quantile moves by a step proportional to itself: up by q of the
// step for a sample above it, down by 1-q of the step otherwise.
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

// Of returns the lengthQuantile and the mean of the output length in tokens. It uses the team's samples within the
// class, then those of the class, then the class's configured expectation, whichever has enough samples first.
func (e *Estimates) Of(class *ClassPlan, team string) (high, mean int64) {
	for _, s := range []*lengthStats{e.byTeam[class.name+keySeparator+team], e.byClass[class.name]} {
		if s != nil && s.samples >= minLengthSamples {
			return max(int64(s.quantile), minLength), max(int64(s.mean), minLength)
		}
	}
	return class.expectedTokens, class.expectedTokens
}

// tokenRate measures a throughput in tokens per second over windows of at least rateWindow.
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
