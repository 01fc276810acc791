package chiveforward

import (
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"chivedrift/chiverequest"
)

// Budget bounds repeats to a share of a pool's requests plus this node's part of a fixed headroom, over a sliding window.
//
// The bound is the fleet's, but no node knows what the others do at this moment. Each spends only what is safe alone: the
// share of its own requests, and the headroom divided by the largest fleet that it has lately known of, so that the sum stays
// under the bound also when nodes cannot hear each other and each takes the rest for dead. A process that has just started
// does not know what the one before it spent, so it has no part of the headroom until a whole window has passed.
type Budget struct {
	mu     sync.Mutex
	limits BudgetLimits
	origin time.Time
	fleet  [2]int
	turned time.Time
	pools  map[string]*window
	spent  atomic.Int64
	denied atomic.Int64
}

// BudgetLimits is the bound for the whole fleet: in any Window, repeats stay under Ratio times requests plus Headroom.
type BudgetLimits struct {
	Ratio    float64
	Headroom float64
	Window   time.Duration
}

const (
	// requestSteps is the number of steps that a window is counted in.
	requestSteps = 20
	// repeatSteps reach further back than the window: its edges fall inside steps, and a repeat must not be forgotten early.
	repeatSteps = requestSteps + 2
	budgetSteps = repeatSteps
	// budgetMargin keeps a part of the headroom for nodes that are not known yet and for the grain of the steps.
	budgetMargin = 0.8
	// fleetMemory is the least time for which the largest fleet is remembered: longer than a partition usually lasts.
	fleetMemory = 2 * time.Minute
)

type window struct {
	requests [budgetSteps]int
	repeats  [budgetSteps]int
	step     int64
}

// NewBudget returns a budget of a process that starts now, in a fleet of one node.
func NewBudget(now time.Time, limits BudgetLimits) *Budget {
	return &Budget{limits: limits, origin: now, fleet: [2]int{1, 1}, turned: now, pools: make(map[string]*window)}
}

// SetNodes takes how many nodes are known to share the headroom.
func (b *Budget) SetNodes(now time.Time, nodes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.turn(now, nodes)
	b.fleet[0] = max(b.fleet[0], nodes)
}

// turn forgets what is older than two spans of memory; the count that is known now stays.
func (b *Budget) turn(now time.Time, nodes int) {
	if now.Sub(b.turned) < fleetMemory {
		return
	}
	b.fleet = [2]int{max(nodes, 1), b.fleet[0]}
	b.turned = now
}

// Request counts a caller's request for a pool.
func (b *Budget) Request(now time.Time, request *chiverequest.Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.at(now, request.Pool)
	w.requests[w.step%budgetSteps]++
}

// Spend takes one repeat and reports whether there was one left.
func (b *Budget) Spend(now time.Time, request *chiverequest.Request) bool {
	if !b.Lend(now, request.Pool) {
		b.denied.Add(1)
		return false
	}
	return true
}

// Lend takes one repeat of a request to a pool, which another node may make, and reports whether there was one left.
func (b *Budget) Lend(now time.Time, pool string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.at(now, pool)
	allowed := b.limits.Ratio*float64(w.sum(w.requests, requestSteps)) + b.headroom(now)
	if float64(w.sum(w.repeats, repeatSteps)+1) > allowed {
		return false
	}
	b.spent.Add(1)
	w.repeats[w.step%budgetSteps]++
	return true
}

// Spent returns how many repeats were taken since the start.
func (b *Budget) Spent() int64 { return b.spent.Load() }

// Denied returns how many repeats there was no budget for since the start.
func (b *Budget) Denied() int64 { return b.denied.Load() }

// Explain returns what a pool's budget has spent and allows, and the fleet that its headroom is divided by.
func (b *Budget) Explain(now time.Time, request *chiverequest.Request) []slog.Attr {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.at(now, request.Pool)
	requests := w.sum(w.requests, requestSteps)
	return []slog.Attr{
		slog.Int("repeats", w.sum(w.repeats, repeatSteps)), slog.Int("requests", requests),
		slog.Float64("allowed", rounded(b.limits.Ratio*float64(requests)+b.headroom(now))), slog.Int("nodes", max(b.fleet[0], b.fleet[1])),
	}
}

// headroom is this node's part.
func (b *Budget) headroom(now time.Time) float64 {
	if now.Sub(b.origin) < b.limits.Window {
		return 0
	}
	return b.limits.Headroom * budgetMargin / float64(max(b.fleet[0], b.fleet[1]))
}

// at returns a pool's window moved on to now.
func (b *Budget) at(now time.Time, pool string) *window {
	step := int64(now.Sub(b.origin) / (b.limits.Window / requestSteps))
	w, ok := b.pools[pool]
	if !ok {
		w = &window{step: step}
		b.pools[pool] = w
	}
	for steps := 0; w.step < step && steps < budgetSteps; steps++ {
		w.step++
		w.requests[w.step%budgetSteps] = 0
		w.repeats[w.step%budgetSteps] = 0
	}
	w.step = max(w.step, step)
	return w
}

// sum adds up the newest steps.
func (w *window) sum(counts [budgetSteps]int, steps int64) int {
	total := 0
	for back := int64(0); back < steps && back <= w.step; back++ {
		total += counts[(w.step-back)%budgetSteps]
	}
	return total
}
