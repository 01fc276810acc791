package chivestand

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Weights stands in for the rate-limited weight store.
type Weights struct {
	mu      sync.Mutex
	every   time.Duration
	last    time.Time
	refused int
	served  int
}

const weightsEvery = time.Second

// NewWeights returns a store that serves one load a second.
func NewWeights() *Weights {
	return &Weights{every: weightsEvery}
}

// Counts returns how many loads were served and refused.
func (s *Weights) Counts() (served, refused int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.served, s.refused
}

// Handler serves GET /weights/{name}.
func (s *Weights) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /weights/{name}", func(w http.ResponseWriter, r *http.Request) {
		if !s.take(time.Now()) {
			http.Error(w, "too many loads", http.StatusTooManyRequests)
			return
		}
		fmt.Fprintf(w, "weights of %s\n", r.PathValue("name"))
	})
	return mux
}

func (s *Weights) take(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.last) < s.every {
		s.refused++
		return false
	}
	s.last = now
	s.served++
	return true
}
