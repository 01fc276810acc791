package chivetime

import (
	"math"
	"time"
)

// Milliseconds converts a number of milliseconds, which may be fractional, to a duration.
func Milliseconds(ms float64) time.Duration { return duration(ms * float64(time.Millisecond)) }

// Seconds converts a number of seconds, which may be fractional, to a duration.
func Seconds(s float64) time.Duration { return duration(s * float64(time.Second)) }

// StatedWait returns how long to wait for someone who has stated a number of milliseconds: until the last one of them is over,
// since what was stated may have been cut off to a whole number.
func StatedWait(ms float64) time.Duration { return Milliseconds(math.Floor(ms) + 1) }

// CeilMilliseconds returns the least number of milliseconds that is not shorter than a duration, for times that are sent to others
// and must not end early.
func CeilMilliseconds(d time.Duration) int64 {
	ms := d.Milliseconds()
	if time.Duration(ms)*time.Millisecond < d {
		ms++
	}
	return ms
}

// CeilUnixMilli returns the first millisecond since the epoch that is not before a time.
func CeilUnixMilli(t time.Time) int64 {
	ms := t.UnixMilli()
	if time.UnixMilli(ms).Before(t) {
		ms++
	}
	return ms
}

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
