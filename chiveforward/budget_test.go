package chiveforward_test

import (
	"testing"
	"time"

	"chivedrift/chiveforward"
	"chivedrift/chiverequest"

	"pgregory.net/rapid"
)

var toPool = &chiverequest.Request{Pool: "p"}

// The bound on repeats is the fleet's. This property plays arbitrary histories: nodes that are killed and start anew with an
// empty budget, nodes that lose sight of the others and take them for dead, requests and wishes to repeat at any time on any
// node. In no window may the repeats exceed the ratio of that window's or the one before's requests plus the headroom.
func TestFleetStaysWithinTheBudget(t *testing.T) {
	limits := chiveforward.BudgetLimits{Ratio: 0.2, Headroom: 50, Window: 10 * time.Second}
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.IntRange(1, 9).Draw(t, "nodes")
		start := time.Now()
		at := time.Duration(0)
		budgets := make([]*chiveforward.Budget, nodes)
		begin := func(i int) {
			budgets[i] = chiveforward.NewBudget(start.Add(at), limits)
			budgets[i].SetNodes(start.Add(at), nodes)
		}
		for i := range budgets {
			begin(i)
		}
		var requests, repeats []time.Duration
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			at += time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond
			node := rapid.IntRange(0, nodes-1).Draw(t, "node")
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0:
				begin(node)
			case 1:
				budgets[node].SetNodes(start.Add(at), 1)
			case 2, 3, 4, 5:
				budgets[node].Request(start.Add(at), toPool)
				requests = append(requests, at)
			}
			for range rapid.IntRange(0, 6).Draw(t, "wish") {
				if budgets[node].Spend(start.Add(at), toPool) {
					repeats = append(repeats, at)
				}
			}
		}
		for _, end := range repeats {
			spent := within(repeats, end-limits.Window, end)
			asked := max(within(requests, end-limits.Window, end), within(requests, end-2*limits.Window, end-limits.Window))
			if float64(spent) > limits.Ratio*float64(asked)+limits.Headroom {
				t.Fatalf("%d repeats in the window to %v for %d requests", spent, end, asked)
			}
		}
	})
}

func within(times []time.Duration, from, to time.Duration) int {
	n := 0
	for _, at := range times {
		if at > from && at <= to {
			n++
		}
	}
	return n
}

func TestBudgetForgetsAWindow(t *testing.T) {
	start := time.Now()
	b := chiveforward.NewBudget(start, chiveforward.BudgetLimits{Ratio: 0, Headroom: 10, Window: time.Second})
	now := start.Add(time.Second)
	spent := 0
	for b.Spend(now, toPool) {
		spent++
	}
	if spent == 0 || b.Spend(now.Add(900*time.Millisecond), toPool) {
		t.Errorf("spent %d at once, and another one within the window", spent)
	}
	if !b.Spend(now.Add(1200*time.Millisecond), toPool) {
		t.Error("nothing left a window later")
	}
}

// Guards against restarted nodes that spend their share of the retry budget a second time.
func TestSuccessorHasNoHeadroomAtFirst(t *testing.T) {
	start := time.Now()
	b := chiveforward.NewBudget(start, chiveforward.BudgetLimits{Ratio: 0, Headroom: 100, Window: 10 * time.Second})
	if b.Spend(start.Add(9*time.Second), toPool) {
		t.Error("spent headroom that its predecessor may have spent")
	}
	if !b.Spend(start.Add(10*time.Second), toPool) {
		t.Error("no headroom after a window")
	}
}

// Guards against partitioned nodes that each take the whole retry budget.
func TestBudgetRemembersTheFleet(t *testing.T) {
	start := time.Now()
	b := chiveforward.NewBudget(start, chiveforward.BudgetLimits{Ratio: 0, Headroom: 100, Window: 10 * time.Second})
	b.SetNodes(start, 10)
	b.SetNodes(start.Add(time.Minute), 1)
	spent := 0
	for b.Spend(start.Add(time.Minute), toPool) {
		spent++
	}
	if spent > 10 {
		t.Errorf("spent %d of 100, alone of ten nodes", spent)
	}
}
