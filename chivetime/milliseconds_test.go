package chivetime_test

import (
	"math"
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
