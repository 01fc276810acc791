package chiveforward_test

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"chivedrift/chiveforward"
	"chivedrift/chiverequest"
	"chivedrift/chivetable"

	"pgregory.net/rapid"
)

var poolRequest = &chiverequest.Request{Pool: "p"}

// The limit on retries applies to the whole fleet. This test generates random histories of requests and retries on any
// node, in which nodes are killed and restart with an empty budget, or lose contact with the others and consider them
// dead. In no window may the retries exceed the ratio of the requests in this window or in the one before, whichever
// had more, plus the headroom.
func TestFleetStaysWithinRetryBudget(t *testing.T) {
	limits := chiveforward.BudgetLimits{Ratio: 0.2, Headroom: 50, Window: 10 * time.Second}
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.IntRange(1, 9).Draw(t, "nodes")
		start := time.Now()
		elapsed := time.Duration(0)
		budgets := make([]*chiveforward.Budget, nodes)
		restart := func(i int) {
			budgets[i] = chiveforward.NewBudget(start.Add(elapsed), limits)
			budgets[i].SetNodes(start.Add(elapsed), nodes)
		}
		for i := range budgets {
			restart(i)
		}
		var requests, retries []time.Duration
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			elapsed += time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond
			node := rapid.IntRange(0, nodes-1).Draw(t, "node")
			switch rapid.IntRange(0, 9).Draw(t, "action") {
			case 0:
				restart(node)
			case 1:
				budgets[node].SetNodes(start.Add(elapsed), 1)
			case 2, 3, 4, 5:
				budgets[node].Request(start.Add(elapsed), poolRequest)
				requests = append(requests, elapsed)
			}
			for range rapid.IntRange(0, 6).Draw(t, "retries") {
				if budgets[node].Spend(start.Add(elapsed), poolRequest) {
					retries = append(retries, elapsed)
				}
			}
		}
		for _, end := range retries {
			spent := countWithin(retries, end-limits.Window, end)
			requested := max(countWithin(requests, end-limits.Window, end), countWithin(requests, end-2*limits.Window, end-limits.Window))
			if float64(spent) > limits.Ratio*float64(requested)+limits.Headroom {
				t.Fatalf("%d retries in the window ending at %v for %d requests", spent, end, requested)
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

func TestRetriesExpireAfterAWindow(t *testing.T) {
	start := time.Now()
	b := chiveforward.NewBudget(start, chiveforward.BudgetLimits{Ratio: 0, Headroom: 10, Window: time.Second})
	now := start.Add(time.Second)
	spent := 0
	for b.Spend(now, poolRequest) {
		spent++
	}
	if spent == 0 || b.Spend(now.Add(900*time.Millisecond), poolRequest) {
		t.Errorf("spent %d retries at once, or another one within the window", spent)
	}
	if !b.Spend(now.Add(1200*time.Millisecond), poolRequest) {
		t.Error("no retry allowed after a window")
	}
}

// Guards against restarted nodes that spend their share of the headroom a second time.
func TestRestartedNodeHasNoHeadroomForAWindow(t *testing.T) {
	start := time.Now()
	b := chiveforward.NewBudget(start, chiveforward.BudgetLimits{Ratio: 0, Headroom: 100, Window: 10 * time.Second})
	if b.Spend(start.Add(9*time.Second), poolRequest) {
		t.Error("spent headroom that the previous process may have spent")
	}
	if !b.Spend(start.Add(10*time.Second), poolRequest) {
		t.Error("no headroom after a full window")
	}
}

// Guards against partitioned nodes that each use the whole headroom.
func TestBudgetKeepsLargestFleetSize(t *testing.T) {
	start := time.Now()
	b := chiveforward.NewBudget(start, chiveforward.BudgetLimits{Ratio: 0, Headroom: 100, Window: 10 * time.Second})
	b.SetNodes(start, 10)
	b.SetNodes(start.Add(time.Minute), 1)
	spent := 0
	for b.Spend(start.Add(time.Minute), poolRequest) {
		spent++
	}
	if spent > 10 {
		t.Errorf("one of ten nodes spent %d retries of a headroom of 100", spent)
	}
}

// slowPlaces waits before it takes a place for a retry.
type slowPlaces struct {
	chiveforward.Places
	wait time.Duration
}

func (p slowPlaces) Take(ctx context.Context, request *chiverequest.Request, exclude []string) (chiveforward.Place, error) {
	if len(exclude) > 0 {
		time.Sleep(p.wait)
	}
	return p.Places.Take(ctx, request, exclude)
}

// Guards against retries that are charged in one window and arrive in a later one, after a long wait for a place.
func TestRetryThatWaitsForAPlaceIsChargedWhenItIsSent(t *testing.T) {
	refuse := func(conn net.Conn, _ *http.Request, _ string) {
		write(conn, "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
	}
	a, b := newEndpoint(t, refuse), newEndpoint(t, refuse)
	for wait, charges := range map[time.Duration]int64{0: 1, time.Second: 2} {
		s := newFixtureWithOptions(t, func(o *chiveforward.Options) { o.Places = slowPlaces{o.Places, wait}; o.Rules.Refusals = 2 }, chivetable.Route{}, a.registration("a"), b.registration("b"))
		if result, _ := s.run(s.request(http.MethodGet, "")); result.Outcome != chiveforward.NotRun || len(result.Tries) != 2 {
			t.Fatalf("outcome %v after %d attempts, want not-run after 2", result.Outcome, len(result.Tries))
		}
		if spent := s.budget.Spent(); spent != charges {
			t.Errorf("%d charges for a retry that waited %v, want %d", spent, wait, charges)
		}
	}
}

func TestRetriesThatLostTheirRequestsAreOverdrawn(t *testing.T) {
	start := time.Now()
	b := chiveforward.NewBudget(start, chiveforward.BudgetLimits{Ratio: 0.5, Window: 10 * time.Second})
	for range 20 {
		b.Request(start, poolRequest)
	}
	later := start.Add(9 * time.Second)
	for b.Spend(later, poolRequest) {
	}
	if overdrawn := b.Overdrawn(later)[poolRequest.Pool]; overdrawn > 0 {
		t.Errorf("%v retries are overdrawn while the window holds their requests", overdrawn)
	}
	spent := float64(b.Spent())
	if overdrawn := b.Overdrawn(later.Add(3 * time.Second))[poolRequest.Pool]; spent == 0 || overdrawn != spent {
		t.Errorf("%v of %v retries are overdrawn after their requests have left the window", overdrawn, spent)
	}
}

// Guards against a machine that resumes from a suspension and spends what requests long before it earned, while their
// callers earn retries at other nodes.
func TestSuspendedNodeKeepsNoRetriesOfEarlierRequests(t *testing.T) {
	start := time.Now()
	suspended := time.Duration(0)
	b := chiveforward.NewBudget(start, chiveforward.BudgetLimits{Ratio: 0.5, Window: 10 * time.Second})
	b.SetSinceBoot(func() time.Duration { return time.Since(start) + suspended })
	for range 20 {
		b.Request(start, poolRequest)
	}
	if !b.Spend(start.Add(time.Second), poolRequest) {
		t.Error("no retry before the suspension")
	}
	suspended = 30 * time.Second
	if b.Spend(start.Add(2*time.Second), poolRequest) {
		t.Error("a retry after a suspension of three windows, without a request since")
	}
}
