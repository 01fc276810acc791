package chivequarantine

import (
	"time"

	"chivedrift/chiverequest"
)

const (
	// aliveMargin is how far nodes may differ in when something happened at an endpoint, by the time that their messages take.
	aliveMargin = 100 * time.Millisecond
	// aliveKept is how long it is remembered that an endpoint was alive, so that a delayed crash report does not count: no report is
	// taken that is older.
	aliveKept = crashesKept + quarantineMost
	// aliveMost bounds the memory.
	aliveMost = 1024
)

// liveness holds when endpoints that had been reported as crashed were last alive, by incarnation.
//
// A process that crashed never answers again: its successor is another incarnation. So an answer to a request that was sent after the reported
// crash shows that the report was wrong, such as when a proxy in front restarted.
type liveness map[string]time.Time

// refutes reports whether an endpoint was alive after a reported crash.
func (l liveness) refutes(c Crash) bool {
	alive, ok := l[c.Endpoint]
	return ok && alive.After(c.At.Add(aliveMargin))
}

func (l liveness) note(endpoint string, at time.Time) {
	if known, ok := l[endpoint]; ok && !at.After(known) {
		return
	}
	l[endpoint] = at
	if len(l) <= aliveMost {
		return
	}
	oldest := endpoint
	for e, at := range l {
		if at.Before(l[oldest]) {
			oldest = e
		}
	}
	delete(l, oldest)
}

func (l liveness) forget(now time.Time) {
	for endpoint, at := range l {
		if now.Sub(at) >= aliveKept {
			delete(l, endpoint)
		}
	}
}

// AddAlive takes that an endpoint answered a request that was sent to it at a time, and returns the requests of which that refutes a crash.
func (r *Register) AddAlive(endpoint string, at time.Time) []chiverequest.Fingerprint {
	refuted := func(c Crash) bool { return c.Endpoint == endpoint && at.After(c.At.Add(aliveMargin)) }
	var contents []chiverequest.Fingerprint
	for content, s := range r.suspects {
		dropped := s.drop(refuted)
		if dropped == 0 {
			continue
		}
		r.crashes -= dropped
		contents = append(contents, content)
	}
	if len(contents) > 0 {
		r.alive.note(endpoint, at)
	}
	return contents
}

// IsRefuted reports whether the endpoint of a crash was alive after it.
func (r *Register) IsRefuted(c Crash) bool { return r.alive.refutes(c) }

// AliveAt returns when a request was sent that an endpoint answered after a reported crash.
func (r *Register) AliveAt(endpoint string) time.Time { return r.alive[endpoint] }
