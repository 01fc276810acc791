package chiveplace

import (
	"time"

	"chivedrift/chiverequest"
)

// notice is what an endpoint has said of its own process in its responses to this node. It concerns one incarnation, and
// outlasts the removal of its directory entry: the entry of a running process may expire and come back.
type notice struct {
	// leavingSince is when the endpoint first said that it is leaving; zero if it has not.
	leavingSince time.Time
	// restUntil is the end of the latest rest that the endpoint has asked this node for.
	restUntil time.Time
	// removedAt is when the directory entry was removed; zero while it is listed.
	removedAt time.Time
}

// isLeaving reports whether the endpoint has said that it is leaving.
func (n *notice) isLeaving() bool { return n != nil && !n.leavingSince.IsZero() }

// isResting reports whether the endpoint wants no requests from this node now.
func (n *notice) isResting(now time.Time) bool { return n != nil && now.Before(n.restUntil) }

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

const (
	// noticeRetention is how long the notice of an endpoint is kept whose directory entry was removed.
	noticeRetention = 15 * time.Minute
	// noticePruneThreshold is the number of notices up to which none is dropped.
	noticePruneThreshold = 256
)

// StateNotice records what a response of the endpoint says of its process. It reports whether the node did not know yet
// that the endpoint is leaving, or of a rest that ends as late.
func (p *Place) StateNotice(now time.Time, stated chiverequest.Notice) (leaves, rests bool) {
	p.pool.mu.Lock()
	defer p.pool.mu.Unlock()
	if stated.IsZero() {
		return false, false
	}
	n := p.pool.ensureNotice(now, p.candidate)
	if leaves = stated.Leaving && n.leavingSince.IsZero(); leaves {
		n.leavingSince = now
	}
	if until := now.Add(stated.Rest); stated.Rest > 0 && until.After(n.restUntil) {
		n.restUntil, rests = until, true
	}
	return leaves, rests
}

// ensureNotice returns the notice of a candidate; the caller holds the lock. The directory entry of the candidate may have
// been removed, and another candidate may have been created for the same incarnation.
func (p *Pool) ensureNotice(now time.Time, cand *candidate) *notice {
	if known, ok := p.notices[cand.incarnation]; ok {
		return known
	}
	p.pruneNotices(now)
	n := &notice{removedAt: now}
	p.notices[cand.incarnation] = n
	if listed, ok := p.lookup(cand.incarnation); ok {
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

// attachNotice gives a candidate that was just listed what its process has said before; the caller holds the lock.
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

// NoticeCounts are the numbers of listed endpoints that have said something of their process.
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
