package chiveforward

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"
)

const (
	// endedWithin bounds the question whether an endpoint has ended: a VM whose process is gone refuses a connection within the time of the way
	// there and back, and the request that broke should go on elsewhere meanwhile.
	endedWithin = 25 * time.Millisecond
	// endedKept is how long the answer holds for all requests that broke with the same endpoint.
	endedKept = time.Second
)

// endedChecks asks, once for all requests that broke off at an endpoint, whether its process is gone.
//
// A connection also breaks when an answer is cut short, an idle connection is reset or the path to the endpoint fails, and the endpoint goes on
// serving others. Taken for the end of the endpoint, each such break would speak against the request that was there.
type endedChecks struct {
	mu     sync.Mutex
	checks map[string]*endedCheck
}

// endedCheck is one such question; its answer may be read once done is closed.
type endedCheck struct {
	at    time.Time
	done  chan struct{}
	ended bool
}

func newEndedChecks() *endedChecks { return &endedChecks{checks: make(map[string]*endedCheck)} }

// get returns the question about an endpoint that is open or was answered lately, or a new one, which the caller has to answer.
func (e *endedChecks) get(now time.Time, incarnation string) (check *endedCheck, isNew bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if known, ok := e.checks[incarnation]; ok && now.Sub(known.at) < endedKept {
		return known, false
	}
	check = &endedCheck{at: now, done: make(chan struct{})}
	e.checks[incarnation] = check
	return check, true
}

// sweep forgets the answers that do not hold any more.
func (e *endedChecks) sweep(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for incarnation, check := range e.checks {
		if now.Sub(check.at) >= endedKept {
			delete(e.checks, incarnation)
		}
	}
}

// hasEnded tells whether an endpoint at which a request broke off refuses new connections: its process is gone. An endpoint that takes a
// connection, or says nothing, may be alive.
func (f *Forwarder) hasEnded(ctx context.Context, target Target) bool {
	check, isNew := f.ended.get(time.Now(), target.Incarnation)
	if !isNew {
		select {
		case <-check.done:
		case <-ctx.Done():
			return false
		}
		return check.ended
	}
	defer close(check.done)
	// The answer is for other requests too, so it does not depend on this one's caller.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), endedWithin)
	defer cancel()
	conn, err := f.o.Network.Dial(ctx, f.o.Self, target.Address)
	if err != nil {
		// Any other failure, such as a node without free descriptors, says nothing of the endpoint.
		check.ended = errors.Is(err, syscall.ECONNREFUSED)
		return check.ended
	}
	// The connection was only a question; what its closing says does not matter.
	_ = conn.Close()
	return false
}
