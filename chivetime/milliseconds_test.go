package chivetime_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"chivedrift/chivetime"
)

// Guards against a time out of range that becomes a negative duration on some processors.
func TestTimesOutOfRangeAreBounded(t *testing.T) {
	for ms, want := range map[float64]time.Duration{
		1.5: 1500 * time.Microsecond, 1e300: math.MaxInt64, -1e300: math.MinInt64, math.Inf(1): math.MaxInt64, 9223372036854.775807: math.MaxInt64, -2: -2 * time.Millisecond,
	} {
		if got := chivetime.Milliseconds(ms); got != want {
			t.Errorf("%v ms: %v, want %v", ms, got, want)
		}
	}
	if got := chivetime.Milliseconds(math.NaN()); got != 0 {
		t.Errorf("NaN: %v, want 0", got)
	}
	if got := chivetime.Seconds(1e308); got != math.MaxInt64 {
		t.Errorf("1e308 s: %v", got)
	}
}

// Guards against waits that end before the fraction of a millisecond is over that a statement in whole ones leaves out.
func TestStatedWaitsLastUntilTheirMillisecondIsOver(t *testing.T) {
	dice := rand.New(rand.NewPCG(1, 1))
	for range 100_000 {
		limit := time.Duration(dice.Int64N(int64(time.Minute)))
		wait := chivetime.StatedWait(float64(limit.Milliseconds()))
		if wait < limit || wait > limit+time.Millisecond {
			t.Fatalf("%v stated in whole milliseconds: waits for %v", limit, wait)
		}
	}
	for ms, want := range map[float64]time.Duration{0.2: time.Millisecond, 1: 2 * time.Millisecond, 1500.5: 1501 * time.Millisecond, 1e300: math.MaxInt64} {
		if got := chivetime.StatedWait(ms); got != want {
			t.Errorf("%v ms: waits for %v, want %v", ms, got, want)
		}
	}
}

// Guards against times that end early at the node or endpoint that they are sent to.
func TestTimesThatAreSentAreRoundedUp(t *testing.T) {
	dice := rand.New(rand.NewPCG(1, 2))
	for range 100_000 {
		exact := time.Duration(dice.Int64N(int64(time.Minute)))
		if sent := time.Duration(chivetime.CeilMilliseconds(exact)) * time.Millisecond; sent < exact || sent >= exact+time.Millisecond {
			t.Fatalf("%v is sent as %v", exact, sent)
		}
		at := time.Unix(1, 0).Add(exact)
		if sent := time.UnixMilli(chivetime.CeilUnixMilli(at)); sent.Before(at) || !sent.Before(at.Add(time.Millisecond)) {
			t.Fatalf("%v is sent as %v", at, sent)
		}
	}
	for d, want := range map[time.Duration]int64{0: 0, 1: 1, time.Millisecond: 1, math.MaxInt64: 9223372036855, -1500 * time.Microsecond: -1} {
		if got := chivetime.CeilMilliseconds(d); got != want {
			t.Errorf("%v: %d ms, want %d", d, got, want)
		}
	}
}
