package chiveschedule

import (
	"time"
)

// backlog sums the estimated cost of waiting requests by tier, separately for requests that can still meet their
// first-token target and for those that are late. It is updated with every change of the queue and recounted at each
// tick, since requests become late as time passes.
type backlog struct {
	onTime []int64
	late   []int64
	total  int64
}

func (b *backlog) recount(now time.Time, tiers int, waiting map[attemptKey]*waitingRequest) {
	*b = backlog{onTime: make([]int64, tiers+1), late: make([]int64, tiers+1)}
	for _, w := range waiting {
		w.late = w.due.Before(now)
		b.adjust(w, w.cost)
	}
}

func (b *backlog) add(now time.Time, w *waitingRequest) {
	w.late = w.due.Before(now)
	b.adjust(w, w.cost)
}

func (b *backlog) remove(w *waitingRequest) {
	b.adjust(w, -w.cost)
}

func (b *backlog) adjust(w *waitingRequest, cost int64) {
	sums := &b.onTime
	if w.late {
		sums = &b.late
	}
	for len(*sums) <= w.class.tier {
		*sums = append(*sums, 0)
	}
	(*sums)[w.class.tier] += cost
	b.total += cost
}

// workAhead returns the work served before a request of a tier: that of all more urgent tiers, and the on-time work of
// its own tier. A late request also waits for the late work of its own tier.
func (b *backlog) workAhead(tier int, late bool) int64 {
	work := int64(0)
	for i := range b.onTime {
		if i <= tier {
			work += b.onTime[i]
		}
	}
	for i := range b.late {
		if i < tier || (i == tier && late) {
			work += b.late[i]
		}
	}
	return work
}
