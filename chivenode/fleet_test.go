package chivenode_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"chivedrift/chiveconfig"
	"chivedrift/chivefollow"
	"chivedrift/chivekernel"
	"chivedrift/chivelog"
	"chivedrift/chivemember"
	"chivedrift/chiveroute"
	"chivedrift/chivestand"
)

func lookup[T any](c *cluster, node int, name string) T {
	c.t.Helper()
	service, err := chivekernel.Lookup[T](c.nodes[node].Kernel(), name)
	if err != nil {
		c.t.Fatal(err)
	}
	return service
}

func (c *cluster) inForce(node int) *chivefollow.InForce {
	return lookup[*chivefollow.Follower](c, node, chivefollow.ServiceName).InForce()
}

func (c *cluster) members(node int) int {
	return len(lookup[*chivemember.Service](c, node, chivemember.ServiceName).Members())
}

// await waits for a condition on the bubble's clock and returns how long it took.
func (c *cluster) await(limit time.Duration, what string, holds func() bool) time.Duration {
	c.t.Helper()
	started := time.Now()
	for !holds() {
		if time.Since(started) > limit {
			c.t.Errorf("not after %s: %s", limit, what)
			return limit
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(started)
}

func (c *cluster) allInForce(version int64) bool {
	for i, node := range c.nodes {
		if node == nil {
			continue
		}
		if f := c.inForce(i); f == nil || f.Version() != version {
			return false
		}
	}
	return true
}

// schedulerOf returns the node that schedules the only shard.
func (c *cluster) schedulerOf() int {
	members := lookup[*chivemember.Service](c, 0, chivemember.ServiceName).Members()
	first := chiveroute.NewPlacement([]chiveroute.Key{chiveroute.NewKey("m/r/0", "r")}, members).Owners("m/r/0")[0]
	for i := range c.nodes {
		if nodeName(i) == first.Name {
			return i
		}
	}
	return 0
}

func (c *cluster) otherThan(not int) int {
	if not == 0 {
		return 1
	}
	return 0
}

// ---------------------------------------------------------------- schedulers

// Guards against streams or new requests that depend on a scheduler that has died.
func TestLossOfASchedulerTouchesNoStream(t *testing.T) {
	for _, silent := range []bool{false, true} {
		t.Run(fmt.Sprint("silent ", silent), func(t *testing.T) {
			inCluster(t, shape{nodes: 5, engines: 2, sequences: 8}, func(c *cluster) {
				scheduler := c.schedulerOf()
				gateway := c.otherThan(scheduler)
				results := make(chan reply, 4)
				for i := range 4 {
					go func() { results <- c.stream(gateway, "dossier", fmt.Sprintf("s%d tokens=400", i)) }()
				}
				time.Sleep(time.Second)
				if silent {
					c.lose(peerAddress(scheduler))
				} else {
					c.crash(peerAddress(scheduler))
				}
				fresh := c.stream(gateway, "dossier", "new tokens=5")
				if fresh.outcome != "completed" || fresh.first > 1500*time.Millisecond {
					t.Errorf("a new request got its first token after %s: %+v", fresh.first, fresh)
				}
				t.Logf("first token of a new request %s after the loss", fresh.first)
				for range 4 {
					if r := <-results; r.outcome != "completed" || strings.Count(r.text, " ") != 400 {
						t.Errorf("a running stream ended as %q after %d tokens", r.outcome, strings.Count(r.text, " "))
					}
				}
				c.find(peerAddress(scheduler))
			})
		})
	}
}

// Guards against queued requests lost with their scheduler.
func TestQueuedRequestsSurviveTheirScheduler(t *testing.T) {
	inCluster(t, shape{nodes: 4, engines: 1, sequences: 1}, func(c *cluster) {
		scheduler := c.schedulerOf()
		gateway := c.otherThan(scheduler)
		results := make(chan reply, 5)
		for i := range 5 {
			go func() { results <- c.stream(gateway, "dossier", fmt.Sprintf("q%d tokens=200", i)) }()
		}
		time.Sleep(500 * time.Millisecond)
		c.lose(peerAddress(scheduler))
		for range 5 {
			if r := <-results; r.outcome != "completed" {
				t.Errorf("a queued request ended as %q: %+v", r.outcome, r)
			}
		}
		c.find(peerAddress(scheduler))
	})
}

// Guards against a lost failure domain that affects requests outside it.
func TestLossOfAFailureDomain(t *testing.T) {
	inCluster(t, shape{nodes: 6, engines: 6, sequences: 4}, func(c *cluster) {
		results := make(chan reply, 8)
		for i := range 8 {
			go func() { results <- c.stream(1+i%2, "dossier", fmt.Sprintf("d%d tokens=300", i)) }()
		}
		time.Sleep(time.Second)
		for i := range 6 {
			if domain(i) == "a" {
				c.lose(peerAddress(i), engineAddress(i))
			}
		}
		for range 8 {
			if r := <-results; r.outcome != "completed" || strings.Count(r.text, " ") != 300 {
				t.Errorf("a stream through a surviving node ended as %q after %d tokens", r.outcome, strings.Count(r.text, " "))
			}
		}
		for i := range 6 {
			c.find(peerAddress(i), engineAddress(i))
		}
	})
}

// ---------------------------------------------------------------- configuration

func (c *cluster) record(id string, parent int64, change string) chiveconfig.Record {
	bundle := bundleFor(shape{engines: len(c.engines), sequences: 4, regions: c.shape.regions})
	bundle.Base += "# " + change + "\n"
	return chiveconfig.Record{ID: id, Kind: chiveconfig.KindPublish, Parent: parent, Author: id, Bundle: bundle}
}

func (c *cluster) append(r chiveconfig.Record) {
	c.t.Helper()
	data, err := r.Encode()
	if err != nil {
		c.t.Fatal(err)
	}
	c.log.Append(chiveconfig.Stream, data)
}

// watchVersions holds, all through a test, that the version in force on each node only rises.
func (c *cluster) watchVersions(ctx context.Context) (done func()) {
	ctx, cancel := context.WithCancel(ctx)
	var watching sync.WaitGroup
	watching.Add(1)
	go func() {
		defer watching.Done()
		seen := make(map[*chivefollow.Follower]int64)
		for ctx.Err() == nil {
			for i, node := range c.nodes {
				if node == nil {
					continue
				}
				follower := lookup[*chivefollow.Follower](c, i, chivefollow.ServiceName)
				f := follower.InForce()
				if f == nil {
					continue
				}
				if f.Version() < seen[follower] {
					c.t.Errorf("node %d went from version %d back to %d", i, seen[follower], f.Version())
				}
				seen[follower] = f.Version()
			}
			time.Sleep(20 * time.Millisecond)
		}
	}()
	return func() { cancel(); watching.Wait() }
}

// Guards against concurrent publishes from the same version that both succeed.
func TestRacingOperatorsHaveOneWinner(t *testing.T) {
	for _, operators := range []int{2, 10} {
		inCluster(t, shape{nodes: 8, engines: 1, sequences: 4}, func(c *cluster) {
			defer c.watchVersions(context.Background())()
			for i := range operators {
				c.append(c.record(fmt.Sprintf("op%d", i), 1, fmt.Sprint("change ", i)))
			}
			took := c.await(2*time.Second, "version 2 everywhere", func() bool { return c.allInForce(2) })
			t.Logf("%d operators: in force on 8 nodes after %s", operators, took)
			want := c.record("op0", 1, "change 0").Bundle.Hash()
			time.Sleep(time.Second)
			for i := range c.nodes {
				if f := c.inForce(i); f.Hash() != want || f.Version() != 2 {
					t.Errorf("node %d runs version %d, hash %s", i, f.Version(), f.Hash())
				}
			}
		})
	}
}

// Guards against a change that is lost or reverted around an outage of the log.
func TestConfigurationThroughAnOutageOfTheLog(t *testing.T) {
	inCluster(t, shape{nodes: 5, engines: 1, sequences: 4}, func(c *cluster) {
		defer c.watchVersions(context.Background())()
		c.append(c.record("second", 1, "second"))
		c.await(2*time.Second, "version 2", func() bool { return c.allInForce(2) })
		c.lose(peerAddress(4))
		c.append(c.record("third", 2, "third"))
		time.Sleep(5 * time.Second)
		c.log.SetFaults(chivestand.LogFaults{Down: true, RetentionMs: 600_000})
		time.Sleep(30 * time.Minute)
		if r := c.stream(0, "nudge", "down tokens=5"); r.outcome != "completed" {
			t.Errorf("serving stopped with the log down: %+v", r)
		}
		_ = c.nodes[3].Stop(context.Background())
		c.nodes[3] = nil
		c.log.SetFaults(chivestand.LogFaults{Down: true, RetentionMs: 600_000})
		c.startBlind(3)
		c.log.SetFaults(chivestand.LogFaults{RetentionMs: 600_000})
		time.Sleep(30 * time.Minute)
		c.find(peerAddress(4))
		c.await(30*time.Second, "version 3 on the node that was frozen for an hour", func() bool { return c.allInForce(3) })
		c.append(c.record("fourth", 3, "fourth"))
		c.await(2*time.Second, "version 4 after the outage", func() bool { return c.allInForce(4) })
	})
}

// startBlind starts a node while the log is down: it knows its peers from the list of VMs alone.
func (c *cluster) startBlind(i int) {
	c.t.Helper()
	c.start(i)
	// The list of VMs is served by the same stand-in and is down too: the others find the new node instead.
	c.await(30*time.Second, "a configuration from a peer", func() bool { return c.inForce(i) != nil })
}

// Guards against an older node stopped by a record of a newer release.
func TestRecordThatCannotBeRead(t *testing.T) {
	inCluster(t, shape{nodes: 3, engines: 1, sequences: 4}, func(c *cluster) {
		c.log.Append(chiveconfig.Stream, []byte("not a record"))
		bad := c.record("future", 1, "x")
		bad.Bundle.Base += "quantum: true\n"
		c.append(bad)
		time.Sleep(2 * time.Second)
		for i := range c.nodes {
			state, ok := lookup[*chivefollow.Follower](c, i, chivefollow.ServiceName).Dump().(chivefollow.State)
			if !ok || state.Version != 1 || state.Accepted != 2 || !strings.Contains(state.Problem, "quantum") {
				t.Errorf("node %d: %+v", i, state)
			}
		}
		c.append(c.record("good", 2, "good"))
		c.await(2*time.Second, "version 3", func() bool { return c.allInForce(3) })
	})
}

// Guards against sides that disagree after a partition has healed.
func TestPartitionHeals(t *testing.T) {
	inCluster(t, shape{nodes: 6, engines: 2, sequences: 4}, func(c *cluster) {
		defer c.watchVersions(context.Background())()
		apart := map[string]bool{host(peerAddress(0)): true, host(peerAddress(3)): true}
		c.partition(func(from, to string) bool {
			inside := apart[host(from)]
			return inside != apart[host(to)] && host(to) != host(callerName) && host(from) != host(callerName) &&
				!strings.HasPrefix(from, "10.2.") && !strings.HasPrefix(to, "10.2.")
		})
		// Six members watch four each: the small side finds four gone in one round and the rest, if any, in the next.
		c.await(4500*time.Millisecond, "both sides know of the cut", func() bool { return c.members(0) == 2 && c.members(1) == 4 })
		c.append(c.record("during", 1, "during"))
		time.Sleep(time.Minute)
		for node := range 2 {
			if r := c.stream(node, "nudge", "cut tokens=5"); r.outcome != "completed" {
				t.Errorf("node %d during the cut: %+v", node, r)
			}
		}
		c.partition(nil)
		c.await(20*time.Second, "one fleet again", func() bool { return c.members(0) == 6 && c.members(5) == 6 })
		c.await(20*time.Second, "one version again", func() bool { return c.allInForce(2) })
	})
}

// Guards against a partitioned region that stops serving or returns with an old configuration.
func TestRegionsLoseEachOther(t *testing.T) {
	inCluster(t, shape{nodes: 6, engines: 4, sequences: 4, regions: 2}, func(c *cluster) {
		defer c.watchVersions(context.Background())()
		apart := map[string]bool{}
		for i := 1; i < 6; i += 2 {
			apart[host(peerAddress(i))] = true
		}
		for i := 1; i < 4; i += 2 {
			apart[host(engineAddress(i))] = true
		}
		c.partition(func(from, to string) bool {
			return apart[host(from)] != apart[host(to)] && host(from) != host(callerName) && host(to) != host(callerName)
		})
		c.append(c.record("during", 1, "during"))
		c.await(10*time.Second, "each side alone", func() bool { return c.members(0) == 3 && c.members(1) == 3 })
		for minute := range 10 {
			for node := range c.nodes {
				prompt := fmt.Sprintf("m%d-%d tokens=5", minute, node)
				if r := c.stream(node, "nudge", prompt); r.outcome != "completed" || r.first > 500*time.Millisecond {
					t.Errorf("node %d in minute %d: first token after %s, %+v", node, minute, r.first, r)
				}
			}
			time.Sleep(time.Minute)
		}
		if c.inForce(0).Version() != 2 || c.inForce(1).Version() != 1 {
			t.Errorf("in force: %d with the log, %d without", c.inForce(0).Version(), c.inForce(1).Version())
		}
		c.partition(nil)
		took := c.await(30*time.Second, "one version everywhere", func() bool { return c.allInForce(2) })
		t.Logf("one version everywhere %s after the cut healed", took)
		c.await(30*time.Second, "one fleet", func() bool { return c.members(0) == 6 && c.members(1) == 6 })
	})
}

// Guards against a configuration lost when every node is replaced.
func TestEveryNodeIsReplaced(t *testing.T) {
	inCluster(t, shape{nodes: 4, engines: 1, sequences: 4}, func(c *cluster) {
		c.append(c.record("second", 1, "second"))
		c.await(2*time.Second, "version 2", func() bool { return c.allInForce(2) })
		for i := range c.nodes {
			_ = c.nodes[i].Stop(context.Background())
			c.nodes[i] = nil
			c.start(i)
			c.await(5*time.Second, "the replacement's configuration", func() bool { return c.allInForce(2) })
			if r := c.stream(i, "nudge", "new tokens=3"); r.outcome != "completed" {
				t.Errorf("replacement %d: %+v", i, r)
			}
		}
		for i := range c.nodes {
			_ = c.nodes[i].Stop(context.Background())
			c.nodes[i] = nil
		}
		for i := range c.nodes {
			c.start(i)
		}
		c.await(5*time.Second, "all replaced", func() bool { return c.allInForce(2) })
	})
}

// ---------------------------------------------------------------- leaving

// Guards against new work for a leaving endpoint while the platform's list lags.
func TestLeavingEndpointGetsNoNewWork(t *testing.T) {
	inCluster(t, shape{nodes: 4, engines: 3, sequences: 4}, func(c *cluster) {
		c.log.SetFaults(chivestand.LogFaults{VMListLagMs: 30_000})
		c.log.SetVMs(append(c.vms, chivelog.VM{Name: "e0", Address: engineAddress(0), Kind: chivelog.KindEndpoint, State: chivelog.StateLeaving}))
		c.engines[0].SetFaults(chivestand.EngineFaults{Leaving: true})
		c.services[0].SetFaults(chivestand.ServiceFaults{Refuse: true})
		traffic := func(round int) {
			for i := range 24 {
				if r := c.stream(i%4, "dossier", fmt.Sprintf("l%d-%d tokens=3", round, i)); r.outcome != "completed" {
					t.Errorf("%+v", r)
				}
				if r := c.do(context.Background(), call{node: i % 4, path: "/services/svc/book", class: "confirm"}); r.outcome != "completed" {
					t.Errorf("%+v", r)
				}
			}
		}
		traffic(1)
		time.Sleep(3 * time.Second)
		before := [2]int{c.engines[0].Refused(), c.services[0].Refused()}
		traffic(2)
		if after := [2]int{c.engines[0].Refused(), c.services[0].Refused()}; after != before {
			t.Errorf("work was offered to leaving endpoints: %v, then %v", before, after)
		}
	})
}

// Guards against requests interrupted by a planned stop.
func TestPlannedStopInterruptsNothing(t *testing.T) {
	inCluster(t, shape{nodes: 4, engines: 2, sequences: 16}, func(c *cluster) {
		stopping := c.schedulerOf()
		results := make(chan reply, 12)
		for i := range 12 {
			node := stopping
			if i%2 == 0 {
				node = c.otherThan(stopping)
			}
			go func() { results <- c.stream(node, "dossier", fmt.Sprintf("p%d tokens=6000", i)) }()
		}
		time.Sleep(time.Second)
		stopped := make(chan error, 1)
		go func() { stopped <- c.nodes[stopping].Stop(context.Background()) }()
		worst := time.Duration(0)
		for i := range 50 {
			r := c.stream(c.otherThan(stopping), "nudge", fmt.Sprintf("n%d tokens=3", i))
			if r.outcome != "completed" {
				t.Errorf("during the stop: %+v", r)
			}
			worst = max(worst, r.first)
		}
		if worst > 500*time.Millisecond {
			t.Errorf("a nudge waited %s during the hand-over", worst)
		}
		t.Logf("longest first token of 50 nudges during the hand-over: %s", worst)
		for range 12 {
			if r := <-results; r.outcome != "completed" || strings.Count(r.text, " ") != 6000 {
				t.Errorf("a stream ended as %q after %d tokens", r.outcome, strings.Count(r.text, " "))
			}
		}
		if err := <-stopped; err != nil {
			t.Error(err)
		}
		c.nodes[stopping] = nil
	})
}
