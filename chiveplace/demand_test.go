package chiveplace_test

import (
	"testing"
	"time"

	"chivedrift/chiveplace"
	"chivedrift/chiverequest"
)

// reportPrefills reports prompts of other nodes at a rate for two seconds, spread over the engines, and returns the
// time after that.
func reportPrefills(p *chiveplace.Pool, now time.Time, engines []string, perSecond int) time.Time {
	for i := range 2 * perSecond {
		now = now.Add(time.Second / time.Duration(perSecond))
		report := chiveplace.Report{Reads: []chiveplace.Read{{
			Endpoint: engines[i%len(engines)], Parts: []chiverequest.Part{{ID: uint64(50_000 + i), Tokens: 4000}},
		}}}
		p.Hear(now, "other", &report)
	}
	return now
}

// endpointAtRate returns where a request goes if e0 has its shared part cached and also has a queue, while other
// prompts arrive at a rate.
func endpointAtRate(t *testing.T, perSecond int) string {
	t.Helper()
	p := newPool(4, engine)
	now := time.Now()
	if perSecond > 0 {
		now = reportPrefills(p, now, []string{"e0", "e1", "e2", "e3"}, perSecond)
	}
	prompt := longPrompt(1, 100)
	prompt.Target, prompt.Pause = time.Second, 0
	p.Hear(now, "other", &chiveplace.Report{
		Loads: []chiveplace.Load{{Endpoint: "e0", Requests: 6, Waiting: []int64{28_000}}},
		Reads: []chiveplace.Read{{Endpoint: "e0", Parts: prompt.Parts[:1]}},
	})
	return take(t, p, now, prompt).Endpoint().ID
}

// Guards against recomputing cached prompt tokens on another engine under load.
func TestRecomputingCostsMoreUnderLoad(t *testing.T) {
	if idle := endpointAtRate(t, 0); idle == "e0" {
		t.Error("without load a request waited in a queue, though an idle engine could have prefilled its part in time")
	}
	if busy := endpointAtRate(t, 80); busy != "e0" {
		t.Errorf("in a burst the part of a request was recomputed on %s", busy)
	}
}
