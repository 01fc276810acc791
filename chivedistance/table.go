package chivedistance

import (
	"slices"
	"sync"
	"time"

	"chivedrift/chivemember"
	"chivedrift/chiveresidency"
)

const (
	// assumedRoundTrip is the round trip to a region that has not been measured yet.
	assumedRoundTrip = 160 * time.Millisecond
	// nearRoundTrip is the longest round trip that counts as none: the waits of a caller include it.
	nearRoundTrip = 5 * time.Millisecond
	// window is how long a round trip counts; the shortest one of the current and of the previous window holds.
	window = 30 * time.Second
)

// estimate is the shortest round trip of the current and of the previous window.
type estimate struct {
	current, previous time.Duration
	startedAt         time.Time
}

func (e *estimate) add(now time.Time, roundTrip time.Duration) {
	if now.Sub(e.startedAt) >= window {
		e.previous, e.current, e.startedAt = e.current, 0, now
	}
	if e.current == 0 || roundTrip < e.current {
		e.current = roundTrip
	}
}

// shortest returns the estimate; ok is false before the first round trip.
func (e *estimate) shortest() (roundTrip time.Duration, ok bool) {
	switch {
	case e == nil || e.current == 0:
		return 0, false
	case e.previous == 0:
		return e.current, true
	}
	return min(e.current, e.previous), true
}

// Table holds the measured round trips to the peers of one node. It is safe for concurrent use.
type Table struct {
	region  string
	regions chiveresidency.Map

	mu        sync.Mutex
	peers     map[string]*estimate
	regionOf  map[string]string
	listeners []func(Map)
}

// New returns a table without measurements for a node in the given region; regions is the region of each failure domain.
func New(region string, regions chiveresidency.Map) *Table {
	return &Table{region: region, regions: regions, peers: make(map[string]*estimate), regionOf: make(map[string]string)}
}

// OnChange adds a function that is called with the map whenever a region's round trip has changed noticeably. It must
// not block, and must be added before the first measurement.
func (t *Table) OnChange(notify func(Map)) { t.listeners = append(t.listeners, notify) }

// SetMembers applies a membership change.
func (t *Table) SetMembers(members []chivemember.Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	regionOf := make(map[string]string, len(members))
	for _, m := range members {
		regionOf[m.Address] = m.Region
	}
	t.regionOf = regionOf
	for address := range t.peers {
		if _, ok := regionOf[address]; !ok {
			delete(t.peers, address)
		}
	}
}

// Observe records how long a peer took to reply.
func (t *Table) Observe(peer string, roundTrip time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.peers[peer]
	if !ok {
		e = &estimate{startedAt: time.Now()}
		t.peers[peer] = e
	}
	e.add(time.Now(), max(roundTrip, 1))
}

// RoundTrip returns the estimated round trip to a peer, beyond the one inside a region.
func (t *Table) RoundTrip(peer string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	region, known := t.regionOf[peer]
	if !known || region == t.region {
		return 0
	}
	return t.toRegion(region)
}

// Wait returns how long to wait for the reply of a peer. near is the wait for a peer in the same region.
func (t *Table) Wait(peer string, near time.Duration) time.Duration {
	return near + t.RoundTrip(peer)
}

// Map returns the current estimates by region.
func (t *Table) Map() Map {
	t.mu.Lock()
	defer t.mu.Unlock()
	toRegion := make(map[string]time.Duration)
	for _, region := range t.regions.Regions() {
		toRegion[region] = t.toRegion(region)
	}
	return NewMap(t.region, t.regions, toRegion, assumedRoundTrip)
}

// toRegion returns the median of the shortest round trips to the peers of a region; the caller holds the lock.
func (t *Table) toRegion(region string) time.Duration {
	var measured []time.Duration
	for address, e := range t.peers {
		if roundTrip, ok := e.shortest(); ok && t.regionOf[address] == region {
			measured = append(measured, roundTrip)
		}
	}
	if len(measured) == 0 {
		return assumedRoundTrip
	}
	slices.Sort(measured)
	median := measured[len(measured)/2]
	if median <= nearRoundTrip {
		return 0
	}
	return median
}
