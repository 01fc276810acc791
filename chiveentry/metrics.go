package chiveentry

import (
	"sync"
	"time"

	"chivedrift/chiveforward"
	"chivedrift/chiverequest"

	"github.com/uber-go/tally/v4"
)

// latencyBuckets range from the latency of a plain service to the duration of a long stream.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 2, 13)

// metrics holds outcome counters and latency histograms for each route.
type metrics struct {
	scope  tally.Scope
	mu     sync.Mutex
	routes map[string]*routeMetrics
}

type routeMetrics struct {
	scope           tally.Scope
	timeToFirstByte tally.Histogram
	duration        tally.Histogram
}

func newMetrics(scope tally.Scope) *metrics {
	return &metrics{scope: scope.SubScope("entry"), routes: make(map[string]*routeMetrics)}
}

func (m *metrics) forRoute(name string) *routeMetrics {
	m.mu.Lock()
	defer m.mu.Unlock()
	r, ok := m.routes[name]
	if !ok {
		scope := m.scope.Tagged(map[string]string{"route": name})
		r = &routeMetrics{scope: scope, timeToFirstByte: scope.Histogram("first_seconds", latencyBuckets), duration: scope.Histogram("took_seconds", latencyBuckets)}
		m.routes[name] = r
	}
	return r
}

func (m *metrics) countRefusal(route, code string) {
	m.forRoute(route).scope.Tagged(map[string]string{"code": code}).Counter("refused").Inc(1)
}

func (m *metrics) recordResult(request *chiverequest.Request, result chiveforward.Result) {
	r := m.forRoute(request.Route.Name)
	r.scope.Tagged(map[string]string{"outcome": string(result.Outcome), "code": result.Code}).Counter("requests").Inc(1)
	r.scope.Counter("attempts").Inc(int64(len(result.Tries)))
	if result.Outcome == chiveforward.Completed {
		r.timeToFirstByte.RecordDuration(result.First)
		r.duration.RecordDuration(time.Since(request.Arrival))
	}
}
