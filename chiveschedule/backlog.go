package chiveschedule

import (
	"time"
)

// backlog sums up the waiting work by tier, apart for requests that can still meet their target and those that missed
// it. It is kept with every change and counted anew at each tick, when requests cross from one to the other.
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

// workAhead returns the work that goes before a request of a tier: all of more urgent tiers, and of its own tier what is on
// time, or everything when the request itself is late.
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
