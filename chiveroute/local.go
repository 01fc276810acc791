package chiveroute

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sort"
	"sync"
	"time"

	"chivedrift/chiveconfig"
	"chivedrift/chiveresidency"
)

// Local picks replicas of plain services. It draws two at random and takes the one with fewer requests of this node in
// flight.
type Local struct {
	mu       sync.Mutex
	replicas map[string]*replica
}

// replica is the state of one replica. Its limit on requests in flight adapts to its response times and failures.
type replica struct {
	endpoint         chiveconfig.Endpoint
	inFlight         int
	limit            float64
	fastest          time.Duration
	failures         int
	quarantinedUntil time.Time
	drainingUntil    time.Time
}

const (
	initialLimit        = 32.0
	minLimit            = 2.0
	maxLimit            = 1024.0
	limitDecreaseFactor = 0.8
	maxLatencyFactor    = 4
	initialQuarantine   = 500 * time.Millisecond
	maxQuarantine       = 10 * time.Second
	drainingPeriod      = time.Minute
	fastestGrowthFactor = 1.01
)

// NewLocal returns a Local without replicas.
func NewLocal() *Local {
	return &Local{replicas: make(map[string]*replica)}
}

// SetEndpoints replaces the replicas by those of the configuration in force; replicas that remain keep their state.
func (l *Local) SetEndpoints(endpoints []chiveconfig.Endpoint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.replicas
	l.replicas = make(map[string]*replica, len(endpoints))
	for _, e := range endpoints {
		r, ok := known[e.Name]
		if !ok {
			r = &replica{limit: initialLimit}
		}
		r.endpoint = e
		l.replicas[e.Name] = r
	}
}

// Take reserves a place on a replica in an allowed region and in a failure domain that is not evacuated. Replicas of the given region are preferred. It reports false
// if no replica is available below its limit.
func (l *Local) Take(
	now time.Time, region string, residency chiveresidency.Policy, isEvacuated func(domain string) bool, exclude []string,
) (chiveconfig.Endpoint, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	usable := l.usable(now, region, func(e chiveconfig.Endpoint) bool {
		return residency.Allows(e.Region) && !isEvacuated(e.FailureDomain) && !slices.Contains(exclude, e.Name)
	})
	if len(usable) == 0 {
		return chiveconfig.Endpoint{}, false
	}
	best := usable[rand.IntN(len(usable))]
	other := usable[rand.IntN(len(usable))]
	if other.inFlight < best.inFlight {
		best = other
	}
	best.inFlight++
	return best.endpoint, true
}

func (l *Local) usable(now time.Time, region string, allowed func(e chiveconfig.Endpoint) bool) []*replica {
	var sameRegion, otherRegions []*replica
	for _, name := range slices.Sorted(maps.Keys(l.replicas)) {
		r := l.replicas[name]
		if !allowed(r.endpoint) || now.Before(r.quarantinedUntil) || now.Before(r.drainingUntil) || float64(r.inFlight) >= r.limit {
			continue
		}
		if r.endpoint.Region == region {
			sameRegion = append(sameRegion, r)
		} else {
			otherRegions = append(otherRegions, r)
		}
	}
	if len(sameRegion) > 0 {
		return sameRegion
	}
	return otherRegions
}

// Release gives a place back. A failure quarantines the replica, and slow responses lower its limit.
func (l *Local) Release(now time.Time, name string, duration time.Duration, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, known := l.replicas[name]
	if !known {
		return
	}
	r.inFlight = max(r.inFlight-1, 0)
	if !ok {
		r.quarantinedUntil = now.Add(min(initialQuarantine<<min(r.failures, 10), maxQuarantine))
		r.failures++
		r.limit = max(r.limit*limitDecreaseFactor, minLimit)
		return
	}
	r.failures = 0
	r.adjustLimit(duration)
}

// adjustLimit raises the limit by one per round of requests while responses are near the fastest seen, and lowers it
// when they are slow. The fastest time grows with each response, so that an outdated minimum is forgotten.
func (r *replica) adjustLimit(duration time.Duration) {
	if r.fastest == 0 || duration < r.fastest {
		r.fastest = duration
	} else {
		r.fastest = time.Duration(float64(r.fastest) * fastestGrowthFactor)
	}
	if duration > maxLatencyFactor*r.fastest+latencyAllowance {
		r.limit = max(r.limit-1/limitDecreaseFactor, minLimit)
		return
	}
	r.limit = min(r.limit+1/r.limit, maxLimit)
}

const latencyAllowance = 20 * time.Millisecond

// Leaving records that the replica at an address accepts no new requests.
func (l *Local) Leaving(now time.Time, address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.replicas {
		if r.endpoint.Address == address {
			r.drainingUntil = now.Add(drainingPeriod)
		}
	}
}

// ReplicaState is the state of one replica in state dumps.
type ReplicaState struct {
	Name     string  `json:"name"`
	InFlight int     `json:"in_flight"`
	Limit    float64 `json:"limit"`
	Failures int     `json:"failures"`
	Up       bool    `json:"up"`
}

// States returns the state of all replicas, sorted by name.
func (l *Local) States(now time.Time) []ReplicaState {
	l.mu.Lock()
	defer l.mu.Unlock()
	states := make([]ReplicaState, 0, len(l.replicas))
	for name, r := range l.replicas {
		states = append(states, ReplicaState{
			Name: name, InFlight: r.inFlight, Limit: r.limit, Failures: r.failures,
			Up: !now.Before(r.quarantinedUntil) && !now.Before(r.drainingUntil),
		})
	}
	sort.Slice(states, func(i, j int) bool { return states[i].Name < states[j].Name })
	return states
}
