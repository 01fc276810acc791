package chiveevacuation

import (
	"slices"
	"time"
)

// Domain is the state of one evacuated failure domain in a state dump.
type Domain struct {
	Domain string `json:"failure_domain"`
	// ReadAt is when a node first read the record of the evacuation; zero if this node does not know it. Offset and Era are
	// the record's place in the operators' topic.
	ReadAt time.Time `json:"read_at"`
	Offset int64     `json:"offset"`
	Era    int64     `json:"era"`
	// Retained means that the store has lost the record.
	Retained bool `json:"retained"`
	// Running is the number of this node's requests that run on endpoints there.
	Running int `json:"running"`
}

// Counts are numbers of the service for metrics.
type Counts struct {
	// Evacuated is the number of evacuated failure domains, Retained the number of those whose records the store has lost,
	// Running the number of this node's requests that run on endpoints there.
	Evacuated int
	Retained  int
	Running   int
}

// Counts returns the current numbers.
func (s *Service) Counts() Counts {
	var counts Counts
	for _, d := range s.Domains() {
		counts.Evacuated++
		counts.Running += d.Running
		if d.Retained {
			counts.Retained++
		}
	}
	return counts
}

// Domains returns the evacuated failure domains in alphabetical order.
func (s *Service) Domains() []Domain {
	running := s.running()
	s.mu.Lock()
	defer s.mu.Unlock()
	domains := make([]Domain, 0, len(s.evacuated))
	for _, name := range s.evacuated {
		d := Domain{Domain: name, Retained: slices.Contains(s.lost, name), Running: running[name]}
		if origin, ok := s.origins[name]; ok {
			d.ReadAt, d.Offset, d.Era = time.UnixMilli(origin.ReadAtMs).UTC(), origin.Record.Offset(), origin.Record.Era()
		}
		domains = append(domains, d)
	}
	return domains
}

// running returns the number of this node's requests in flight by failure domain; empty if no domain is evacuated, since to
// count them takes a walk through all endpoints.
func (s *Service) running() map[string]int {
	s.mu.Lock()
	isIdle := len(s.evacuated) == 0
	s.mu.Unlock()
	if isIdle || s.options.Running == nil {
		return nil
	}
	return s.options.Running()
}

// Dump returns the state for the state dump.
func (s *Service) Dump() any {
	domains := s.Domains()
	s.mu.Lock()
	defer s.mu.Unlock()
	return struct {
		Evacuated []string `json:"evacuated"`
		Offset    int64    `json:"offset"`
		Era       int64    `json:"era"`
		Known     bool     `json:"known"`
		Domains   []Domain `json:"domains"`
	}{s.evacuated, s.state.Position.Offset(), s.state.Position.Era(), s.startup.known, domains}
}
