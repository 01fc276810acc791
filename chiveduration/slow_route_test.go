package chiveduration_test

import (
	"testing"
	"time"

	"chivedrift/chiveduration"
	"chivedrift/chiverequest"
	"chivedrift/chivetable"
)

// Guards against a forecast for a rare route by the events of others of its pool, which come much faster: its streams would be cut.
func TestSlowRouteIsNotForecastByFasterOnesOfItsPool(t *testing.T) {
	const events, slowTook, fastTook = 50, 5 * time.Second, 500 * time.Millisecond
	prompt := &chiverequest.Prompt{MostOutput: events}
	slow := &chiverequest.Request{Route: &chivetable.Route{Name: "slow"}, Pool: pool, Prompt: prompt}
	fast := &chiverequest.Request{Route: &chivetable.Route{Name: "fast"}, Pool: pool, Prompt: prompt}
	var f chiveduration.Forecast
	for range 40 {
		f.Add(slow, chiveduration.Ran{Took: slowTook, Events: events, Streamed: true})
	}
	for range 200 {
		f.Add(fast, chiveduration.Ran{Took: fastTook, Events: events, Streamed: true})
	}
	for _, chance := range []float64{0.2, 0.02, 0.002} {
		if bound, known := f.Bound(slow, chance); !known || bound < slowTook-time.Millisecond {
			t.Errorf("bound with a chance of %v: %v, %v; all such requests took %v", chance, bound, known, slowTook)
		}
	}
}
