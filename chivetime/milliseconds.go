package chivetime

import (
	"math"
	"time"
)

// Milliseconds converts a number of milliseconds, which may be fractional, to a duration.
func Milliseconds(ms float64) time.Duration { return duration(ms * float64(time.Millisecond)) }

// Seconds converts a number of seconds, which may be fractional, to a duration.
func Seconds(s float64) time.Duration { return duration(s * float64(time.Second)) }

// duration converts nanoseconds to a duration: the longest one if there are too many, and 0 for what is not a number.
//
// The conversion of the language leaves both cases to the processor; on some, the longest duration becomes a negative one.
func duration(ns float64) time.Duration {
	switch {
	case math.IsNaN(ns):
		return 0
	case ns >= math.MaxInt64:
		return math.MaxInt64
	case ns <= math.MinInt64:
		return math.MinInt64
	}
	return time.Duration(ns)
}
