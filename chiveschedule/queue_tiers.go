package chiveschedule

import (
	"time"
)

// tierQueue serves strictly by tier and in order of insertion within a tier. Low tiers can starve, so it is only a
// baseline for comparison.
type tierQueue[T Item] struct {
	tiers []*fifoQueue[T]
	count int
}

func newTierQueue[T Item](shares Shares) Queue[T] {
	q := &tierQueue[T]{tiers: make([]*fifoQueue[T], max(shares.Tiers, 1))}
	for i := range q.tiers {
		q.tiers[i] = &fifoQueue[T]{}
	}
	return q
}

func (q *tierQueue[T]) Push(now time.Time, item T) {
	q.tierOf(item).Push(now, item)
	q.count++
}

func (q *tierQueue[T]) Next(now time.Time, accept func(T) bool) (T, bool) {
	for _, tier := range q.tiers {
		if item, ok := tier.Next(now, accept); ok {
			return item, true
		}
	}
	var zero T
	return zero, false
}

func (q *tierQueue[T]) Remove(now time.Time, item T, granted bool) {
	tier := q.tierOf(item)
	before := tier.Len()
	tier.Remove(now, item, granted)
	q.count -= before - tier.Len()
}

func (q *tierQueue[T]) Len() int { return q.count }

func (q *tierQueue[T]) tierOf(item T) *fifoQueue[T] {
	tier, _, _ := item.Place()
	return q.tiers[min(max(tier, 0), len(q.tiers)-1)]
}
