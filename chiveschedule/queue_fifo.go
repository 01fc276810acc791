package chiveschedule

import (
	"time"
)

// fifoQueue serves in order of insertion, without regard to class or team; it is a baseline for comparison.
type fifoQueue[T Item] struct {
	items []T
}

func newFIFOQueue[T Item](Shares) Queue[T] {
	return &fifoQueue[T]{}
}

func (q *fifoQueue[T]) Push(_ time.Time, item T) {
	q.items = append(q.items, item)
}

func (q *fifoQueue[T]) Next(_ time.Time, accept func(T) bool) (T, bool) {
	var zero T
	if len(q.items) == 0 || !accept(q.items[0]) {
		return zero, false
	}
	return q.items[0], true
}

func (q *fifoQueue[T]) Remove(_ time.Time, item T, _ bool) {
	for i := range q.items {
		if q.items[i] == item {
			q.items = append(q.items[:i], q.items[i+1:]...)
			return
		}
	}
}

func (q *fifoQueue[T]) Len() int { return len(q.items) }
