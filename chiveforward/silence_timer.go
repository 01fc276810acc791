package chiveforward

import (
	"sync"
	"time"
)

// stallTime is by how much a call must be late to show that the process was not scheduled when it was due, stallWait how long what arrived in
// that time has to be passed on.
const stallTime, stallWait = 40 * time.Millisecond, 50 * time.Millisecond

// silenceTimer calls end once an endpoint has sent nothing for a limit.
type silenceTimer struct {
	limit time.Duration
	end   func()
	mu    sync.Mutex
	timer *time.Timer
	// due is when the limit is reached, zero after a stop; hasWaited means that the call was late and waits for what arrived meanwhile.
	due       time.Time
	hasWaited bool
}

// newSilenceTimer returns a timer that runs.
func newSilenceTimer(limit time.Duration, end func()) *silenceTimer {
	s := &silenceTimer{limit: limit, end: end, due: time.Now().Add(limit)}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timer = time.AfterFunc(limit, s.expire)
	return s
}

// restart starts the time anew.
func (s *silenceTimer) restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.due, s.hasWaited = time.Now().Add(s.limit), false
	s.timer.Reset(s.limit)
}

// stop prevents the call.
func (s *silenceTimer) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.due = time.Time{}
	s.timer.Stop()
}

// expire ends the attempt, unless the endpoint has sent something just now. If the process was not scheduled when the time was over, what has
// arrived meanwhile is read first.
func (s *silenceTimer) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	late := time.Since(s.due)
	switch {
	case s.due.IsZero() || late < 0:
	case late > stallTime && !s.hasWaited:
		s.hasWaited = true
		s.timer.Reset(stallWait)
	default:
		s.end()
	}
}
