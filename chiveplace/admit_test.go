package chiveplace_test

import (
	"errors"
	"testing"
	"time"

	"chivedrift/chiveplace"
	"chivedrift/chiverequest"
	"chivedrift/chivetable"
)

// ranked is a prompt of a rank to a pool whose most urgent target is a second and a half.
func ranked(own, tier int) *chiverequest.Prompt {
	p := longPrompt(own, own+1000)
	p.Rank, p.Urgent = chivetable.Rank{Place: tier, Of: 3}, 1500*time.Millisecond
	return p
}

// admitted sends requests of a rank until one is refused, and returns how many were not.
func admitted(t *testing.T, p *chiveplace.Pool, from, tier int) (count int, refused *chiveplace.RefusedError) {
	t.Helper()
	for i := range 500 {
		if _, err := p.Take(time.Now(), chiveplace.Ask{Prompt: ranked(from+i, tier)}); err != nil {
			if !errors.As(err, &refused) {
				t.Fatal(err)
			}
			return i, refused
		}
	}
	t.Fatal("nothing was ever refused")
	return 0, nil
}

// Guards against overload in which the most urgent requests wait behind all others.
func TestLowerRanksAreRefusedSooner(t *testing.T) {
	p := newPool(2, engine)
	low, refused := admitted(t, p, 0, 2)
	if refused.RetryAfter < 200*time.Millisecond || refused.RetryAfter > 5*time.Second {
		t.Errorf("come back after %v", refused.RetryAfter)
	}
	middle, _ := admitted(t, p, 10_000, 1)
	high, _ := admitted(t, p, 20_000, 0)
	if low == 0 || middle == 0 || high == 0 {
		t.Errorf("admitted %d of rank 2, then %d of rank 1, then %d of rank 0; each rank must find room that those below left", low, middle, high)
	}
}

// Guards against refused callers that all return at the same moment.
func TestRefusedCallersDoNotReturnAsOne(t *testing.T) {
	p := newPool(2, engine)
	admitted(t, p, 0, 2)
	told := make(map[time.Duration]bool)
	for i := range 10 {
		_, err := p.Take(time.Now(), chiveplace.Ask{Prompt: ranked(10_000+i, 2)})
		var refused *chiveplace.RefusedError
		if !errors.As(err, &refused) {
			t.Fatalf("got %v", err)
		}
		told[refused.RetryAfter] = true
	}
	if len(told) < 8 {
		t.Errorf("ten callers were told %d different times", len(told))
	}
}
