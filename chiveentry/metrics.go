package chiveentry

import (
	"sync"
	"time"

	"chivedrift/chiveforward"
	"chivedrift/chiverequest"

	"github.com/uber-go/tally/v4"
)

// latencyBuckets reach from a plain service's answer to a long stream.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 2, 13)

// metrics counts outcomes and times by route.
type metrics struct {
	scope tally.Scope
	mu    sync.Mutex
	made  map[string]*routeMetrics
}

type routeMetrics struct {
	scope tally.Scope
	first tally.Histogram
	took  tally.Histogram
}

func newMetrics(scope tally.Scope) *metrics {
	return &metrics{scope: scope.SubScope("entry"), made: make(map[string]*routeMetrics)}
}

func (m *metrics) route(name string) *routeMetrics {
	m.mu.Lock()
	defer m.mu.Unlock()
	r, ok := m.made[name]
	if !ok {
		scope := m.scope.Tagged(map[string]string{"route": name})
		r = &routeMetrics{scope: scope, first: scope.Histogram("first_seconds", latencyBuckets), took: scope.Histogram("took_seconds", latencyBuckets)}
		m.made[name] = r
	}
	return r
}

func (m *metrics) refused(route, code string) {
	m.route(route).scope.Tagged(map[string]string{"code": code}).Counter("refused").Inc(1)
}

func (m *metrics) finished(request *chiverequest.Request, result chiveforward.Result) {
	r := m.route(request.Route.Name)
	r.scope.Tagged(map[string]string{"outcome": string(result.Outcome), "code": result.Code}).Counter("requests").Inc(1)
	r.scope.Counter("attempts").Inc(int64(len(result.Tries)))
	if result.Outcome == chiveforward.Completed {
		r.first.RecordDuration(result.First)
		r.took.RecordDuration(time.Since(request.Arrival))
	}
}
