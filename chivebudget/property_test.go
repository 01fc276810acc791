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

// Guards against repeats over the limit by shares that are handed over while nodes are killed, cut off and started anew. In no window may the
// repeats exceed the ratio of that window's or the one before's requests plus the headroom.
func TestFleetStaysWithinTheLimitWhenSharesAreHandedOver(t *testing.T) {
	const pool = "p"
	limits := chiveforward.BudgetLimits{Ratio: 0.2, Headroom: 50, Window: 10 * time.Second}
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.IntRange(2, 9).Draw(t, "nodes")
		start, at := time.Now(), time.Duration(0)
		budgets := make([]*chiveforward.Budget, nodes)
		begin := func(i int) {
			budgets[i] = chiveforward.NewBudget(start.Add(at), limits)
			budgets[i].SetNodes(start.Add(at), nodes)
		}
		for i := range budgets {
			begin(i)
		}
		var requests, repeats []time.Duration
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
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
				switch lender := rapid.IntRange(0, nodes-1).Draw(t, "lender"); {
				case budgets[node].Spend(start.Add(at), toPool):
					repeats = append(repeats, at)
				case lender != node && budgets[lender].Lend(start.Add(at), pool) && rapid.Bool().Draw(t, "answered"):
					// The repeat is made up to the time that a request waits for answers later.
					repeats = append(repeats, at+time.Duration(rapid.IntRange(0, 60).Draw(t, "later"))*time.Millisecond)
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

// Guards against repeats that are withheld at the nodes of a failure domain whose endpoints are dark while all other nodes have theirs left.
func TestDarkDomainGetsTheOthersRepeats(t *testing.T) {
	const (
		nodes, domains = 1000, 5
		perDarkNode    = 2
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
			b.Request(now, toPool)
		}
	}
	ranked := chivemember.AddressesByHash(members)
	random := rand.New(rand.NewPCG(1, 1))
	alone, withheld, wanted := 0, 0, 0
	for range perDarkNode {
		for i := 0; i < nodes; i += domains {
			wanted++
			if budgets[members[i].Address].Spend(now, toPool) {
				continue
			}
			alone++
			partners := chivemember.Partners(members[i].Address, ranked)
			random.Shuffle(len(partners), func(a, b int) { partners[a], partners[b] = partners[b], partners[a] })
			granted := false
			for _, p := range partners {
				if granted = budgets[p].Lend(now, toPool.Pool); granted {
					break
				}
			}
			if !granted {
				withheld++
			}
		}
	}
	t.Logf("%d repeats wanted, %d withheld without peers, %d with them", wanted, alone, withheld)
	if float64(withheld) > 0.03*float64(wanted) {
		t.Errorf("%d of %d repeats are withheld, at most 3 in 100 expected", withheld, wanted)
	}
}
