package chiveforward

import (
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"chivedrift/chivemember"
	"chivedrift/chiverequest"
)

// Budget limits retries to a ratio of a pool's requests plus this node's share of a fixed headroom, over a sliding
// window.
//
// The limit applies to the whole fleet, but no node knows how many retries the others currently make. So each node uses
// only what is safe without coordination: the ratio of its own requests, and the headroom divided by the largest recent
// fleet size. The sum stays within the limit even if nodes are partitioned and each considers the others dead. A
// process that has just started does not know how many retries its predecessor made, so it has no headroom until a full
// window has passed. While it has met no other node it may be partitioned from a fleet of unknown size.
type Budget struct {
	mu        sync.Mutex
	limits    BudgetLimits
	startedAt time.Time
	fleetSize chivemember.PeakSize
	// listedPeers returns how many other nodes may exist, whether this node has met them or not; nil if that is not known.
	listedPeers func() int
	pools       map[string]*window
	spent       atomic.Int64
	denied      atomic.Int64
}

// BudgetLimits is the limit for the whole fleet: in any Window, retries stay below Ratio times the requests plus
// Headroom.
type BudgetLimits struct {
	Ratio    float64
	Headroom float64
	Window   time.Duration
}

const (
	// requestBuckets is the number of buckets in a window.
	requestBuckets = 20
	// retryBuckets covers more than the window. The edges of the window fall inside buckets, and a retry must not be
	// dropped before a full window has passed.
	retryBuckets = requestBuckets + 2
	bucketCount  = retryBuckets
	// headroomShare leaves part of the headroom unused, to allow for nodes that are not known yet and for the
	// granularity of the buckets.
	headroomShare = 0.8
	// unknownFleetSize is the least size that is assumed for a fleet of which this node has met no other node.
	unknownFleetSize = 8
)

type window struct {
	requests [bucketCount]int
	retries  [bucketCount]int
	bucket   int64
}

// NewBudget returns the budget of a process that starts now and has met no other node.
func NewBudget(now time.Time, limits BudgetLimits) *Budget {
	return &Budget{limits: limits, startedAt: now, fleetSize: chivemember.NewPeakSize(now), pools: make(map[string]*window)}
}

// SetListedPeers sets the function that returns how many other nodes may exist, whether this node has met them or not; it
// must be called before the first request.
func (b *Budget) SetListedPeers(listedPeers func() int) { b.listedPeers = listedPeers }

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
	allowed := b.limits.Ratio*float64(w.sum(w.requests, requestBuckets)) + b.headroom(now)
	if float64(w.sum(w.retries, retryBuckets)+1) > allowed {
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

// Explain returns log attributes with the retries that a pool has made and is allowed, the fleet size that divides the
// headroom, and the retries that the current window no longer covers.
func (b *Budget) Explain(now time.Time, request *chiverequest.Request) []slog.Attr {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.windowAt(now, request.Pool)
	requests := w.sum(w.requests, requestBuckets)
	return []slog.Attr{
		slog.Int("repeats", w.sum(w.retries, retryBuckets)), slog.Int("requests", requests),
		slog.Float64("allowed", roundForLog(b.limits.Ratio*float64(requests)+b.headroom(now))), slog.Int("nodes", b.sharers()),
		slog.Float64("overdrawn", roundForLog(b.overdrawn(now, w))),
	}
}

// Overdrawn returns by pool how many of the retries that were charged in the current window its limit no longer covers,
// since the requests that allowed them have left the window.
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
	allowed := b.limits.Ratio*float64(w.sum(w.requests, requestBuckets)) + b.headroom(now)
	return max(float64(w.sum(w.retries, retryBuckets))-allowed, 0)
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
	bucket := int64(now.Sub(b.startedAt) / (b.limits.Window / requestBuckets))
	w, ok := b.pools[pool]
	if !ok {
		w = &window{bucket: bucket}
		b.pools[pool] = w
	}
	for cleared := 0; w.bucket < bucket && cleared < bucketCount; cleared++ {
		w.bucket++
		w.requests[w.bucket%bucketCount] = 0
		w.retries[w.bucket%bucketCount] = 0
	}
	w.bucket = max(w.bucket, bucket)
	return w
}

// sum adds up the newest buckets.
func (w *window) sum(counts [bucketCount]int, buckets int64) int {
	total := 0
	for age := int64(0); age < buckets && age <= w.bucket; age++ {
		total += counts[(w.bucket-age)%bucketCount]
	}
	return total
}
