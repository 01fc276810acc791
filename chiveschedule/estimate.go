package chiveschedule

import (
	"time"
)

// Estimates learns how long outputs are, by class and team, since nobody knows a length beforehand.
type Estimates struct {
	byTeam  map[string]*length
	byClass map[string]*length
}

type length struct {
	high float64
	mean float64
	seen int
}

const (
	highQuantile  = 0.8
	quantileStep  = 0.08
	meanWeight    = 0.05
	trustAfter    = 20
	leastLength   = 1
	keySeparator  = "\x00"
	rateWindow    = 2 * time.Second
	rateForgotten = 10 * time.Second
)

// NewEstimates returns estimates that know nothing yet.
func NewEstimates() *Estimates {
	return &Estimates{byTeam: make(map[string]*length), byClass: make(map[string]*length)}
}

// Observe notes the output length of a finished request.
func (e *Estimates) Observe(class, team string, tokens int64) {
	observe(e.byClass, class, tokens)
	observe(e.byTeam, class+keySeparator+team, tokens)
}

func observe(lengths map[string]*length, key string, tokens int64) {
	l, ok := lengths[key]
	if !ok {
		l = &length{high: float64(tokens), mean: float64(tokens)}
		lengths[key] = l
	}
	l.add(float64(tokens))
}

// add moves the running quantile by a step in proportion to itself: up by q when above it, down by 1-q when below.
func (l *length) add(tokens float64) {
	l.seen++
	l.mean += meanWeight * (tokens - l.mean)
	step := quantileStep * max(l.high, leastLength)
	if tokens > l.high {
		l.high += step * highQuantile
	} else {
		l.high -= step * (1 - highQuantile)
	}
}

// Of returns the high quantile and the mean of the output in tokens for a class and team, or the class's prior.
func (e *Estimates) Of(class *ClassPlan, team string) (high, mean int64) {
	for _, l := range []*length{e.byTeam[class.name+keySeparator+team], e.byClass[class.name]} {
		if l != nil && l.seen >= trustAfter {
			return max(int64(l.high), leastLength), max(int64(l.mean), leastLength)
		}
	}
	return class.expected, class.expected
}

// rate measures how many tokens of finished work leave a shard a second.
type rate struct {
	since time.Time
	sum   float64
	value float64
}

func (r *rate) add(now time.Time, tokens int64) {
	if r.since.IsZero() {
		r.since = now
	}
	r.sum += float64(tokens)
	r.roll(now)
}

func (r *rate) roll(now time.Time) {
	elapsed := now.Sub(r.since)
	if r.since.IsZero() || elapsed < rateWindow {
		return
	}
	current := r.sum / elapsed.Seconds()
	if r.value == 0 || elapsed > rateForgotten {
		r.value = current
	} else {
		r.value = (r.value + current) / 2
	}
	r.since = now
	r.sum = 0
}
