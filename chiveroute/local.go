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

// Local chooses a replica of a plain service by this node's own requests in flight, the better of two at random.
type Local struct {
	mu       sync.Mutex
	replicas map[string]*replica
}

// A replica has a limit of requests in flight that adapts to how it answers.
type replica struct {
	endpoint  chiveconfig.Endpoint
	inFlight  int
	limit     float64
	fastest   time.Duration
	failures  int
	downUntil time.Time
	leaving   time.Time
}

const (
	limitFirst       = 32.0
	limitLeast       = 2.0
	limitMost        = 1024.0
	limitShrink      = 0.8
	slowFactor       = 4
	quarantineFirst  = 500 * time.Millisecond
	quarantineMost   = 10 * time.Second
	leavingKept      = time.Minute
	fastestForgotten = 1.01
)

// NewLocal returns a chooser without replicas.
func NewLocal() *Local {
	return &Local{replicas: make(map[string]*replica)}
}

// SetEndpoints takes the replicas of the configuration in force; what is known of those that stay is kept.
func (l *Local) SetEndpoints(endpoints []chiveconfig.Endpoint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.replicas
	l.replicas = make(map[string]*replica, len(endpoints))
	for _, e := range endpoints {
		r, ok := known[e.Name]
		if !ok {
			r = &replica{limit: limitFirst}
		}
		r.endpoint = e
		l.replicas[e.Name] = r
	}
}

// Take reserves a place on a replica that the residency policy allows, preferring the region; it reports false when none is up with room.
func (l *Local) Take(now time.Time, region string, residency chiveresidency.Policy, exclude []string) (chiveconfig.Endpoint, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	usable := l.usable(now, region, residency, exclude)
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

func (l *Local) usable(now time.Time, region string, residency chiveresidency.Policy, exclude []string) []*replica {
	var near, far []*replica
	for _, name := range slices.Sorted(maps.Keys(l.replicas)) {
		r := l.replicas[name]
		if slices.Contains(exclude, name) || now.Before(r.downUntil) || now.Before(r.leaving) || float64(r.inFlight) >= r.limit || !residency.Allows(r.endpoint.Region) {
			continue
		}
		if r.endpoint.Region == region {
			near = append(near, r)
		} else {
			far = append(far, r)
		}
	}
	if len(near) > 0 {
		return near
	}
	return far
}

// Release gives a place back; a failure quarantines the replica, and slow answers lower its limit.
func (l *Local) Release(now time.Time, name string, took time.Duration, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, known := l.replicas[name]
	if !known {
		return
	}
	r.inFlight = max(r.inFlight-1, 0)
	if !ok {
		r.downUntil = now.Add(min(quarantineFirst<<min(r.failures, 10), quarantineMost))
		r.failures++
		r.limit = max(r.limit*limitShrink, limitLeast)
		return
	}
	r.failures = 0
	r.adapt(took)
}

// adapt raises the limit by one a round while answers are near the fastest seen, and shrinks it when they slow down.
func (r *replica) adapt(took time.Duration) {
	if r.fastest == 0 || took < r.fastest {
		r.fastest = took
	} else {
		r.fastest = time.Duration(float64(r.fastest) * fastestForgotten)
	}
	if took > slowFactor*r.fastest+slowAllowance {
		r.limit = max(r.limit-1/limitShrink, limitLeast)
		return
	}
	r.limit = min(r.limit+1/r.limit, limitMost)
}

const slowAllowance = 20 * time.Millisecond

// Leaving notes that the replica at an address takes no new work.
func (l *Local) Leaving(now time.Time, address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.replicas {
		if r.endpoint.Address == address {
			r.leaving = now.Add(leavingKept)
		}
	}
}

// ReplicaState is the dump of one replica.
type ReplicaState struct {
	Name     string  `json:"name"`
	InFlight int     `json:"in_flight"`
	Limit    float64 `json:"limit"`
	Failures int     `json:"failures"`
	Up       bool    `json:"up"`
}

// States returns the state of each replica by name.
func (l *Local) States(now time.Time) []ReplicaState {
	l.mu.Lock()
	defer l.mu.Unlock()
	states := make([]ReplicaState, 0, len(l.replicas))
	for name, r := range l.replicas {
		states = append(states, ReplicaState{
			Name: name, InFlight: r.inFlight, Limit: r.limit, Failures: r.failures,
			Up: !now.Before(r.downUntil) && !now.Before(r.leaving),
		})
	}
	sort.Slice(states, func(i, j int) bool { return states[i].Name < states[j].Name })
	return states
}
