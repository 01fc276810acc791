package chivering

import (
	"context"
	"sync/atomic"
)

// Ring is a bounded queue of T between goroutines.
type Ring[T any] struct {
	elements chan T
	peak     atomic.Int64
	rejected atomic.Int64
}

// Depth describes how full a ring is, in elements, for state dumps.
type Depth struct {
	Now      int   `json:"now"`
	Capacity int   `json:"capacity"`
	High     int64 `json:"high"`
	Rejected int64 `json:"rejected"`
}

// New returns a ring that holds up to capacity elements.
func New[T any](capacity int) *Ring[T] {
	return &Ring[T]{elements: make(chan T, capacity)}
}

// Offer appends an element, or returns false at once if the ring is full.
//
// An unbounded queue would hide overload until memory runs out, and dropping elements silently would lose work. The
// result makes the producer decide what a full ring means.
func (r *Ring[T]) Offer(element T) bool {
	select {
	case r.elements <- element:
		r.updatePeak(int64(len(r.elements)))
		return true
	default:
		r.rejected.Add(1)
		return false
	}
}

// Take waits for the next element, or returns false once the context has ended.
func (r *Ring[T]) Take(ctx context.Context) (T, bool) {
	select {
	case element := <-r.elements:
		return element, true
	case <-ctx.Done():
		var zero T
		return zero, false
	}
}

// Ready returns the channel of elements, for a select over several rings.
func (r *Ring[T]) Ready() <-chan T {
	return r.elements
}

// Depth returns the current and the highest depth, and how many elements were rejected.
func (r *Ring[T]) Depth() Depth {
	return Depth{Now: len(r.elements), Capacity: cap(r.elements), High: r.peak.Load(), Rejected: r.rejected.Load()}
}

func (r *Ring[T]) updatePeak(depth int64) {
	for {
		peak := r.peak.Load()
		if depth <= peak || r.peak.CompareAndSwap(peak, depth) {
			return
		}
	}
}
