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
)

const (
	warmUpRate = 5.8
	warmUp     = 3 * time.Second
)

// newWarmUpPool returns a pool as one of several nodes sees it, with endpoints of which the first few are warming up.
func newWarmUpPool(nodes, warming, warm int) *chiveplace.Pool {
	pool := chiveplace.NewPool("z0")
	pool.SetWarmUpRate(warmUpRate)
	pool.SetNodes(nodes)
	var endpoints []chivedirectory.Endpoint
	for i := range warming + warm {
		e := chivedirectory.Endpoint{ID: fmt.Sprintf("e%d", i), Pool: "p", Slots: 32}
		if i < warming {
			e.WarmUp = warmUp
		}
		endpoints = append(endpoints, e)
	}
	pool.SetEndpoints(endpoints)
	return pool
}

// Guards against an endpoint that crashes because it gets its full share of requests right after its start.
func TestWarmUpRateIsNotExceeded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool := newWarmUpPool(1, 1, 2)
		got := 0
		for began := time.Now(); time.Since(began) < warmUp; time.Sleep(10 * time.Millisecond) {
			place, err := pool.Take(time.Now(), chiveplace.Ask{})
			if err != nil {
				t.Fatal(err)
			}
			if place.Endpoint().ID == "e0" {
				got++
			}
			place.Done(time.Now(), chiveplace.EndedWell)
		}
		if most := warmUpRate*warmUp.Seconds() + 1; got == 0 || float64(got) > most {
			t.Errorf("the endpoint got %d requests while it warmed up, want some and at most %.0f", got, most)
		}
		got = 0
		for range 50 {
			place, err := pool.Take(time.Now(), chiveplace.Ask{})
			if err != nil {
				t.Fatal(err)
			}
			if place.Endpoint().ID == "e0" {
				got++
			}
		}
		if got < 10 {
			t.Errorf("the endpoint got %d of 50 requests after it had warmed up", got)
		}
	})
}

// Guards against the same crash when all endpoints warm up, such as after the loss of a whole pool: the nodes together
// must not exceed the rate.
func TestNodesShareTheWarmUpRate(t *testing.T) {
	for _, nodes := range []int{1, 8, 62} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var pools []*chiveplace.Pool
				for range nodes {
					pools = append(pools, newWarmUpPool(nodes, 2, 0))
				}
				most := 0
				for range 3 {
					inSecond := make(map[string]int)
					for range 50 {
						for _, pool := range pools {
							if place, err := pool.Take(time.Now(), chiveplace.Ask{}); err == nil {
								inSecond[place.Endpoint().ID]++
								most = max(most, inSecond[place.Endpoint().ID])
							}
						}
						time.Sleep(20 * time.Millisecond)
					}
				}
				t.Logf("%d nodes: at most %d requests in a second on an endpoint that accepts %.1f", nodes, most, warmUpRate)
				if float64(most) > 1.5*warmUpRate {
					t.Errorf("an endpoint that accepts %.1f requests a second got %d in one", warmUpRate, most)
				}
			})
		})
	}
}

// Guards against an owner of an engine in a large fleet that limits itself to one node's share of the rate: it grants
// places for all nodes.
func TestOwnerGrantsTheFullWarmUpRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool := newWarmUpPool(62, 1, 0)
		granted := 0
		for i := range 100 {
			if _, err := pool.Grant(time.Now(), "n", uint64(i+1), chiveplace.Ask{Among: []string{"e0"}}); err == nil {
				granted++
			}
			time.Sleep(10 * time.Millisecond)
		}
		if float64(granted) < warmUpRate-1 || float64(granted) > 1.5*warmUpRate {
			t.Errorf("%d places were granted in a second, want about %.1f", granted, warmUpRate)
		}
	})
}

// Guards against an endpoint that crashes right after its start because each node of a fleet of middle size places its first
// request on it at once.
func TestFirstRequestsOfAllNodesStayWithinTheWarmUpRate(t *testing.T) {
	const nodes = 16
	synctest.Test(t, func(t *testing.T) {
		got := 0
		for range nodes {
			if _, err := newWarmUpPool(nodes, 1, 0).Take(time.Now(), chiveplace.Ask{}); err == nil {
				got++
			}
		}
		if float64(got) > 1.5*warmUpRate {
			t.Errorf("an endpoint that accepts %.1f requests a second got %d at once", warmUpRate, got)
		}
	})
}

// Guards against an endpoint that crashes because what it states in its responses is lost with a change of its directory entry,
// and against a new process that gets few requests because of what the one before it stated.
func TestStatedWarmUpHoldsForOneProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool := chiveplace.NewPool("z0")
		pool.SetWarmUpRate(warmUpRate)
		pool.RequireWarmUpPermits()
		e := chivedirectory.Endpoint{ID: "e0", Pool: "p", Born: 1, WarmUp: time.Second}
		list := func() { pool.ApplyEndpoints(chivedirectory.Diff{Changed: []chivedirectory.Endpoint{e}}) }
		check := func(when string, cold int) {
			t.Helper()
			if got := pool.ColdEndpoints(time.Now()); got != cold {
				t.Errorf("%s: %d cold endpoints, want %d", when, got, cold)
			}
		}
		list()
		key := e.Incarnation().Key()
		if pool.StateWarmUp(time.Now(), key, time.Second) || !pool.StateWarmUp(time.Now(), key, 3*time.Second) || pool.StateWarmUp(time.Now(), key, 3*time.Second) {
			t.Error("only an end that is later than the known ones is new")
		}
		e.WarmUp = 0
		list()
		pool.ApplyEndpoints(chivedirectory.Diff{Gone: []chivedirectory.Endpoint{e}})
		list()
		time.Sleep(2 * time.Second)
		check("after its entry was back", 1)
		time.Sleep(2 * time.Second)
		check("after the end", 0)
		pool.StateWarmUp(time.Now(), key, 3*time.Second)
		e.Born = 2
		list()
		check("after a restart", 0)
		if pool.StateWarmUp(time.Now(), key, 3*time.Second) {
			t.Error("a late statement of the process before was new")
		}
	})
}

// Guards against an endpoint that crashes because requests with permits follow those that came before the nodes knew that it has
// become cold.
func TestBusyEndpointRestsWhenItBecomesCold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool := newWarmUpPool(16, 0, 1)
		if _, err := pool.Take(time.Now(), chiveplace.Ask{}); err != nil {
			t.Fatal(err)
		}
		pool.StateWarmUp(time.Now(), "e0", warmUp)
		for _, wait := range []time.Duration{0, 990 * time.Millisecond} {
			time.Sleep(wait)
			var refused *chiveplace.RefusedError
			if _, err := pool.Take(time.Now(), chiveplace.Ask{}); !errors.As(err, &refused) {
				t.Errorf("%v later: %v, want a refusal", wait, err)
			}
		}
		time.Sleep(20 * time.Millisecond)
		var limited *chiveplace.LimitedError
		if _, err := pool.Take(time.Now(), chiveplace.Ask{}); !errors.As(err, &limited) || !limited.Cold {
			t.Errorf("after a second: %v, want the limit of a cold endpoint", err)
		}
		pool.ApplyEndpoints(chivedirectory.Diff{Changed: []chivedirectory.Endpoint{{ID: "e0", Pool: "p", Slots: 32, Born: 2, WarmUp: warmUp}}})
		if _, err := pool.Take(time.Now(), chiveplace.Ask{}); !errors.As(err, &limited) {
			t.Errorf("a new process: %v, want the limit of a cold endpoint", err)
		}
	})
}

// Guards against callers that all return at once, and again in vain, while all endpoints are cold, and against a long wait of
// those few that find no permit.
func TestCallersReturnByTheRoomOfColdEndpoints(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, c := range []struct {
			refused, served int
			least, most     time.Duration
		}{{40, 2, time.Second, 2 * time.Second}, {2, 40, 200 * time.Millisecond, 210 * time.Millisecond}} {
			pool := newWarmUpPool(16, 0, 2)
			for range c.served {
				if _, err := pool.Take(time.Now(), chiveplace.Ask{}); err != nil {
					t.Fatal(err)
				}
			}
			pool.StateWarmUp(time.Now(), "e0", warmUp)
			if _, allCold := pool.ColdRetryAfter(time.Now(), chiveplace.Ask{}); allCold {
				t.Error("one of two endpoints is warm")
			}
			pool.StateWarmUp(time.Now(), "e1", warmUp)
			sum := time.Duration(0)
			for range c.refused {
				retryAfter, allCold := pool.ColdRetryAfter(time.Now(), chiveplace.Ask{})
				if !allCold || retryAfter > warmUp {
					t.Errorf("return after %v, all cold: %v", retryAfter, allCold)
				}
				sum += retryAfter
			}
			if mean := sum / time.Duration(c.refused); mean < c.least || mean > c.most {
				t.Errorf("%d refused and %d served: return after %v in the mean, want %v to %v", c.refused, c.served, mean, c.least, c.most)
			}
		}
	})
}

// Guards against an endpoint whose end of the warm-up moves on in small steps, so that only the node that reads its responses knows
// that it is cold.
func TestSmallStepsOfAWarmUpAreAnnounced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reader, other := newWarmUpPool(3, 0, 1), newWarmUpPool(3, 0, 1)
		announced := 0
		for range 50 {
			if reader.StateWarmUp(time.Now(), "e0", warmUp) {
				other.StateWarmUp(time.Now(), "e0", warmUp)
				announced++
			}
			time.Sleep(200 * time.Millisecond)
		}
		if other.ColdEndpoints(time.Now()) != 1 || announced > 26 {
			t.Errorf("%d announced; %d cold endpoints are known elsewhere, want 1", announced, other.ColdEndpoints(time.Now()))
		}
	})
}

// Guards against an owner of engines that refuses asks that come at once to a warm engine which states a limit.
func TestOwnerGrantsWarmEnginesWithoutAPace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, rate := range []float64{0, warmUpRate} {
			pool := newWarmUpPool(24, 0, 1)
			pool.SetWarmUpRate(rate)
			place, err := pool.Take(time.Now(), chiveplace.Ask{})
			if err != nil {
				t.Fatal(err)
			}
			place.StateLimits(time.Now(), chiverequest.Limits{PerSecond: 100})
			for i := range 5 {
				if _, err := pool.Grant(time.Now(), "n", uint64(i+1), chiveplace.Ask{Among: []string{"e0"}}); err != nil {
					t.Errorf("warm-up rate %g, ask %d: %v", rate, i, err)
				}
			}
		}
	})
}

// Guards against a pool whose endpoints are never cold that announces and logs what they state, and against an end that is lost
// since the rate becomes known later.
func TestPoolWithoutAWarmUpRateAnnouncesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool := newWarmUpPool(6, 0, 1)
		pool.SetWarmUpRate(0)
		if pool.StateWarmUp(time.Now(), "e0", warmUp) {
			t.Error("announced without a rate")
		}
		pool.SetWarmUpRate(warmUpRate)
		if pool.ColdEndpoints(time.Now()) != 1 {
			t.Error("the end is lost")
		}
		if !pool.StateWarmUp(time.Now(), "e0", warmUp) {
			t.Error("not announced with a rate")
		}
	})
}

// Guards against an owner of an engine whose own choices, for which it gets no permit, leave no grants to the other nodes.
func TestOwnChoicesLeaveTheGrantsToOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool := newWarmUpPool(16, 1, 0)
		granted := 0
		for i := range 200 {
			var limited *chiveplace.LimitedError
			if _, err := pool.Take(time.Now(), chiveplace.Ask{}); !errors.As(err, &limited) {
				t.Fatalf("got %v, want the limit of a cold endpoint", err)
			}
			if _, err := pool.Grant(time.Now(), "n", uint64(i+1), chiveplace.Ask{Among: []string{"e0"}}); err == nil {
				granted++
			}
			time.Sleep(10 * time.Millisecond)
		}
		if float64(granted) < 2*warmUpRate-1 || float64(granted) > 3*warmUpRate {
			t.Errorf("%d places were granted in two seconds, want about %.1f", granted, 2*warmUpRate)
		}
	})
}

// Guards against an endpoint that gets requests in the second after it became cold, when the reply to an ask of before names an earlier time for the next permit.
func TestRestOfABusyEndpointOutlastsRepliesToEarlierAsks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool := newWarmUpPool(16, 0, 1)
		if _, err := pool.Take(time.Now(), chiveplace.Ask{}); err != nil {
			t.Fatal(err)
		}
		pool.StateWarmUp(time.Now(), "e0", warmUp)
		pool.LimitUsedUp("e0", time.Now().Add(5*time.Millisecond))
		time.Sleep(990 * time.Millisecond)
		var refused *chiveplace.RefusedError
		if _, err := pool.Take(time.Now(), chiveplace.Ask{}); !errors.As(err, &refused) {
			t.Errorf("got %v, want a refusal", err)
		}
	})
}
