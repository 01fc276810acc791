package chivebudget_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"chivedrift/chiveforward"
	"chivedrift/chivemember"

	"pgregory.net/rapid"
)

// Guards against exceeding the budget by lending between nodes while some are killed, partitioned or restarted. In no
// window may the retries exceed the ratio times the requests of that window or the one before, plus the headroom.
func TestBorrowingKeepsFleetWithinLimit(t *testing.T) {
	const pool = "p"
	limits := chiveforward.BudgetLimits{Ratio: 0.2, Headroom: 50, Window: 10 * time.Second}
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.IntRange(2, 9).Draw(t, "nodes")
		start, at := time.Now(), time.Duration(0)
		budgets := make([]*chiveforward.Budget, nodes)
		reset := func(i int) {
			budgets[i] = chiveforward.NewBudget(start.Add(at), limits)
			budgets[i].SetNodes(start.Add(at), nodes)
		}
		for i := range budgets {
			reset(i)
		}
		var requests, retries []time.Duration
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			at += time.Duration(rapid.IntRange(0, 300).Draw(t, "elapsed")) * time.Millisecond
			node := rapid.IntRange(0, nodes-1).Draw(t, "node")
			switch rapid.IntRange(0, 9).Draw(t, "action") {
			case 0:
				reset(node)
			case 1:
				budgets[node].SetNodes(start.Add(at), 1)
			case 2, 3, 4, 5:
				budgets[node].Request(start.Add(at), poolRequest)
				requests = append(requests, at)
			}
			for range rapid.IntRange(0, 6).Draw(t, "attempts") {
				switch lender := rapid.IntRange(0, nodes-1).Draw(t, "lender"); {
				case budgets[node].Spend(start.Add(at), poolRequest):
					retries = append(retries, at)
				case lender != node && budgets[lender].Lend(start.Add(at), pool) && rapid.Bool().Draw(t, "response arrives"):
					// A borrowed retry is sent up to the borrowing time-out later.
					retries = append(retries, at+time.Duration(rapid.IntRange(0, 60).Draw(t, "delay"))*time.Millisecond)
				}
			}
		}
		for _, end := range retries {
			retried := countWithin(retries, end-limits.Window, end)
			requested := max(countWithin(requests, end-limits.Window, end), countWithin(requests, end-2*limits.Window, end-limits.Window))
			if float64(retried) > limits.Ratio*float64(requested)+limits.Headroom {
				t.Fatalf("%d retries in the window ending at %v for %d requests", retried, end, requested)
			}
		}
	})
}

func countWithin(times []time.Duration, from, to time.Duration) int {
	n := 0
	for _, at := range times {
		if at > from && at <= to {
			n++
		}
	}
	return n
}

// Guards against denying retries to the nodes of a failure domain whose endpoints are unreachable while all other nodes
// have retries left.
func TestFailedDomainBorrowsRetriesFromOthers(t *testing.T) {
	const (
		nodes, domains       = 1000, 5
		retriesPerFailedNode = 2
	)
	start := time.Now()
	limits := chiveforward.BudgetLimits{Ratio: 0.2, Headroom: 1040, Window: 10 * time.Second}
	members := make([]chivemember.Member, nodes)
	budgets := make(map[string]*chiveforward.Budget, nodes)
	for i := range members {
		address := fmt.Sprintf("10.0.%d.%d:1", i/250, i%250)
		members[i] = chivemember.Member{Name: address, Address: address, State: chivemember.Alive}
		budgets[address] = chiveforward.NewBudget(start, limits)
		budgets[address].SetNodes(start, nodes)
	}
	now := start.Add(limits.Window)
	for _, b := range budgets {
		for range 2 {
			b.Request(now, poolRequest)
		}
	}
	ranked := chivemember.AddressesByHash(members)
	random := rand.New(rand.NewPCG(1, 1))
	deniedLocally, denied, attempted := 0, 0, 0
	for range retriesPerFailedNode {
		for i := 0; i < nodes; i += domains {
			attempted++
			if budgets[members[i].Address].Spend(now, poolRequest) {
				continue
			}
			deniedLocally++
			partners := chivemember.Partners(members[i].Address, ranked)
			random.Shuffle(len(partners), func(a, b int) { partners[a], partners[b] = partners[b], partners[a] })
			granted := false
			for _, p := range partners {
				if granted = budgets[p].Lend(now, poolRequest.Pool); granted {
					break
				}
			}
			if !granted {
				denied++
			}
		}
	}
	t.Logf("%d retries attempted, %d denied without borrowing, %d with borrowing", attempted, deniedLocally, denied)
	if float64(denied) > 0.03*float64(attempted) {
		t.Errorf("%d of %d retries are denied, want at most 3 in 100", denied, attempted)
	}
}
