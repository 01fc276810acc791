package chivering

import (
	"context"
	"sync/atomic"
)

// Ring is a bounded queue of T between goroutines.
type Ring[T any] struct {
	slots    chan T
	high     atomic.Int64
	rejected atomic.Int64
}

// Depth is what a state dump tells of a ring, in elements.
type Depth struct {
	Now      int   `json:"now"`
	Capacity int   `json:"capacity"`
	High     int64 `json:"high"`
	Rejected int64 `json:"rejected"`
}

// New returns a ring that holds up to capacity elements.
func New[T any](capacity int) *Ring[T] {
	return &Ring[T]{slots: make(chan T, capacity)}
}

// Offer appends an element, or reports false at once when the ring is full.
//
// An unbounded queue would hide overload until memory ran out, and a silent drop would lose work:
// the explicit answer makes the producer decide what a full ring means.
func (r *Ring[T]) Offer(element T) bool {
	select {
	case r.slots <- element:
		r.raise(int64(len(r.slots)))
		return true
	default:
		r.rejected.Add(1)
		return false
	}
}

// Take waits for the next element, or reports false once the context has ended.
func (r *Ring[T]) Take(ctx context.Context) (T, bool) {
	select {
	case element := <-r.slots:
		return element, true
	case <-ctx.Done():
		var none T
		return none, false
	}
}

// Ready is the receiving end, for a select over several rings.
func (r *Ring[T]) Ready() <-chan T {
	return r.slots
}

// Depth returns the present and highest depth and how many offers found the ring full.
func (r *Ring[T]) Depth() Depth {
	return Depth{Now: len(r.slots), Capacity: cap(r.slots), High: r.high.Load(), Rejected: r.rejected.Load()}
}

func (r *Ring[T]) raise(depth int64) {
	for {
		high := r.high.Load()
		if depth <= high || r.high.CompareAndSwap(high, depth) {
			return
		}
	}
}
