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

// Guards against predicting every engine's prefill time from one rate.
func TestForecastFollowsTheEngines(t *testing.T) {
	slow, fast := refusedAfter(t, 10), refusedAfter(t, 100)
	if slow >= fast {
		t.Errorf("an engine that reads 10 tokens a ms takes %d requests before it refuses, one that reads 100 takes %d", slow, fast)
	}
}

// Guards against refusals after a pause whose delayed measurements distorted the forecast.
func TestForecastBearsAMachineThatStoodStill(t *testing.T) {
	p := newPool(1, engine)
	now := time.Now()
	answer := func(i int, late time.Duration) {
		place := take(t, p, now, ranked(1000+i, 0))
		now = now.Add(30*time.Millisecond + time.Duration(place.Reads()/30)*time.Millisecond + late)
		place.Event(now, 0)
		place.Done(now, chiveplace.EndedWell)
	}
	for i := range 100 {
		answer(i, 0)
	}
	expected := func(own int) time.Duration {
		place := take(t, p, now, ranked(own, 0))
		place.Done(now, chiveplace.EndedCaller)
		return place.Expected()
	}
	before := expected(5000)
	for i := range 5 {
		answer(200+i, 20*time.Second)
	}
	if after := expected(5001); after > 2*before {
		t.Errorf("a first event is expected after %v, after %v before the machine stood still", after, before)
	}
}
