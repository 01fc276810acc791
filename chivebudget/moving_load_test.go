package chivebudget_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"chivedrift/chiveforward"

	"pgregory.net/rapid"
)

const (
	// loadTick is the time between two steps of a loadedFleet.
	loadTick = 20 * time.Millisecond
	// loadPerNode is the load of a fleet, in requests a second for each of its nodes.
	loadPerNode = 22.0
	// headroomPerNode is the headroom of a fleet for each of its nodes.
	headroomPerNode = 6.4
)

// loadedFleet is a fleet of budgets under a load whose distribution over the nodes changes.
type loadedFleet struct {
	limits  chiveforward.BudgetLimits
	created time.Time
	at      time.Duration
	budgets []*chiveforward.Budget
	// shares holds the nodes' shares of the load.
	shares []float64
	// due holds the requests that are due at each node; what is left of less than one is carried to the next step.
	due []float64
	// lends means that nodes borrow from each other what their own budgets deny.
	lends             bool
	dice              *rand.Rand
	requests, retries []time.Duration
}

func newLoadedFleet(nodes int) *loadedFleet {
	f := &loadedFleet{
		limits: chiveforward.BudgetLimits{Ratio: 0.2, Headroom: headroomPerNode * float64(nodes), Window: 10 * time.Second}, created: time.Now(),
		budgets: make([]*chiveforward.Budget, nodes), shares: make([]float64, nodes), due: make([]float64, nodes), dice: rand.New(rand.NewPCG(1, uint64(nodes))),
	}
	for i := range f.budgets {
		f.restart(i)
	}
	f.at = f.limits.Window
	return f
}

// restart replaces the process of a node.
func (f *loadedFleet) restart(node int) {
	f.budgets[node] = chiveforward.NewBudget(f.now(), f.limits)
	f.budgets[node].SetNodes(f.now(), len(f.budgets))
}

func (f *loadedFleet) now() time.Time { return f.created.Add(f.at) }

// concentrate distributes the load evenly over the nodes from the first to the one before the last.
func (f *loadedFleet) concentrate(first, last int) {
	for i := range f.shares {
		f.shares[i] = 0
		if i >= first && i < last {
			f.shares[i] = 1 / float64(last-first)
		}
	}
}

// play runs a phase; while requests fail, each node makes as many retries as it may.
func (f *loadedFleet) play(duration time.Duration, failing bool) {
	for end := f.at + duration; f.at < end; f.at += loadTick {
		for i, share := range f.shares {
			for f.due[i] += share * loadPerNode * float64(len(f.shares)) * loadTick.Seconds(); f.due[i] >= 1; f.due[i]-- {
				f.budgets[i].Request(f.now(), poolRequest)
				f.requests = append(f.requests, f.at)
			}
			for failing && share > 0 && f.spend(i) {
				f.retries = append(f.retries, f.at)
			}
		}
	}
}

// spend makes a retry at a node, borrowed from one of three others if the node's own budget denies it.
func (f *loadedFleet) spend(node int) bool {
	if f.budgets[node].Spend(f.now(), poolRequest) {
		return true
	}
	for range 3 {
		if lender := f.dice.IntN(len(f.budgets)); f.lends && lender != node && f.budgets[lender].Lend(f.now(), poolRequest.Pool) {
			return true
		}
	}
	return false
}

// check returns an error for the window in which the most retries exceed what the fleet may make.
func (f *loadedFleet) check() error {
	var err error
	most := 0.0
	for _, at := range f.retries {
		for _, end := range []time.Duration{at, at + f.limits.Window - 1} {
			retried, requested := sortedWithin(f.retries, end-f.limits.Window, end), 0
			for _, shift := range []time.Duration{0, f.limits.Window / 2, f.limits.Window} {
				requested = max(requested, sortedWithin(f.requests, end-shift-f.limits.Window, end-shift))
			}
			if allowed := f.limits.Ratio*float64(requested) + f.limits.Headroom; float64(retried)-allowed > most {
				most = float64(retried) - allowed
				err = fmt.Errorf("%d retries in the window that ends at %v, for %d requests; allowed %.0f", retried, end, requested, allowed)
			}
		}
	}
	return err
}

// sortedWithin returns how many of the sorted times are after from and not after to.
func sortedWithin(times []time.Duration, from, to time.Duration) int {
	first, _ := slices.BinarySearch(times, from+1)
	last, _ := slices.BinarySearch(times, to+1)
	return last - first
}

// loadMoves are the ways in which load moves from the first third of the nodes to the others while requests fail.
var loadMoves = map[string]func(f *loadedFleet, third int){
	"at once": func(f *loadedFleet, third int) {
		f.concentrate(third, len(f.shares))
		f.play(f.limits.Window, true)
	},
	"slowly": func(f *loadedFleet, third int) {
		const steps = 50
		for s := range steps {
			for i := range f.shares {
				if f.shares[i] = float64(s) / steps / float64(len(f.shares)-third); i < third {
					f.shares[i] = (1 - float64(s)/steps) / float64(third)
				}
			}
			f.play(f.limits.Window/2/steps, true)
		}
		f.play(f.limits.Window/2, true)
	},
	"back and forth": func(f *loadedFleet, third int) {
		for range 3 {
			f.concentrate(third, len(f.shares))
			f.play(f.limits.Window*3/10, true)
			f.concentrate(0, third)
			f.play(f.limits.Window*2/10, true)
		}
	},
	"from processes that end": func(f *loadedFleet, third int) {
		f.concentrate(third, len(f.shares))
		for i := range third {
			f.restart(i)
		}
		f.play(f.limits.Window*6/10, true)
		f.concentrate(0, len(f.shares))
		f.play(f.limits.Window, true)
	},
	"to processes that start": func(f *loadedFleet, third int) {
		f.concentrate(third, len(f.shares))
		for i := third; i < len(f.budgets); i++ {
			f.restart(i)
		}
		f.play(f.limits.Window*2, true)
	},
}

// Guards against a fleet that exceeds its retry budget because callers move between nodes, each of which keeps to it.
func TestRetriesOfMovingCallersStayWithinTheBudget(t *testing.T) {
	for _, nodes := range []int{3, 6, 9, 20, 60} {
		for name, move := range loadMoves {
			for _, lends := range []bool{false, true} {
				t.Run(fmt.Sprintf("%d nodes, %s, lending %t", nodes, name, lends), func(t *testing.T) {
					f := newLoadedFleet(nodes)
					f.lends = lends
					f.concentrate(0, nodes/3)
					f.play(f.limits.Window*11/10, false)
					f.play(f.limits.Window/10, true)
					move(f, nodes/3)
					if err := f.check(); err != nil {
						t.Error(err)
					}
				})
			}
		}
	}
}

// Guards against the same under random movements of the load, restarts and partitions.
func TestRetriesOfRandomlyMovingCallersStayWithinTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newLoadedFleet(rapid.IntRange(2, 12).Draw(t, "nodes"))
		f.lends = rapid.Bool().Draw(t, "lends")
		for range rapid.IntRange(1, 12).Draw(t, "phases") {
			first := rapid.IntRange(0, len(f.shares)-1).Draw(t, "first loaded")
			f.concentrate(first, rapid.IntRange(first+1, len(f.shares)).Draw(t, "last loaded"))
			surge := rapid.Float64Range(0, 3).Draw(t, "surge")
			for i := range f.shares {
				f.shares[i] *= surge
			}
			node := rapid.IntRange(0, len(f.shares)-1).Draw(t, "node")
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				f.restart(node)
			case 1:
				f.budgets[node].SetNodes(f.now(), 1)
			}
			f.play(time.Duration(rapid.IntRange(1, 80).Draw(t, "tenths"))*100*time.Millisecond, rapid.Bool().Draw(t, "failing"))
		}
		if err := f.check(); err != nil {
			t.Fatal(err)
		}
	})
}

// Guards against callers whose requests are broken off by a crash of half of the engines and are not retried, although the
// ten seconds before were calm.
func TestRequestsAtCrashedEnginesAreRetriedAfterACalmWindow(t *testing.T) {
	const (
		requestDuration = 1.5
		minRetried      = 0.98
	)
	for _, nodes := range []int{3, 9, 60, 300} {
		for _, firstShare := range []float64{1 / float64(nodes), 0.6} {
			t.Run(fmt.Sprintf("%d nodes, %.2f of the load at the first", nodes, firstShare), func(t *testing.T) {
				f := newLoadedFleet(nodes)
				f.lends = true
				for i := range f.shares {
					f.shares[i] = (1 - firstShare) / float64(nodes-1)
				}
				f.shares[0] = firstShare
				f.play(f.limits.Window, false)
				broken, retried := 0, 0
				for i, share := range f.shares {
					for range int(math.Round(share * loadPerNode * float64(nodes) * requestDuration / 2)) {
						broken++
						if f.spend(i) {
							retried++
						}
					}
				}
				if float64(retried) < minRetried*float64(broken) {
					t.Errorf("%d of %d requests are retried, want %.2f", retried, broken, minRetried)
				}
			})
		}
	}
}
