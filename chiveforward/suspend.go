package chiveforward

import (
	"syscall"
	"time"
	"unsafe"
)

// clockBootTime is the number of Linux's clock that goes on while the machine is suspended.
const clockBootTime = 7

// SinceBoot reads that clock. The runtime's own clock stands still during a suspension: a request whose caller has long given
// up would look as if it still had time, and would be sent. A system without the clock reports zero, which means that no
// suspension is ever seen.
func SinceBoot() time.Duration {
	var now syscall.Timespec
	_, _, failed := syscall.Syscall(syscall.SYS_CLOCK_GETTIME, clockBootTime, uintptr(unsafe.Pointer(&now)), 0) //nolint:gosec // the call fills the struct
	if failed != 0 {
		return 0
	}
	return time.Duration(now.Nano())
}

// stopwatch measures how long the machine was suspended since it was started.
type stopwatch struct {
	read func() time.Duration
	boot time.Duration
	wall time.Time
}

func newStopwatch(read func() time.Duration) stopwatch {
	return stopwatch{read: read, boot: read(), wall: time.Now()}
}

// suspended is the time that the runtime's clock has missed.
func (s *stopwatch) suspended() time.Duration {
	return max(s.read()-s.boot-time.Since(s.wall), 0)
}
