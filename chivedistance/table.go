package chivedistance

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"chivedrift/chivemember"
	"chivedrift/chiveresidency"

	"github.com/uber-go/tally/v4"
)

// ServiceName is the name under which a table registers.
const ServiceName = "distances"

const (
	// assumedRoundTrip is the round trip to a region that has not been measured yet.
	assumedRoundTrip = 160 * time.Millisecond
	// nearRoundTrip is the longest round trip that counts as none: the waits of a caller include it.
	nearRoundTrip = 5 * time.Millisecond
	// leaveNearRoundTrip is the shortest round trip that counts where the one before counted as none.
	leaveNearRoundTrip = 6 * time.Millisecond
	// window is how long a round trip counts; the shortest one of the current and of the previous window holds.
	window = 5 * time.Second
	// maxRoundTrip is the longest reply that counts as one to a distance, rather than that of an overloaded process.
	maxRoundTrip = 400 * time.Millisecond
	// tolerance is the divisor of a round trip that gives the change that is not worth passing on. Waits include it.
	tolerance = 8
	// waitDivisor is the ratio of a request's target to the longest wait for a peer in another region.
	waitDivisor = 2
)

// estimate is the shortest round trip to a peer of the current and of the previous window.
type estimate struct {
	region            string
	current, previous time.Duration
	startedAt         time.Time
}

// add records a round trip and reports whether the estimate may have changed.
func (e *estimate) add(now time.Time, roundTrip time.Duration) (changed bool) {
	before, startedAt := e.shortest(), e.startedAt
	switch age := now.Sub(e.startedAt); {
	case age >= 2*window:
		e.previous, e.current, e.startedAt = 0, 0, now
	case age >= window:
		e.previous, e.current, e.startedAt = e.current, 0, now
	}
	if e.current == 0 || roundTrip < e.current {
		e.current = roundTrip
	}
	return e.shortest() != before || !e.startedAt.Equal(startedAt)
}

// shortest returns the estimate.
func (e *estimate) shortest() time.Duration {
	if e.previous == 0 {
		return e.current
	}
	return min(e.current, e.previous)
}

// isOutdated reports whether there was no round trip in the current and in the previous window.
func (e *estimate) isOutdated(now time.Time) bool { return now.Sub(e.startedAt) >= 2*window }

// measurement is the published round trip to a region.
type measurement struct {
	roundTrip time.Duration
	// at is when the last reply came from the region.
	at time.Time
}

// published is what readers use without a lock; it is immutable.
type published struct {
	distances Map
	regionOf  map[string]string
}

// Table holds the measured round trips to the peers of one node. It is safe for concurrent use. A nil table is that of a
// deployment in one region.
type Table struct {
	region    string
	regions   chiveresidency.Map
	listeners []func(Map)
	// isConnected reports whether messages to a peer are sent over an open connection; nil means always.
	isConnected func(peer string) bool
	logger      *slog.Logger
	scope       tally.Scope
	published   atomic.Pointer[published]

	mu       sync.Mutex
	peers    map[string]*estimate
	regionOf map[string]string
	toRegion map[string]measurement
	calls    map[string]*regionCalls
	// logged holds the round trips as they were logged last, by region.
	logged    map[string]time.Duration
	notifying sync.Mutex
}

// New returns a table without measurements for a node in the given region; regions is the region of each failure domain.
func New(region string, regions chiveresidency.Map) *Table {
	t := &Table{
		region: region, regions: regions,
		peers: make(map[string]*estimate), regionOf: make(map[string]string), toRegion: make(map[string]measurement), calls: make(map[string]*regionCalls), logged: make(map[string]time.Duration),
		logger: slog.New(slog.DiscardHandler), scope: tally.NoopScope,
	}
	t.publish()
	return t
}

// OnChange adds a function that is called with the map whenever a region's round trip has been measured for the first
// time or has changed noticeably. It must not block, and must be added before the first measurement.
func (t *Table) OnChange(notify func(Map)) { t.listeners = append(t.listeners, notify) }

// SetConnected sets the function that reports whether messages to a peer are sent over an open connection. It must be set
// before the first request.
func (t *Table) SetConnected(isConnected func(peer string) bool) { t.isConnected = isConnected }

// SetMembers applies a membership change.
func (t *Table) SetMembers(members []chivemember.Member) {
	regionOf := make(map[string]string, len(members))
	for _, m := range members {
		regionOf[m.Address] = m.Region
	}
	changes := t.replaceMembers(time.Now(), regionOf)
	for _, c := range changes {
		t.log(c)
	}
	if len(changes) > 0 {
		t.notify()
	}
}

// replaceMembers drops the estimates for peers that have left and returns which regions' round trips have changed by it.
func (t *Table) replaceMembers(now time.Time, regionOf map[string]string) (changes []change) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.regionOf = regionOf
	left := make(map[string]bool)
	for address, e := range t.peers {
		if region, ok := regionOf[address]; !ok || region != e.region {
			delete(t.peers, address)
			left[e.region] = true
		}
	}
	for region := range left {
		if c := t.update(now, region); c.noticeable {
			changes = append(changes, c)
		}
	}
	t.publish()
	return changes
}

// Observe records how long a peer took to reply.
func (t *Table) Observe(peer string, roundTrip time.Duration) {
	if t == nil || !t.Map().SpansRegions() || roundTrip > maxRoundTrip {
		return
	}
	if c := t.add(time.Now(), peer, max(roundTrip, 1)); c.noticeable {
		t.log(c)
		t.notify()
	}
}

// Observer returns the function that records how long a peer took to reply; nil in a deployment in one region, where nothing
// has to be asked for the distance.
func (t *Table) Observer() func(peer string, roundTrip time.Duration) {
	if !t.Map().SpansRegions() {
		return nil
	}
	return t.Observe
}

// add records a round trip and returns how the one to the peer's region has changed.
func (t *Table) add(now time.Time, peer string, roundTrip time.Duration) change {
	t.mu.Lock()
	defer t.mu.Unlock()
	region, known := t.regionOf[peer]
	if !known || region == "" || region == t.region {
		return change{}
	}
	e, ok := t.peers[peer]
	if !ok {
		e = &estimate{region: region, startedAt: now}
		t.peers[peer] = e
	}
	estimateChanged := e.add(now, roundTrip)
	last, measured := t.toRegion[region]
	if measured && !estimateChanged {
		t.toRegion[region] = measurement{last.roundTrip, now}
		return change{}
	}
	c := t.update(now, region)
	t.toRegion[region] = measurement{t.toRegion[region].roundTrip, now}
	if c.noticeable {
		t.publish()
	}
	return c
}

// update sets the round trip to a region from those to its peers; the caller holds the lock. Without any the last one
// stays.
func (t *Table) update(now time.Time, region string) change {
	median, ok := t.median(now, region)
	last, measured := t.toRegion[region]
	if !ok || measured && (median-last.roundTrip).Abs() <= last.roundTrip/tolerance {
		return change{}
	}
	t.toRegion[region] = measurement{median, last.at}
	return t.changeOf(region, median)
}

// median returns the median of the shortest round trips to the peers of a region, 0 if they are near; the caller holds
// the lock.
func (t *Table) median(now time.Time, region string) (median time.Duration, ok bool) {
	var measured []time.Duration
	for _, e := range t.peers {
		if e.region == region && !e.isOutdated(now) {
			measured = append(measured, e.shortest())
		}
	}
	if len(measured) == 0 {
		return 0, false
	}
	slices.Sort(measured)
	median = measured[(len(measured)-1)/2]
	if last, known := t.toRegion[region]; median <= nearRoundTrip || known && last.roundTrip == 0 && median <= leaveNearRoundTrip {
		return 0, true
	}
	return median, true
}

// Start does nothing: round trips are recorded on the goroutines that get the replies.
func (t *Table) Start(context.Context) error { return nil }

// Stop does nothing.
func (t *Table) Stop(context.Context) error { return nil }

// Dump returns the state of each region.
func (t *Table) Dump() any { return t.Regions() }

// publish makes the current state visible to readers; the caller holds the lock.
func (t *Table) publish() {
	toRegion := make(map[string]time.Duration, len(t.toRegion))
	for region, m := range t.toRegion {
		toRegion[region] = m.roundTrip
	}
	t.published.Store(&published{NewMap(t.region, t.regions, toRegion, assumedRoundTrip), t.regionOf})
}

// notify calls the listeners with the newest map, one call at a time, so that the last one has the newest.
func (t *Table) notify() {
	t.notifying.Lock()
	defer t.notifying.Unlock()
	for _, notify := range t.listeners {
		notify(t.Map())
	}
}

// RoundTrip returns the estimated round trip to a peer, beyond the one inside a region.
func (t *Table) RoundTrip(peer string) time.Duration {
	if t == nil {
		return 0
	}
	p := t.published.Load()
	if !p.distances.SpansRegions() {
		return 0
	}
	return p.distances.ToRegion(p.regionOf[peer])
}

// Wait returns how long to wait for the reply of a peer. near is the wait for a peer in the same region. A connection that
// has to be established first takes another round trip.
func (t *Table) Wait(peer string, near time.Duration) time.Duration {
	roundTrip := t.RoundTrip(peer)
	if !t.isReached(peer) {
		return wait(2*roundTrip, near)
	}
	return wait(roundTrip, near)
}

// waitWithin is Wait, limited to a share of a target while the peer's region has not been measured.
func (t *Table) waitWithin(peer string, near, target time.Duration) time.Duration {
	longest := t.Wait(peer, near)
	if target == 0 || t.isMeasured(peer) {
		return longest
	}
	return min(longest, max(target/waitDivisor, near))
}

// isMeasured reports whether the distance to a peer is not an assumed one.
func (t *Table) isMeasured(peer string) bool {
	if t.RoundTrip(peer) == 0 {
		return true
	}
	p := t.published.Load()
	_, measured := p.distances.toRegion[p.regionOf[peer]]
	return measured
}

// isReached reports whether a peer is near, or messages to it are sent over an open connection, so that its reply takes one
// round trip.
func (t *Table) isReached(peer string) bool {
	return t.RoundTrip(peer) == 0 || t.isConnected == nil || t.isConnected(peer)
}

// WaitForDomain returns how long to wait for something that takes a number of round trips to an endpoint in a failure
// domain. near is the wait for an endpoint in the same region.
func (t *Table) WaitForDomain(domain string, near time.Duration, roundTrips int) time.Duration {
	return wait(t.Map().ToDomain(domain)*time.Duration(roundTrips), near)
}

// LeastForDomain returns how long something that takes a number of round trips to an endpoint in a failure domain takes at
// least, as far as the region has been measured. near is that time in the same region.
func (t *Table) LeastForDomain(domain string, near time.Duration, roundTrips int) time.Duration {
	return wait(t.Map().MeasuredToDomain(domain)*time.Duration(roundTrips), near)
}

// FromDomain returns how long bytes take from an endpoint in a failure domain to this node, beyond the time inside a
// region; 0 if the region has not been measured.
func (t *Table) FromDomain(domain string) time.Duration { return t.Map().MeasuredToDomain(domain) / 2 }

// FromPeer returns how long messages of a peer take to this node, beyond the time inside a region; 0 if its region has not
// been measured.
func (t *Table) FromPeer(peer string) time.Duration {
	if t == nil {
		return 0
	}
	p := t.published.Load()
	return p.distances.measuredToRegion(p.regionOf[peer]) / 2
}

func wait(roundTrip, near time.Duration) time.Duration { return near + roundTrip + roundTrip/tolerance }

// CanWait reports whether a request with the given target may wait for the reply of a peer: always if the peer is near,
// else if that takes at most a share of the target. A target of 0 stands for none.
func (t *Table) CanWait(peer string, near, target time.Duration) bool {
	roundTrip := t.RoundTrip(peer)
	return roundTrip == 0 || target == 0 || t.Wait(peer, near) <= target/waitDivisor
}

// Map returns the current estimates by region.
func (t *Table) Map() Map {
	if t == nil {
		return Map{}
	}
	return t.published.Load().distances
}
