//go:build !race

package chiveforward_test

import (
	"testing"
	"testing/synctest"
	"time"

	"chivedrift/chiveforward"
	"chivedrift/chivestand"
	"chivedrift/chivetable"
)

// Guards against a stopping node that refuses quick requests since a few of their kind lasted long.
func TestStoppingNodeServesQuickRequestsDespiteAFewLongOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, shutdown, _ := newStoppingFixtureOn(t, chivestand.NewNetwork(), chivetable.Route{Attempts: 1, Target: 4 * time.Second})
		for i := range 40 {
			lasts := time.Millisecond
			if i == 20 {
				lasts = 400 * time.Millisecond
			}
			if result, _ := s.run(s.lastingRequest(lasts)); result.Outcome != chiveforward.Completed {
				t.Fatalf("got %+v", result)
			}
		}
		now := time.Now()
		shutdown.Begin(now, now.Add(400*time.Millisecond))
		if result, _ := s.run(s.lastingRequest(time.Millisecond)); result.Outcome != chiveforward.Completed {
			t.Errorf("a quick request: %+v", result)
		}
		if result, _ := s.run(s.lastingRequest(3 * time.Second)); result.Outcome != chiveforward.Unknown || result.Started || time.Since(now) > 400*time.Millisecond {
			t.Errorf("a long one, %v after the signal: %+v", time.Since(now), result)
		}
		// The endpoint ends by then.
		time.Sleep(3 * time.Second)
	})
}
