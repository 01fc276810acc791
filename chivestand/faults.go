package chivestand

import (
	"sync"
)

// wearing holds the faults in force; faults with a number of times wear off after as many requests.
type wearing[T any] struct {
	mu     sync.Mutex
	faults T
	times  int
}

// set replaces the faults; zero times means until the next change.
func (w *wearing[T]) set(faults T, times int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults, w.times = faults, times
}

// now returns the faults in force without wearing them.
func (w *wearing[T]) now() T {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.faults
}

// take returns the faults for one request.
func (w *wearing[T]) take() T {
	w.mu.Lock()
	defer w.mu.Unlock()
	faults := w.faults
	if w.times > 0 {
		w.times--
		if w.times == 0 {
			var none T
			w.faults = none
		}
	}
	return faults
}
