package chiveplace

import (
	"slices"
	"time"

	"chivedrift/chiverequest"
)

// notice is what an endpoint has stated about its own process in its responses to this node. It concerns one incarnation, and
// outlasts the removal of its directory entry: the entry of a running process may expire and come back.
type notice struct {
	// leavingSince is when the endpoint first said that it is leaving; zero if it has not.
	leavingSince time.Time
	// restUntil is the end of the latest rest that the endpoint has asked this node for.
	restUntil time.Time
	// warmAt is the latest end of a warm-up that the endpoint has stated in a response; zero if it has stated none.
	warmAt time.Time
	// announcedAt is the latest of these ends that was reported as not known.
	announcedAt time.Time
	// resumed means that the endpoint has answered a request since its latest rest. Until then it gets one request in
	// restProbeInterval, the last one at probedAt.
	resumed  bool
	probedAt time.Time
	// removedAt is when the directory entry was removed; zero while it is listed.
	removedAt time.Time
}

// isLeaving reports whether the endpoint has said that it is leaving.
func (n *notice) isLeaving() bool { return n != nil && !n.leavingSince.IsZero() }

// isResting reports whether the endpoint wants no requests from this node now.
func (n *notice) isResting(now time.Time) bool { return n != nil && now.Before(n.restUntil) }

// warmUpLeft returns how much longer the endpoint is cold by its responses; 0 or less if it is not.
func (n *notice) warmUpLeft(now time.Time) time.Duration {
	if n == nil {
		return 0
	}
	return n.warmAt.Sub(now)
}

// durations returns how long ago the endpoint first said that it is leaving and how much longer it wants no requests; 0
// for neither.
func (n *notice) durations(now time.Time) (leaving, rest time.Duration) {
	if n.isLeaving() {
		leaving = max(now.Sub(n.leavingSince), time.Millisecond)
	}
	if n.isResting(now) {
		rest = max(n.restUntil.Sub(now), time.Millisecond)
	}
	return leaving, rest
}

// allowsRequest reports whether the endpoint is neither resting nor, after a rest, waiting for the answer to a probe.
func (n *notice) allowsRequest(now time.Time) bool {
	return n == nil || !n.isResting(now) && (n.resumed || now.Sub(n.probedAt) >= restProbeInterval)
}

// noticeAllows reports whether a request may be placed on the candidate as far as its notice is concerned. A rest concerns only the node that was asked for it. Where that
// node places the requests of others, the candidate is the last choice meanwhile.
func (c *candidate) noticeAllows(now time.Time, ask Ask) bool {
	return ask.forPeer || c.notice.allowsRequest(now)
}

const (
	// restProbeInterval is the time between two requests to an endpoint that has not answered since its rest. If it is
	// still overloaded, all requests that are sent at once are refused.
	restProbeInterval = 250 * time.Millisecond
	// maxRestJitter limits the random extension of the time to retry when endpoints are resting.
	maxRestJitter = time.Second
	// noticeRetention is how long the notice of an endpoint is kept whose directory entry was removed.
	noticeRetention = 15 * time.Minute
	// noticePruneThreshold is the number of notices up to which none is dropped.
	noticePruneThreshold = 256
)

// StateNotice records what a response of the endpoint states about its process. It reports whether the node did not know yet
// that the endpoint is leaving, or of a rest that ends as late.
func (p *Place) StateNotice(now time.Time, stated chiverequest.Notice) (leaves, rests bool) {
	p.pool.mu.Lock()
	defer p.pool.mu.Unlock()
	if stated.IsZero() {
		p.pool.notices[p.candidate.incarnation].resume(p.startedAt)
		return false, false
	}
	return p.pool.ensureNotice(now, p.candidate.incarnation).state(now, stated)
}

// StateNotice records what an endpoint has stated about its process on a connection that this node shares with another one. It
// reports whether that was not known; notices of unknown incarnations are ignored.
func (p *Pool) StateNotice(now time.Time, incarnation string, stated chiverequest.Notice) (changed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, listed := p.lookup(incarnation); !listed || stated.IsZero() {
		return false
	}
	leaves, rests := p.ensureNotice(now, incarnation).state(now, stated)
	return leaves || rests
}

// IsClosed reports whether an endpoint at an address has said that it is leaving, or wants no requests now.
func (p *Pool) IsClosed(now time.Time, address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for incarnation, n := range p.notices {
		if cand, listed := p.lookup(incarnation); listed && cand.endpoint.Address == address && (n.isLeaving() || n.isResting(now)) {
			return true
		}
	}
	return false
}

// state applies what the endpoint states to the notice, and reports what was not known.
func (n *notice) state(now time.Time, stated chiverequest.Notice) (leaves, rests bool) {
	if leaves = stated.Leaving && n.leavingSince.IsZero(); leaves {
		n.leavingSince = now
	}
	if until := now.Add(stated.Rest); stated.Rest > 0 && until.After(n.restUntil) {
		n.restUntil, n.resumed, rests = until, false, true
	}
	return leaves, rests
}

// resume records that the endpoint has answered a request that was placed at the given time without asking for rest.
func (n *notice) resume(placedAt time.Time) {
	if n != nil && !placedAt.Before(n.restUntil) {
		n.resumed = true
	}
}

// probe records that a request is sent to the endpoint.
func (n *notice) probe(now time.Time) {
	if n != nil {
		n.probedAt = now
	}
}

// restWait returns the time until the first of the allowed endpoints has rested, with a random extension so that callers
// return one after the other; false unless all of them are resting.
func (p *Pool) restWait(now time.Time, ask Ask) (wait time.Duration, resting bool) {
	for _, cand := range p.allowedCandidates(ask) {
		if !p.isEligible(now, cand, ask) || slices.Contains(ask.Exclude, cand.incarnation) {
			continue
		}
		if cand.noticeAllows(now, ask) {
			return 0, false
		}
		left := max(cand.notice.restUntil.Sub(now), minRetryAfter)
		if !resting || left < wait {
			wait, resting = left, true
		}
	}
	return wait + min(time.Duration(retryJitter*p.rng.Float64()*float64(wait)), maxRestJitter), resting
}

// SetReportedLeaving sets the incarnations that other nodes have reported as leaving.
func (p *Pool) SetReportedLeaving(incarnations map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reportedLeaving = incarnations
}

// ensureNotice returns the notice of an incarnation, whose directory entry may have been removed; the caller holds the lock.
func (p *Pool) ensureNotice(now time.Time, incarnation string) *notice {
	if known, ok := p.notices[incarnation]; ok {
		return known
	}
	p.pruneNotices(now)
	n := &notice{removedAt: now, resumed: true}
	p.notices[incarnation] = n
	if listed, ok := p.lookup(incarnation); ok {
		p.attachNotice(listed)
	}
	return n
}

// pruneNotices drops the notices of endpoints that left the directory long ago if there are many; the caller holds the lock.
func (p *Pool) pruneNotices(now time.Time) {
	if len(p.notices) < noticePruneThreshold {
		return
	}
	for incarnation, n := range p.notices {
		if !n.removedAt.IsZero() && now.Sub(n.removedAt) > noticeRetention {
			delete(p.notices, incarnation)
		}
	}
}

// attachNotice gives a candidate that was just listed what its process has stated before; the caller holds the lock.
func (p *Pool) attachNotice(cand *candidate) {
	if n, known := p.notices[cand.incarnation]; known {
		cand.notice, n.removedAt = n, time.Time{}
	}
}

// detachNotice records that the directory entry of a candidate was removed; the caller holds the lock.
func (p *Pool) detachNotice(now time.Time, cand *candidate) {
	if cand.notice != nil {
		cand.notice.removedAt = now
	}
}

// NoticeCounts are the numbers of listed endpoints that have stated something about their process.
type NoticeCounts struct {
	Leaving int
	Resting int
}

// NoticeCounts returns how many listed endpoints have said that they are leaving, and how many want no requests from this
// node now.
func (p *Pool) NoticeCounts(now time.Time) NoticeCounts {
	p.mu.Lock()
	defer p.mu.Unlock()
	var counts NoticeCounts
	for _, n := range p.notices {
		if !n.removedAt.IsZero() {
			continue
		}
		if n.isLeaving() {
			counts.Leaving++
		}
		if n.isResting(now) {
			counts.Resting++
		}
	}
	return counts
}
