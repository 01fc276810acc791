package chiveforward

import (
	"log/slog"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"chivedrift/chivemember"
	"chivedrift/chiverequest"
)

// Budget limits retries to a ratio of a pool's requests plus this node's share of a fixed headroom, over a sliding
// window.
//
// The limit applies to the whole fleet, but no node knows how many retries the others currently make. So each node keeps
// to a limit that adds up over the nodes: in every window, its retries stay below the ratio of the mean of its own
// requests in that window and in the one before, plus the headroom divided by the largest recent fleet size. It is not
// enough that this holds for the window that ends with a retry. If the callers then move to other nodes, they earn
// retries there, and this node's retries lack requests in the windows that end later. So a retry is charged only if
// every window that contains it can bear it even if no further request arrives.
//
// The sum stays within the limit even if callers move, nodes are partitioned and each considers the others dead. A
// process that has just started does not know how many retries its predecessor made, so it has no headroom until a full
// window has passed. While it has met no other node it may be partitioned from a fleet of unknown size.
type Budget struct {
	mu        sync.Mutex
	limits    BudgetLimits
	startedAt time.Time
	fleetSize chivemember.PeakSize
	// listedPeers returns how many other nodes may exist, whether this node has met them or not; nil if that is not known.
	listedPeers func() int
	// suspension measures the time for which the machine was suspended; nil if that is not known.
	suspension *suspensionTimer
	pools      map[string]*window
	spent      atomic.Int64
	denied     atomic.Int64
}

// BudgetLimits is the limit for the whole fleet: in any Window, retries stay below Headroom plus Ratio times the requests
// in that window or in the one before, whichever has more.
type BudgetLimits struct {
	Ratio    float64
	Headroom float64
	Window   time.Duration
}

const (
	// earningWindows is the number of windows in which a request earns retries: its own and the next.
	earningWindows = 2
	// headroomShare leaves part of the headroom unused, to allow for nodes that are not known yet.
	headroomShare = 0.8
	// unknownFleetSize is the least size that is assumed for a fleet of which this node has met no other node.
	unknownFleetSize = 8
)

// NewBudget returns the budget of a process that starts now and has met no other node.
func NewBudget(now time.Time, limits BudgetLimits) *Budget {
	return &Budget{limits: limits, startedAt: now, fleetSize: chivemember.NewPeakSize(now), pools: make(map[string]*window)}
}

// SetListedPeers sets the function that returns how many other nodes may exist, whether this node has met them or not; it
// must be called before the first request.
func (b *Budget) SetListedPeers(listedPeers func() int) { b.listedPeers = listedPeers }

// SetSinceBoot sets a clock that keeps running while the machine is suspended; it must be called before the first request.
// The window is one of the fleet, so it does not wait for a suspended node.
func (b *Budget) SetSinceBoot(sinceBoot func() time.Duration) {
	suspension := newSuspensionTimer(sinceBoot)
	b.suspension = &suspension
}

// SetNodes sets how many nodes are known to share the headroom.
func (b *Budget) SetNodes(now time.Time, nodes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fleetSize.Set(now, nodes)
}

// Request counts a caller's request to a pool.
func (b *Budget) Request(now time.Time, request *chiverequest.Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.windowAt(now, request.Pool)
	w.requests[w.bucket%bucketCount]++
}

// Spend charges one retry to the budget and reports whether it was allowed.
func (b *Budget) Spend(now time.Time, request *chiverequest.Request) bool {
	if !b.Lend(now, request.Pool) {
		b.denied.Add(1)
		return false
	}
	return true
}

// Lend charges one retry of a request to a pool, which may be made by another node, and reports whether it was allowed.
func (b *Budget) Lend(now time.Time, pool string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.windowAt(now, pool)
	if b.available(now, w) < 1 {
		return false
	}
	b.spent.Add(1)
	w.retries[w.bucket%bucketCount]++
	return true
}

// Spent returns the number of retries that were charged since the start.
func (b *Budget) Spent() int64 { return b.spent.Load() }

// Denied returns the number of retries that were denied since the start.
func (b *Budget) Denied() int64 { return b.denied.Load() }

// Explain returns log attributes with the retries that a pool has made in the current window and is allowed, its requests
// in this window and in the one before, the fleet size that divides the headroom, and the retries that are overdrawn.
func (b *Budget) Explain(now time.Time, request *chiverequest.Request) []slog.Attr {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.windowAt(now, request.Pool)
	retries := w.newestRetries()
	return []slog.Attr{
		slog.Int("repeats", retries), slog.Int("requests", w.newestRequests()),
		slog.Int("requests_before", w.requestsBefore()),
		slog.Float64("allowed", roundForLog(float64(retries)+b.available(now, w))), slog.Int("nodes", b.sharers()),
		slog.Float64("overdrawn", roundForLog(b.overdrawn(now, w))),
	}
}

// Overdrawn returns by pool how many of the retries that were charged in the current window exceed the ratio of the
// requests in the same window and this node's share of the headroom.
func (b *Budget) Overdrawn(now time.Time) map[string]float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	overdrawn := make(map[string]float64, len(b.pools))
	for pool := range b.pools {
		overdrawn[pool] = b.overdrawn(now, b.windowAt(now, pool))
	}
	return overdrawn
}

func (b *Budget) overdrawn(now time.Time, w *window) float64 {
	allowed := b.limits.Ratio*float64(w.newestRequests()) + b.headroom(now)
	return max(float64(w.newestRetries())-allowed, 0)
}

// available returns how many retries may be charged now, so that every window in which they may arrive can bear them. It
// goes back through the buckets in which these windows may begin. The requests in a window and in the one before it are
// those up to a window before its beginning, since no later ones than now are known.
func (b *Budget) available(now time.Time, w *window) float64 {
	perRequest, headroom := b.limits.Ratio/earningWindows, b.headroom(now)
	newest, oldest := w.bucket+arrivalBuckets, w.bucket-windowBuckets
	requests := w.requests.sum(newest-windowBuckets+2, w.bucket)
	retries, available := 0, math.Inf(1)
	for begin := newest; begin >= oldest; begin-- {
		requests += w.requests.at(begin - windowBuckets + 1)
		retries += w.retries.at(begin - arrivalBuckets)
		available = min(available, perRequest*float64(requests)+headroom-float64(retries))
	}
	return available
}

// headroom returns this node's share of the headroom.
func (b *Budget) headroom(now time.Time) float64 {
	if now.Sub(b.startedAt) < b.limits.Window {
		return 0
	}
	return b.limits.Headroom * headroomShare / float64(b.sharers())
}

// sharers returns the number of nodes that share the headroom.
func (b *Budget) sharers() int {
	size := b.fleetSize.Size()
	switch {
	case size > 1:
		return size
	case b.listedPeers == nil:
		return unknownFleetSize
	}
	if peers := b.listedPeers(); peers > 0 {
		return max(peers+1, unknownFleetSize)
	}
	return size
}

// windowAt returns a pool's window, advanced to the current time.
func (b *Budget) windowAt(now time.Time, pool string) *window {
	age := now.Sub(b.startedAt)
	if b.suspension != nil {
		age += b.suspension.suspended()
	}
	bucket := int64(age / (b.limits.Window / windowBuckets))
	w, ok := b.pools[pool]
	if !ok {
		w = &window{bucket: bucket}
		b.pools[pool] = w
	}
	w.advance(bucket)
	return w
}
