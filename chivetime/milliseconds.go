package chivetime

import (
	"time"
)

// Milliseconds converts a number of milliseconds, which may be fractional, to a duration.
func Milliseconds(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond))
}
