package chiveplace_test

import (
	"testing"
	"time"

	"chivedrift/chiveplace"
)

// requestsUntilRefused serves prompts one after the other on a pool of one engine with the given prefill rate and a
// fixed time per request. It then returns how many of 50 simultaneous requests are admitted before the first refusal,
// or 50.
func requestsUntilRefused(t *testing.T, tokensPerMs float64) int {
	t.Helper()
	p := newPool(1, engine)
	now := time.Now()
	for i := range 300 {
		place := take(t, p, now, promptOfRank(1000+i, 0))
		now = now.Add(time.Duration((30 + float64(place.Reads())/tokensPerMs) * float64(time.Millisecond)))
		place.Event(now, 0)
		place.Done(now, chiveplace.EndedWell)
	}
	for i := range 50 {
		if _, err := p.Take(now, chiveplace.Ask{Prompt: promptOfRank(5000+i, 0)}); err != nil {
			return i
		}
	}
	return 50
}

// Guards against predicting every engine's prefill time from one rate.
func TestPredictionFollowsPrefillSpeed(t *testing.T) {
	slow, fast := requestsUntilRefused(t, 10), requestsUntilRefused(t, 100)
	if slow >= fast {
		t.Errorf("an engine that prefills 10 tokens a ms admits %d requests before the first refusal, one that prefills 100 admits %d", slow, fast)
	}
}

// Guards against refusals after a machine was suspended, when the delayed answers have distorted the prediction.
func TestPredictionToleratesASuspendedMachine(t *testing.T) {
	p := newPool(1, engine)
	now := time.Now()
	serve := func(i int, delay time.Duration) {
		place := take(t, p, now, promptOfRank(1000+i, 0))
		now = now.Add(30*time.Millisecond + time.Duration(place.Reads()/30)*time.Millisecond + delay)
		place.Event(now, 0)
		place.Done(now, chiveplace.EndedWell)
	}
	for i := range 100 {
		serve(i, 0)
	}
	expected := func(own int) time.Duration {
		place := take(t, p, now, promptOfRank(own, 0))
		place.Done(now, chiveplace.EndedCaller)
		return place.Expected()
	}
	before := expected(5000)
	for i := range 5 {
		serve(200+i, 20*time.Second)
	}
	if after := expected(5001); after > 2*before {
		t.Errorf("predicted TTFT %v, but %v before the machine was suspended", after, before)
	}
}
