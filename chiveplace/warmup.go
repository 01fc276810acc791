package chiveplace

import (
	"time"

	"chivedrift/chivedirectory"
)

// An endpoint that has just started takes only a few requests a second for a while, and crashes at a rate well above that. So the nodes together keep
// to that rate.

// warming is the state of an endpoint that has just started.
type warming struct {
	// until is when it is over, taken when this node last placed a request on the endpoint meanwhile.
	until time.Time
	taken time.Time
}

// setEndpoint takes what the directory says of the endpoint now.
func (s *candidate) setEndpoint(now time.Time, e chivedirectory.Endpoint) {
	before := s.warming
	s.endpoint, s.warming = e, nil
	if e.WarmUp > 0 {
		// The entry was written before it is known here, so that this is late rather than early.
		s.warming = &warming{until: now.Add(e.WarmUp)}
		if before != nil {
			s.warming.taken = before.taken
		}
	}
}

// warmsUp reports whether the endpoint may get only a few requests.
func (p *Pool) warmsUp(now time.Time, s *candidate) bool {
	return p.warmUpRate > 0 && s.warming != nil && now.Before(s.warming.until)
}

// mayWarm reports whether a request fits into what this node may place on an endpoint that warms up.
func (p *Pool) mayWarm(now time.Time, s *candidate, ask Ask) bool {
	nodes := float64(max(p.nodes, 1))
	if ask.Among != nil {
		// The owner of an engine grants all places on it.
		nodes = 1
	}
	pause := time.Duration(nodes / p.warmUpRate * float64(time.Second))
	if pause > s.endpoint.WarmUp {
		// The part of one node in so large a fleet is less than one request.
		return false
	}
	return now.Sub(s.warming.taken) >= pause
}

// SetWarmUpRate takes how many requests a second an endpoint takes while it warms up; 0 where that makes no difference.
func (p *Pool) SetWarmUpRate(rate float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.warmUpRate = rate
}

// SetNodes takes how many nodes place requests on the pool.
func (p *Pool) SetNodes(nodes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.nodes = nodes
}
