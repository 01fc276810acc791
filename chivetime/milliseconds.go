package chivetime

import (
	"time"
)

// Milliseconds returns a number of milliseconds, which may have a fraction, as a duration.
func Milliseconds(count float64) time.Duration {
	return time.Duration(count * float64(time.Millisecond))
}
