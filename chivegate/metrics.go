package chivegate

import (
	"sync"
	"time"

	"chivedrift/chiveconfig"
	"chivedrift/chivedispatch"

	"github.com/uber-go/tally/v4"
)

// requestMetrics holds the metrics of each class. They are created once per class, since creating a scope costs more
// than counting.
type requestMetrics struct {
	scope   tally.Scope
	mu      sync.Mutex
	classes map[string]*classMetrics
}

type classMetrics struct {
	outcomes      map[chivedispatch.Outcome]tally.Counter
	firstToken    tally.Histogram
	betweenTokens tally.Histogram
	queued        tally.Histogram
	tokens        tally.Counter
	targetMet     tally.Counter
}

const (
	minLatencyBucket    = time.Millisecond
	latencyBucketFactor = 2
	latencyBucketCount  = 18
	noClass             = "none"
)

func newRequestMetrics(scope tally.Scope) *requestMetrics {
	return &requestMetrics{scope: scope, classes: make(map[string]*classMetrics)}
}

func (m *requestMetrics) forClass(name string) *classMetrics {
	m.mu.Lock()
	defer m.mu.Unlock()
	if c, ok := m.classes[name]; ok {
		return c
	}
	scope := m.scope.Tagged(map[string]string{"class": name})
	buckets := tally.MustMakeExponentialDurationBuckets(minLatencyBucket, latencyBucketFactor, latencyBucketCount)
	c := &classMetrics{
		outcomes: make(map[chivedispatch.Outcome]tally.Counter), firstToken: scope.Histogram("first_token", buckets),
		betweenTokens: scope.Histogram("between_tokens", buckets),
		queued:        scope.Histogram("queued", buckets), tokens: scope.Counter("tokens"), targetMet: scope.Counter("target_met"),
	}
	for _, o := range []chivedispatch.Outcome{chivedispatch.Completed, chivedispatch.NotRun, chivedispatch.Failed, chivedispatch.Unknown} {
		c.outcomes[o] = scope.Tagged(map[string]string{"outcome": string(o)}).Counter("requests")
	}
	m.classes[name] = c
	return c
}

func (m *requestMetrics) countOutcome(class string, outcome chivedispatch.Outcome) {
	if class == "" {
		class = noClass
	}
	m.forClass(class).outcomes[outcome].Inc(1)
}

// recordExplanation records the outcome, times and tokens of a request that was admitted.
func (m *requestMetrics) recordExplanation(explanation *Explanation, class *chiveconfig.Class) {
	c := m.forClass(explanation.Class)
	c.outcomes[explanation.Outcome].Inc(1)
	c.queued.RecordDuration(time.Duration(explanation.QueuedMs) * time.Millisecond)
	c.tokens.Inc(explanation.Tokens)
	if explanation.Outcome != chivedispatch.Completed {
		return
	}
	first := time.Duration(explanation.FirstTokenMs) * time.Millisecond
	c.firstToken.RecordDuration(first)
	c.betweenTokens.RecordDuration(time.Duration(explanation.BetweenMs * float64(time.Millisecond)))
	withinPace := class.BetweenTokensMs == 0 || explanation.BetweenMs <= float64(class.BetweenTokensMs)
	if first <= class.FirstToken() && withinPace {
		c.targetMet.Inc(1)
	}
}
