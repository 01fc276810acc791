package chiveplace_test

import (
	"testing"
	"time"

	"chivedrift/chiveplace"
	"chivedrift/chiverequest"
)

// crowd tells a pool of prompts that other nodes sent, spread over its engines, for two seconds.
func crowd(p *chiveplace.Pool, now time.Time, engines []string, aSecond int) time.Time {
	for i := range 2 * aSecond {
		now = now.Add(time.Second / time.Duration(aSecond))
		report := chiveplace.Report{Reads: []chiveplace.Read{{
			Endpoint: engines[i%len(engines)], Parts: []chiverequest.Part{{ID: uint64(50_000 + i), Tokens: 4000}},
		}}}
		p.Hear(now, "other", &report)
	}
	return now
}

// chosenBeside returns where a request goes whose shared part e0 holds, which has a queue, while so many other prompts arrive a second.
func chosenBeside(t *testing.T, aSecond int) string {
	t.Helper()
	p := newPool(4, engine)
	now := time.Now()
	if aSecond > 0 {
		now = crowd(p, now, []string{"e0", "e1", "e2", "e3"}, aSecond)
	}
	prompt := longPrompt(1, 100)
	prompt.Target, prompt.Pause = time.Second, 0
	p.Hear(now, "other", &chiveplace.Report{
		Loads: []chiveplace.Load{{Endpoint: "e0", Requests: 6, Waiting: []int64{28_000}}},
		Reads: []chiveplace.Read{{Endpoint: "e0", Parts: prompt.Parts[:1]}},
	})
	return take(t, p, now, prompt).Endpoint().ID
}

// Guards against computing cached prompt tokens again on another engine under load.
func TestReadingAgainCostsMoreUnderLoad(t *testing.T) {
	if calm := chosenBeside(t, 0); calm == "e0" {
		t.Error("in calm a request waited behind a queue, though an idle engine could have read its part in time")
	}
	if busy := chosenBeside(t, 80); busy != "e0" {
		t.Errorf("in a burst a request had its part read again on %s", busy)
	}
}
