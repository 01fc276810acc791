package chivegate

import (
	"sync"
	"time"

	"chivedrift/chiveconfig"
	"chivedrift/chivedispatch"

	"github.com/uber-go/tally/v4"
)

// gateMetrics counts requests by class and outcome; scopes are made once a class, since making one costs more than counting.
type gateMetrics struct {
	scope   tally.Scope
	mu      sync.Mutex
	classes map[string]*classMetrics
}

type classMetrics struct {
	outcomes map[chivedispatch.Outcome]tally.Counter
	first    tally.Histogram
	between  tally.Histogram
	queued   tally.Histogram
	tokens   tally.Counter
	met      tally.Counter
}

const (
	bucketFirst  = time.Millisecond
	bucketFactor = 2
	bucketCount  = 18
	noClass      = "none"
)

func newGateMetrics(scope tally.Scope) *gateMetrics {
	return &gateMetrics{scope: scope, classes: make(map[string]*classMetrics)}
}

func (m *gateMetrics) class(name string) *classMetrics {
	m.mu.Lock()
	defer m.mu.Unlock()
	if c, ok := m.classes[name]; ok {
		return c
	}
	scope := m.scope.Tagged(map[string]string{"class": name})
	buckets := tally.MustMakeExponentialDurationBuckets(bucketFirst, bucketFactor, bucketCount)
	c := &classMetrics{
		outcomes: make(map[chivedispatch.Outcome]tally.Counter), first: scope.Histogram("first_token", buckets),
		between: scope.Histogram("between_tokens", buckets),
		queued:  scope.Histogram("queued", buckets), tokens: scope.Counter("tokens"), met: scope.Counter("target_met"),
	}
	for _, o := range []chivedispatch.Outcome{chivedispatch.Completed, chivedispatch.NotRun, chivedispatch.Failed, chivedispatch.Unknown} {
		c.outcomes[o] = scope.Tagged(map[string]string{"outcome": string(o)}).Counter("requests")
	}
	m.classes[name] = c
	return c
}

func (m *gateMetrics) outcome(class string, outcome chivedispatch.Outcome) {
	if class == "" {
		class = noClass
	}
	m.class(class).outcomes[outcome].Inc(1)
}

// finished counts a request that was admitted.
func (m *gateMetrics) finished(x *Explanation, class *chiveconfig.Class) {
	c := m.class(x.Class)
	c.outcomes[x.Outcome].Inc(1)
	c.queued.RecordDuration(time.Duration(x.QueuedMs) * time.Millisecond)
	c.tokens.Inc(x.Tokens)
	if x.Outcome != chivedispatch.Completed {
		return
	}
	first := time.Duration(x.FirstTokenMs) * time.Millisecond
	c.first.RecordDuration(first)
	c.between.RecordDuration(time.Duration(x.BetweenMs * float64(time.Millisecond)))
	steady := class.BetweenTokensMs == 0 || x.BetweenMs <= float64(class.BetweenTokensMs)
	if first <= class.FirstToken() && steady {
		c.met.Inc(1)
	}
}
