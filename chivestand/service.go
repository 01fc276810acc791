package chivestand

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"sync"
	"time"
)

// ServiceFaults are the ways in which a plain service stand-in misbehaves, settable by PUT /faults.
type ServiceFaults struct {
	CrashBefore bool  `json:"crash_before"`
	CrashAfter  bool  `json:"crash_after"`
	Stall       bool  `json:"stall"`
	DelayMs     int64 `json:"delay_ms"`
	Refuse      bool  `json:"refuse"`
	Times       int   `json:"times"`
}

// Service stands in for a plain service and counts the executions of each request.
type Service struct {
	mu     sync.Mutex
	name   string
	faults wearing[ServiceFaults]
	runs   map[string]int
	keys   map[string]int
	refuse int
}

// ServiceRuns counts executions by request identity and by Idempotency-Key.
type ServiceRuns struct {
	Runs map[string]int `json:"runs"`
	Keys map[string]int `json:"keys"`
}

// NewService returns a service stand-in.
func NewService(name string) *Service {
	return &Service{name: name, runs: make(map[string]int), keys: make(map[string]int)}
}

// SetFaults replaces the faults in force.
func (s *Service) SetFaults(faults ServiceFaults) {
	s.faults.set(faults, faults.Times)
}

// Refused returns how many requests the service refused.
func (s *Service) Refused() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refuse
}

// Runs returns a copy of the executions counted.
func (s *Service) Runs() ServiceRuns {
	s.mu.Lock()
	defer s.mu.Unlock()
	return ServiceRuns{Runs: maps.Clone(s.runs), Keys: maps.Clone(s.keys)}
}

// Handler serves the service and its faults.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /runs", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Runs()) })
	mux.HandleFunc("PUT /faults", func(w http.ResponseWriter, r *http.Request) {
		var faults ServiceFaults
		if readJSON(w, r, &faults) {
			s.SetFaults(faults)
		}
	})
	mux.HandleFunc("/", s.serve)
	return mux
}

func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	faults := s.faults.take()
	if faults.Refuse {
		s.mu.Lock()
		s.refuse++
		s.mu.Unlock()
		w.Header().Set(NotRunHeader, "true")
		http.Error(w, "not accepting work", http.StatusServiceUnavailable)
		return
	}
	if faults.CrashBefore {
		panic(http.ErrAbortHandler)
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.count(r)
	if faults.CrashAfter {
		panic(http.ErrAbortHandler)
	}
	if faults.Stall {
		<-r.Context().Done()
		return
	}
	time.Sleep(time.Duration(faults.DelayMs) * time.Millisecond)
	fmt.Fprintf(w, "%s %s %s %d bytes", s.name, r.Method, r.URL.Path, len(body))
}

func (s *Service) count(r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[r.Header.Get("X-Request-Id")]++
	if key := r.Header.Get("Idempotency-Key"); key != "" {
		s.keys[key]++
	}
}
