package chiveschedule

import (
	"time"
)

// Waiting returns the number of waiting requests.
func (s *Shard) Waiting() int { return len(s.waiting) }

// Running returns the number of slots in use.
func (s *Shard) Running() int { return len(s.granted) }

// Counts returns the totals of the shard's decisions.
func (s *Shard) Counts() Counts { return s.counts }

// WaitOf estimates how long a new request of a class would wait, from the work ahead of it and the measured throughput.
func (s *Shard) WaitOf(class string) time.Duration {
	c := s.config.class(class)
	return s.queueWait(c.tier)
}

// EndpointState is the state of one endpoint in the state dump.
type EndpointState struct {
	Name      string  `json:"name"`
	Sequences int64   `json:"sequences"`
	Tokens    int64   `json:"tokens"`
	Load      float64 `json:"load"`
	PaceMs    float64 `json:"pace_ms"`
	Failures  int     `json:"failures"`
	Up        bool    `json:"up"`
	Straggler bool    `json:"straggler"`
}

// Endpoints returns the state of each endpoint.
func (s *Shard) Endpoints(now time.Time) []EndpointState {
	states := make([]EndpointState, 0, len(s.endpoints))
	for _, e := range s.endpoints {
		states = append(states, EndpointState{
			Name: e.config.Name, Sequences: e.sequencesInUse, Tokens: e.tokensInUse, Load: e.load(), PaceMs: e.timePerTokenMs,
			Failures: e.consecutiveFailures, Up: e.available(now, true), Straggler: e.isStraggler(s.medianTimePerTokenMs),
		})
	}
	return states
}

// LoadPercent returns the running and waiting work in percent of the capacity; gateways use it to compare shards.
func (s *Shard) LoadPercent() int {
	work, capacity := int64(0), int64(0)
	for _, e := range s.endpoints {
		work += e.tokensInUse
		capacity += e.config.Tokens
	}
	work += s.backlog.total
	if capacity == 0 {
		return percentFactor
	}
	return int(work * percentFactor / capacity)
}

// Close refuses all waiting requests, because the shard was removed from the configuration.
func (s *Shard) Close() []Decision {
	var out []Decision
	for _, w := range s.sortedWaiting() {
		out = append(out, s.refuse(w, ReasonNoneUp, minRetryAfter))
	}
	s.waiting = make(map[attemptKey]*waitingRequest)
	s.backlog = backlog{}
	return out
}
