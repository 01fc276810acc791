package chivequarantine

import (
	"time"

	"chivedrift/chiverequest"
)

const (
	// timestampTolerance is how much nodes may disagree on when an event at an endpoint occurred: ages on the wire do not
	// include the transit time of the message.
	timestampTolerance = 100 * time.Millisecond
	// aliveRetention is how long an endpoint is remembered to have been alive, so that a delayed crash report is rejected.
	// Crash reports older than this are rejected in any case.
	aliveRetention = crashRetention + maxQuarantine
	// maxAliveEntries bounds the memory use.
	maxAliveEntries = 1024
)

// liveness maps the incarnations of endpoints that were reported as crashed to when they were last known to be alive.
//
// A crashed process never answers again: its successor is another incarnation. So an answer to a request that was sent
// after the reported crash shows that the report was wrong, for example because a proxy in front of it restarted.
type liveness map[string]time.Time

// refutes reports whether the endpoint is known to have been alive after the reported crash.
func (l liveness) refutes(c Crash) bool {
	alive, ok := l[c.Endpoint]
	return ok && alive.After(c.At.Add(timestampTolerance))
}

func (l liveness) add(endpoint string, at time.Time) {
	if known, ok := l[endpoint]; ok && !at.After(known) {
		return
	}
	l[endpoint] = at
	if len(l) <= maxAliveEntries {
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

func (l liveness) expire(now time.Time) {
	for endpoint, at := range l {
		if now.Sub(at) >= aliveRetention {
			delete(l, endpoint)
		}
	}
}

// AddAlive records that an endpoint answered a request that was sent at the given time, and returns the requests of
// which a crash is thereby refuted.
func (r *Register) AddAlive(endpoint string, at time.Time) []chiverequest.Fingerprint {
	refuted := func(c Crash) bool { return c.Endpoint == endpoint && at.After(c.At.Add(timestampTolerance)) }
	var contents []chiverequest.Fingerprint
	for content, s := range r.suspects {
		before := len(s.crashes)
		if s.removeCrashes(refuted) == 0 {
			continue
		}
		r.recount(content, before)
		contents = append(contents, content)
	}
	if len(contents) > 0 {
		r.alive.add(endpoint, at)
	}
	return contents
}

// IsRefuted reports whether the endpoint of a crash was alive after it.
func (r *Register) IsRefuted(c Crash) bool { return r.alive.refutes(c) }

// AliveAt returns the send time of the newest request that an endpoint answered after a reported crash.
func (r *Register) AliveAt(endpoint string) time.Time { return r.alive[endpoint] }
