package chivedirectory

import (
	"slices"
	"time"
)

// A node that does not hear from the store cannot tell by itself whether the store is down or only the way there. The difference
// matters afterwards: while the store is down the entries of living endpoints lapse, since they cannot renew them; while a
// single node is cut off they do not, and an entry that is removed then belongs to an endpoint that has left. A node that took
// its own cut for an outage of the store would send to such an endpoint for the whole grace time, while the other nodes
// stopped within milliseconds. The answers that other nodes had from the store meanwhile tell the two apart, and since when the
// store is back where it was down for all.

const (
	// contactGap is the longest time between two answers of the store between which no living endpoint's entry can have lapsed:
	// an entry lapses after three missed renewals, each about 1.2 s after the other, of which the last before an outage may be
	// one interval old.
	contactGap = 2 * time.Second
	// answersKept is how many moments of answers a node remembers: at one in answersApart half a minute, several times the
	// longest cut after which it is asked for them.
	answersKept  = 120
	answersApart = 250 * time.Millisecond
)

// answers remembers when the store answered this node, the newest last.
type answers struct {
	moments []time.Time
}

// note takes one answer; of those that come in quick succession one is kept.
func (a *answers) note(now time.Time) {
	if n := len(a.moments); n > 1 && now.Sub(a.moments[n-2]) < answersApart {
		a.moments[n-1] = now
		return
	}
	if len(a.moments) == answersKept {
		a.moments = slices.Delete(a.moments, 0, 1)
	}
	a.moments = append(a.moments, now)
}

// last returns the newest answer; the zero time before the first.
func (a *answers) last() time.Time {
	if len(a.moments) == 0 {
		return time.Time{}
	}
	return a.moments[len(a.moments)-1]
}

// ages returns how long ago the answers within a time were.
func (a *answers) ages(now time.Time, within time.Duration) []time.Duration {
	var ages []time.Duration
	for _, m := range a.moments {
		if age := now.Sub(m); age <= within {
			ages = append(ages, age)
		}
	}
	return ages
}

// outage is a time in which the store did not answer this node.
type outage struct {
	// since is the last answer before it; until the first after it, zero while it lasts.
	since time.Time
	until time.Time
	// others are the moments within it at which the store answered other nodes.
	others []time.Time
}

// end is the first answer after the outage, or now while it lasts.
func (o *outage) end(now time.Time) time.Time {
	if o.until.IsZero() {
		return now
	}
	return o.until
}

// contact returns since when the store is known to have answered this node or others without a gap, and whether that reaches back
// to before the outage: then only this node was cut off.
func (o *outage) contact(now time.Time) (since time.Time, own bool) {
	since = o.end(now)
	for _, m := range slices.Backward(o.others) {
		if since.Sub(m) > contactGap {
			break
		}
		since = m
	}
	return since, !o.since.IsZero() && since.Sub(o.since) <= contactGap
}

// inGrace reports whether an entry that is found missing now may have lapsed in the outage.
func (o *outage) inGrace(now time.Time, grace time.Duration) bool {
	since, own := o.contact(now)
	return !own && now.Sub(since) < grace
}

// hear takes moments at which the store answered another node.
func (o *outage) hear(moments []time.Time) {
	for _, m := range moments {
		if m.Before(o.since) || (!o.until.IsZero() && m.After(o.until)) {
			continue
		}
		at, _ := slices.BinarySearchFunc(o.others, m, time.Time.Compare)
		// Several nodes tell of the same moments, again and again; those close to a known one add nothing.
		known := at > 0 && m.Sub(o.others[at-1]) < answersApart || at < len(o.others) && o.others[at].Sub(m) < answersApart
		if !known {
			o.others = slices.Insert(o.others, at, m)
		}
	}
}
