package chiveplace_test

import (
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"chivedrift/chivedirectory"
	"chivedrift/chiveplace"
	"chivedrift/chiverequest"

	"pgregory.net/rapid"
)

// newLimitPool returns a pool with one endpoint, e0.
func newLimitPool() (pool *chiveplace.Pool, incarnation string) {
	pool = chiveplace.NewSeededPool("z0", 1)
	endpoint := chivedirectory.Endpoint{ID: "e0", Pool: "p", Born: 1}
	pool.SetEndpoints([]chivedirectory.Endpoint{endpoint})
	return pool, endpoint.Incarnation().Key()
}

// takePermitted takes a place as a request with a permit does.
func takePermitted(t *testing.T, pool *chiveplace.Pool, incarnation string) *chiveplace.Place {
	t.Helper()
	place, err := pool.Take(time.Now(), chiveplace.Ask{Permitted: incarnation})
	if err != nil {
		t.Fatal(err)
	}
	return place
}

// Guards against a limit that a late response to an earlier request ends.
func TestLimitEndsWithTheResponseToALaterRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool, incarnation := newLimitPool()
		early := takePermitted(t, pool, incarnation)
		time.Sleep(time.Second)
		first := takePermitted(t, pool, incarnation)
		time.Sleep(time.Second)
		if before, changed := first.StateLimits(time.Now(), chiverequest.Limits{PerSecond: 2}); !before.IsZero() || !changed {
			t.Errorf("the limit before was %v, changed %v", before, changed)
		}
		if _, changed := early.StateLimits(time.Now(), chiverequest.Limits{}); changed {
			t.Error("the response to an earlier request ended the limit")
		}
		var limited *chiveplace.LimitedError
		if _, err := pool.Take(time.Now(), chiveplace.Ask{}); !errors.As(err, &limited) || limited.Limits.PerSecond != 2 || limited.Endpoint != incarnation {
			t.Errorf("a request without a permit got %v", err)
		}
		time.Sleep(time.Second)
		later := takePermitted(t, pool, incarnation)
		if before, changed := later.StateLimits(time.Now(), chiverequest.Limits{}); before.PerSecond != 2 || !changed {
			t.Errorf("the limit before was %v, changed %v", before, changed)
		}
		if _, err := pool.Take(time.Now(), chiveplace.Ask{}); err != nil {
			t.Errorf("after the limit ended: %v", err)
		}
	})
}

// Guards against callers that return before the limits of a pool allow another request, and against later ones.
func TestRefusalStatesWhenALimitAllowsMore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool, incarnation := newLimitPool()
		takePermitted(t, pool, incarnation).StateLimits(time.Now(), chiverequest.Limits{PerSecond: 0.5})
		pool.LimitUsedUp(incarnation, time.Now().Add(1700*time.Millisecond))
		var refused *chiveplace.RefusedError
		if _, err := pool.Take(time.Now(), chiveplace.Ask{}); !errors.As(err, &refused) || refused.RetryAfter != 1700*time.Millisecond {
			t.Errorf("got %v, %+v", err, refused)
		}
		if got := pool.PassedOver(time.Now()); len(got) != 1 || got[0] != incarnation {
			t.Errorf("passed over: %v", got)
		}
	})
}

// Guards against a restarted endpoint that is held to the limit of its earlier process.
func TestLimitEndsWithTheProcess(t *testing.T) {
	pool, incarnation := newLimitPool()
	takePermitted(t, pool, incarnation).StateLimits(time.Now(), chiverequest.Limits{PerSecond: 0.5})
	pool.SetEndpoints([]chivedirectory.Endpoint{{ID: "e0", Pool: "p", Born: 2}})
	if _, err := pool.Take(time.Now(), chiveplace.Ask{}); err != nil {
		t.Error(err)
	}
	if got := pool.Limits(false); len(got) != 0 {
		t.Errorf("limits: %v", got)
	}
}

// Guards against nodes that hold an endpoint to different limits because reports arrive in different orders or twice.
func TestNodesAgreeOnLimitsInWhateverOrderReportsArrive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const nodes = 4
		var pools []*chiveplace.Pool
		var incarnation string
		for range nodes {
			pool, key := newLimitPool()
			pools, incarnation = append(pools, pool), key
		}
		var reports []chiveplace.Report
		deliver := func(to int, report chiveplace.Report) { pools[to].Hear(time.Now(), "n", &report) }
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			node := rapid.IntRange(0, nodes-1).Draw(t, "node")
			place, err := pools[node].Take(time.Now(), chiveplace.Ask{Permitted: incarnation})
			if err != nil {
				t.Fatal(err)
			}
			place.StateLimits(time.Now(), chiverequest.Limits{
				PerSecond: rapid.SampledFrom([]float64{0, 0.5, 3, 20}).Draw(t, "limit"), Refusals: rapid.SampledFrom([]int{0, 1, 4}).Draw(t, "refusals"),
			})
			place.Done(time.Now(), chiveplace.EndedWell)
			reports = append(reports, chiveplace.Report{Limits: pools[node].Limits(true)})
			for _, report := range reports {
				if to := rapid.IntRange(0, nodes).Draw(t, "to"); to < nodes {
					deliver(to, report)
				}
			}
		}
		for range 2 {
			for _, pool := range pools {
				full := chiveplace.Report{Limits: pool.Limits(false)}
				for to := range pools {
					deliver(to, full)
				}
			}
		}
		want := fmt.Sprint(pools[0].Limits(false))
		for i, pool := range pools {
			if got := fmt.Sprint(pool.Limits(false)); got != want {
				t.Fatalf("node %d has %s, node 0 %s", i, got, want)
			}
		}
	})
}

// Guards against a process that has just started in a pool of brittle endpoints and gets requests without permits.
func TestNewEndpointOfABrittlePoolNeedsPermits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool, incarnation := newLimitPool()
		takePermitted(t, pool, incarnation).StateLimits(time.Now(), chiverequest.Limits{Refusals: 4})
		time.Sleep(5 * time.Second)
		restarted := chivedirectory.Endpoint{ID: "e0", Pool: "p", Born: 2}
		pool.SetEndpoints([]chivedirectory.Endpoint{restarted})
		var limited *chiveplace.LimitedError
		if _, err := pool.Take(time.Now(), chiveplace.Ask{}); !errors.As(err, &limited) || limited.Limits.Refusals != 4 {
			t.Errorf("a request without a permit got %v", err)
		}
		time.Sleep(time.Millisecond)
		takePermitted(t, pool, restarted.Incarnation().Key()).StateLimits(time.Now(), chiverequest.Limits{})
		if _, err := pool.Take(time.Now(), chiveplace.Ask{}); err != nil {
			t.Errorf("after a response without limits: %v", err)
		}
	})
}

// Guards against an owner of engines that counts places as taken for which the nodes that asked got no permit, and that has no
// place left while the endpoint could take requests.
func TestOwnerGrantsAtTheRateThatAnEndpointStates(t *testing.T) {
	const perSecond = 3.2
	synctest.Test(t, func(t *testing.T) {
		pool := newWarmUpPool(16, 0, 1)
		place, err := pool.Take(time.Now(), chiveplace.Ask{})
		if err != nil {
			t.Fatal(err)
		}
		place.StateLimits(time.Now(), chiverequest.Limits{PerSecond: perSecond})
		place.Done(time.Now(), chiveplace.EndedWell)
		granted := 0
		for i := range 200 {
			if _, err := pool.Grant(time.Now(), "n", uint64(i+1), chiveplace.Ask{Among: []string{"e0"}}); err == nil {
				granted++
			}
			time.Sleep(10 * time.Millisecond)
		}
		if float64(granted) < 2*perSecond-1 || float64(granted) > 3*perSecond {
			t.Errorf("%d places were granted in two seconds, want about %.1f", granted, 2*perSecond)
		}
	})
}
