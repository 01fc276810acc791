package chiveforward

import (
	"syscall"
	"time"
	"unsafe"
)

// clockBootTime is the ID of Linux's CLOCK_BOOTTIME, which keeps running while the machine is suspended.
const clockBootTime = 7

// SinceBoot reads CLOCK_BOOTTIME. The runtime's clock stops during a suspension, so a request whose caller has long
// given up would seem to have time left and would be sent. On a system without this clock it returns zero, and
// suspensions are not detected.
func SinceBoot() time.Duration {
	var now syscall.Timespec
	_, _, failed := syscall.Syscall(syscall.SYS_CLOCK_GETTIME, clockBootTime, uintptr(unsafe.Pointer(&now)), 0) //nolint:gosec // the system call fills the struct
	if failed != 0 {
		return 0
	}
	return time.Duration(now.Nano())
}

// suspensionTimer measures how long the machine has been suspended since the timer was created.
type suspensionTimer struct {
	sinceBoot func() time.Duration
	startBoot time.Duration
	startWall time.Time
}

func newSuspensionTimer(sinceBoot func() time.Duration) suspensionTimer {
	return suspensionTimer{sinceBoot: sinceBoot, startBoot: sinceBoot(), startWall: time.Now()}
}

// suspended returns the time that the runtime's clock has missed.
func (s *suspensionTimer) suspended() time.Duration {
	return max(s.sinceBoot()-s.startBoot-time.Since(s.startWall), 0)
}
