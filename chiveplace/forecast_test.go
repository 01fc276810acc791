package chiveplace_test

import (
	"testing"
	"time"

	"chivedrift/chiveplace"
)

// sendAndAnswer sends prompts one after the other to a pool of one engine that reads so many tokens a millisecond and needs a fixed
// time beside, and returns how many of a burst of ten it takes for the eleventh to be refused, or fifty.
func refusedAfter(t *testing.T, tokensPerMs float64) int {
	t.Helper()
	p := newPool(1, engine)
	now := time.Now()
	for i := range 300 {
		place := take(t, p, now, ranked(1000+i, 0))
		now = now.Add(time.Duration((30 + float64(place.Reads())/tokensPerMs) * float64(time.Millisecond)))
		place.Event(now, 0)
		place.Done(now, chiveplace.EndedWell)
	}
	for i := range 50 {
		if _, err := p.Take(now, chiveplace.Ask{Prompt: ranked(5000+i, 0)}); err != nil {
			return i
		}
	}
	return 50
}

// Symptom: engines that read slowly got more than they could read in time, and fast ones less.
// Sequence: a request's wait was predicted from one rate, learnt from whole waits in which others' tokens had partly been read.
// Cause: what a request reads itself and what waits before it take different times. Both are learnt from every first event.
func TestForecastFollowsTheEngines(t *testing.T) {
	slow, fast := refusedAfter(t, 10), refusedAfter(t, 100)
	if slow >= fast {
		t.Errorf("an engine that reads 10 tokens a ms takes %d requests before it refuses, one that reads 100 takes %d", slow, fast)
	}
}
