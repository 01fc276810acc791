package chiveplace_test

import (
	"errors"
	"testing"
	"time"

	"chivedrift/chiveplace"
	"chivedrift/chiverequest"
	"chivedrift/chivetable"
)

// promptOfRank is a prompt of a rank, for a pool whose shortest target is 1.5 s.
func promptOfRank(own, rank int) *chiverequest.Prompt {
	p := longPrompt(own, own+1000)
	p.Rank, p.Urgent = chivetable.Rank{Place: rank, Of: 3}, 1500*time.Millisecond
	return p
}

// admitUntilRefused sends requests of a rank until one is refused, and returns how many were admitted.
func admitUntilRefused(t *testing.T, p *chiveplace.Pool, from, rank int) (count int, refused *chiveplace.RefusedError) {
	t.Helper()
	for i := range 500 {
		if _, err := p.Take(time.Now(), chiveplace.Ask{Prompt: promptOfRank(from+i, rank)}); err != nil {
			if !errors.As(err, &refused) {
				t.Fatal(err)
			}
			return i, refused
		}
	}
	t.Fatal("no request was refused")
	return 0, nil
}

// Guards against urgent requests that wait behind all others in an overload.
func TestLowerRanksAreRefusedSooner(t *testing.T) {
	p := newPool(2, engine)
	low, refused := admitUntilRefused(t, p, 0, 2)
	if refused.RetryAfter < 200*time.Millisecond || refused.RetryAfter > 5*time.Second {
		t.Errorf("retry after %v", refused.RetryAfter)
	}
	middle, _ := admitUntilRefused(t, p, 10_000, 1)
	high, _ := admitUntilRefused(t, p, 20_000, 0)
	if low == 0 || middle == 0 || high == 0 {
		t.Errorf("admitted %d of rank 2, then %d of rank 1, then %d of rank 0; each rank must get capacity that the lower ranks left", low, middle, high)
	}
}

// Guards against refused callers that all retry at the same moment.
func TestRefusedCallersGetDifferentRetryTimes(t *testing.T) {
	p := newPool(2, engine)
	admitUntilRefused(t, p, 0, 2)
	retryTimes := make(map[time.Duration]bool)
	for i := range 10 {
		_, err := p.Take(time.Now(), chiveplace.Ask{Prompt: promptOfRank(10_000+i, 2)})
		var refused *chiveplace.RefusedError
		if !errors.As(err, &refused) {
			t.Fatalf("got %v", err)
		}
		retryTimes[refused.RetryAfter] = true
	}
	if len(retryTimes) < 8 {
		t.Errorf("ten callers got %d different retry times", len(retryTimes))
	}
}
