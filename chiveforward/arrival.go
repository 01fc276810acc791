package chiveforward

import (
	"errors"
	"sync"
	"time"
)

const (
	// maxHeadBytes limits the head of a response, and each head that comes before it.
	maxHeadBytes = 64 << 10
	// maxArrivalTime limits how long a head or an event may arrive, from its first byte on, apart from the longest pause: an
	// endpoint may fall silent for a second and go on.
	maxArrivalTime = 750 * time.Millisecond
)

// errArrivesTooLong is the error of a connection on which a head or an event does not end in time.
var errArrivesTooLong = errors.New("response arrives for too long without an end of its head or event")

// arrival measures how long a head or an event has been arriving on a connection.
type arrival struct {
	mu           sync.Mutex
	active       bool
	first, last  time.Time
	longestPause time.Duration
}

// await starts to measure with the next byte that is received.
func (a *arrival) await() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.active, a.first, a.longestPause = true, time.Time{}, 0
}

// begin starts to measure with a byte that has been received already.
func (a *arrival) begin(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.active, a.first, a.last, a.longestPause = true, now, now, 0
}

// end stops measuring: what was arriving is complete.
func (a *arrival) end() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.active = false
}

// receive records that bytes were received.
func (a *arrival) receive(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.first.IsZero() {
		a.first, a.last = now, now
	}
	a.longestPause = max(a.longestPause, now.Sub(a.last))
	a.last = now
}

// isTooLong reports whether what has been received should have been complete by now.
func (a *arrival) isTooLong() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.active && !a.first.IsZero() && a.last.Sub(a.first)-a.longestPause > maxArrivalTime
}
