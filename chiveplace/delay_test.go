package chiveplace_test

import (
	"testing"
	"time"

	"chivedrift/chiveplace"
)

// Symptom: on heavy days streams with long answers ran out of time, 3 in 100 of the largest requests, while a tenth of the engines read all the
// time and others a tenth of it.
// Sequence: an engine reads one long prompt after the other; the streams on it get an event of eight tokens in 450 ms and pile up. Each new
// prompt found no queue there, and so as good a place as on an engine with nothing to do.
// Cause: the cost of an engine held what waits before a request and the streams whose pauses it spoils, not the requests that it holds up.
func TestReadsGoWhereFewerWouldBeHeldUp(t *testing.T) {
	p := newPool(9, engine)
	now := time.Now()
	// Two thirds of the engines run ten streams each whose prompts have been read; all queues are empty.
	busy := map[string]bool{}
	var loads []chiveplace.Load
	for _, e := range []string{"e0", "e1", "e2", "e3", "e4", "e5"} {
		busy[e] = true
		loads = append(loads, chiveplace.Load{Endpoint: e, Requests: 10})
	}
	p.Hear(now, "other", &chiveplace.Report{Loads: loads})
	held := 0
	const prompts = 40
	for i := range prompts {
		place := take(t, p, now, longPrompt(100+i, 1000+i))
		if busy[place.Endpoint().ID] {
			held++
		}
		// Each is read and answered before the next comes.
		now = now.Add(3 * time.Second)
		place.Event(now, 0)
		place.Done(now, chiveplace.EndedWell)
		p.Hear(now, "other", &chiveplace.Report{Loads: loads})
	}
	if held > prompts/10 {
		t.Errorf("%d of %d long prompts went to engines with ten streams, while three had none", held, prompts)
	}
}
