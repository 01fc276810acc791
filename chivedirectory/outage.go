package chivedirectory

import (
	"slices"
	"time"
)

// A node that gets no answer from the store cannot tell by itself whether the store is down or only its own connection.
// The difference matters afterwards. While the store is down, entries of live endpoints lapse because they cannot be
// renewed. While a single node is cut off, they do not lapse, so an entry that was removed belongs to an endpoint that
// has left. A node that mistook its own disconnection for an outage of the store would send requests to that endpoint
// for the whole grace period, while the other nodes stop within milliseconds. The times at which the store answered
// other nodes distinguish the two cases. After an outage of the store they also show since when it has been back.

const (
	// maxAnswerGap is the longest time between two answers of the store in which no entry of a live endpoint can have
	// lapsed: an entry lapses after three missed renewals, about 1.2 s apart, and the last renewal before an outage may
	// already be one interval old.
	maxAnswerGap = 2 * time.Second
	// maxAnswers is how many answer times a node remembers. At one per minAnswerSpacing they cover 30 s, several times
	// the longest disconnection after which peers ask for them.
	maxAnswers       = 120
	minAnswerSpacing = 250 * time.Millisecond
)

// answerHistory holds the times at which the store answered this node, oldest first.
type answerHistory struct {
	times []time.Time
}

// record adds an answer; answers in quick succession are merged into one.
func (a *answerHistory) record(now time.Time) {
	if n := len(a.times); n > 1 && now.Sub(a.times[n-2]) < minAnswerSpacing {
		a.times[n-1] = now
		return
	}
	if len(a.times) == maxAnswers {
		a.times = slices.Delete(a.times, 0, 1)
	}
	a.times = append(a.times, now)
}

// latest returns the time of the newest answer; zero before the first.
func (a *answerHistory) latest() time.Time {
	if len(a.times) == 0 {
		return time.Time{}
	}
	return a.times[len(a.times)-1]
}

// ages returns how long ago the answers were, for those within a period before now.
func (a *answerHistory) ages(now time.Time, within time.Duration) []time.Duration {
	var ages []time.Duration
	for _, t := range a.times {
		if age := now.Sub(t); age <= within {
			ages = append(ages, age)
		}
	}
	return ages
}

// outage is a period in which the store did not answer this node.
type outage struct {
	// since is the last answer before the outage, and until the first one after it; until is zero while the outage goes
	// on.
	since time.Time
	until time.Time
	// peerAnswers are the times within the outage at which the store answered other nodes, oldest first.
	peerAnswers []time.Time
}

// end returns the time of the first answer after the outage, or now while it goes on.
func (o *outage) end(now time.Time) time.Time {
	if o.until.IsZero() {
		return now
	}
	return o.until
}

// contactSince returns since when the store has answered this node or others without a gap. localOnly means that this
// reaches back to before the outage, so that only this node was cut off.
func (o *outage) contactSince(now time.Time) (since time.Time, localOnly bool) {
	since = o.end(now)
	for _, t := range slices.Backward(o.peerAnswers) {
		if since.Sub(t) > maxAnswerGap {
			break
		}
		since = t
	}
	return since, !o.since.IsZero() && since.Sub(o.since) <= maxAnswerGap
}

// inGrace reports whether an entry that is missing now may have lapsed in the outage.
func (o *outage) inGrace(now time.Time, grace time.Duration) bool {
	since, localOnly := o.contactSince(now)
	return !localOnly && now.Sub(since) < grace
}

// addAnswers adds times at which the store answered another node.
func (o *outage) addAnswers(times []time.Time) {
	for _, t := range times {
		if t.Before(o.since) || (!o.until.IsZero() && t.After(o.until)) {
			continue
		}
		index, _ := slices.BinarySearchFunc(o.peerAnswers, t, time.Time.Compare)
		// Several nodes report the same times repeatedly; a time close to a known one adds nothing.
		isDuplicate := index > 0 && t.Sub(o.peerAnswers[index-1]) < minAnswerSpacing || index < len(o.peerAnswers) && o.peerAnswers[index].Sub(t) < minAnswerSpacing
		if !isDuplicate {
			o.peerAnswers = slices.Insert(o.peerAnswers, index, t)
		}
	}
}
