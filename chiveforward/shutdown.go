package chiveforward

import (
	"sync"
	"time"
)

// Shutdown is the planned stop of a node: when it began, and when the node cuts what has not ended.
type Shutdown struct {
	mu    sync.Mutex
	began time.Time
	cut   time.Time
}

// NewShutdown returns a shutdown that has not begun.
func NewShutdown() *Shutdown { return &Shutdown{} }

// Begin begins the shutdown, unless it has begun. A zero cut means that the node waits for all requests.
func (s *Shutdown) Begin(now, cut time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.began.IsZero() {
		s.began, s.cut = now, cut
	}
}

// Times returns when the shutdown began and when the node cuts what has not ended; both are zero before it begins.
func (s *Shutdown) Times() (began, cut time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.began, s.cut
}
