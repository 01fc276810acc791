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

func lookupService[T any](c *cluster, node int, name string) T {
	c.t.Helper()
	service, err := chivekernel.Lookup[T](c.nodes[node].Kernel(), name)
	if err != nil {
		c.t.Fatal(err)
	}
	return service
}

func (c *cluster) inForce(node int) *chivefollow.InForce {
	return lookupService[*chivefollow.Follower](c, node, chivefollow.ServiceName).InForce()
}

func (c *cluster) memberCount(node int) int {
	return len(lookupService[*chivemember.Service](c, node, chivemember.ServiceName).Members())
}

// waitFor waits for a condition, on the bubble's clock, and returns how long that took.
func (c *cluster) waitFor(limit time.Duration, description string, condition func() bool) time.Duration {
	c.t.Helper()
	started := time.Now()
	for !condition() {
		if time.Since(started) > limit {
			c.t.Errorf("condition not met within %s: %s", limit, description)
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

// schedulerNode returns the index of the node that schedules the only shard.
func (c *cluster) schedulerNode() int {
	members := lookupService[*chivemember.Service](c, 0, chivemember.ServiceName).Members()
	first := chiveroute.NewPlacement([]chiveroute.Key{chiveroute.NewKey("m/r/0", "r")}, members).Owners("m/r/0")[0]
	for i := range c.nodes {
		if nodeName(i) == first.Name {
			return i
		}
	}
	return 0
}

func (c *cluster) otherNode(node int) int {
	if node == 0 {
		return 1
	}
	return 0
}

// ---------------------------------------------------------------- schedulers

// Guards against streams and new requests that fail or wait because a scheduler has died.
func TestLossOfASchedulerTouchesNoStream(t *testing.T) {
	for _, silent := range []bool{false, true} {
		t.Run(fmt.Sprint("silent ", silent), func(t *testing.T) {
			withCluster(t, clusterSpec{nodes: 5, engines: 2, sequences: 8}, func(c *cluster) {
				scheduler := c.schedulerNode()
				gateway := c.otherNode(scheduler)
				results := make(chan reply, 4)
				for i := range 4 {
					go func() { results <- c.stream(gateway, "dossier", fmt.Sprintf("s%d tokens=400", i)) }()
				}
				time.Sleep(time.Second)
				if silent {
					c.isolate(peerAddress(scheduler))
				} else {
					c.crash(peerAddress(scheduler))
				}
				fresh := c.stream(gateway, "dossier", "new tokens=5")
				if fresh.outcome != "completed" || fresh.firstToken > 1500*time.Millisecond {
					t.Errorf("a new request got its first token after %s: %+v", fresh.firstToken, fresh)
				}
				t.Logf("first token of a new request %s after the loss", fresh.firstToken)
				for range 4 {
					if r := <-results; r.outcome != "completed" || strings.Count(r.text, " ") != 400 {
						t.Errorf("a running stream ended as %q after %d tokens", r.outcome, strings.Count(r.text, " "))
					}
				}
				c.reconnect(peerAddress(scheduler))
			})
		})
	}
}

// Guards against queued requests that are lost with their scheduler.
func TestQueuedRequestsSurviveTheirScheduler(t *testing.T) {
	withCluster(t, clusterSpec{nodes: 4, engines: 1, sequences: 1}, func(c *cluster) {
		scheduler := c.schedulerNode()
		gateway := c.otherNode(scheduler)
		results := make(chan reply, 5)
		for i := range 5 {
			go func() { results <- c.stream(gateway, "dossier", fmt.Sprintf("q%d tokens=200", i)) }()
		}
		time.Sleep(500 * time.Millisecond)
		c.isolate(peerAddress(scheduler))
		for range 5 {
			if r := <-results; r.outcome != "completed" {
				t.Errorf("a queued request ended as %q: %+v", r.outcome, r)
			}
		}
		c.reconnect(peerAddress(scheduler))
	})
}

// Guards against a failed failure domain that affects requests outside it.
func TestLossOfAFailureDomain(t *testing.T) {
	withCluster(t, clusterSpec{nodes: 6, engines: 6, sequences: 4}, func(c *cluster) {
		results := make(chan reply, 8)
		for i := range 8 {
			go func() { results <- c.stream(1+i%2, "dossier", fmt.Sprintf("d%d tokens=300", i)) }()
		}
		time.Sleep(time.Second)
		for i := range 6 {
			if domain(i) == "a" {
				c.isolate(peerAddress(i), engineAddress(i))
			}
		}
		for range 8 {
			if r := <-results; r.outcome != "completed" || strings.Count(r.text, " ") != 300 {
				t.Errorf("a stream through a surviving node ended as %q after %d tokens", r.outcome, strings.Count(r.text, " "))
			}
		}
		for i := range 6 {
			c.reconnect(peerAddress(i), engineAddress(i))
		}
	})
}

// ---------------------------------------------------------------- configuration

func (c *cluster) newRecord(id string, parent int64, change string) chiveconfig.Record {
	bundle := bundleFor(clusterSpec{engines: len(c.engines), sequences: 4, regions: c.spec.regions})
	bundle.Base += "# " + change + "\n"
	return chiveconfig.Record{ID: id, Kind: chiveconfig.KindPublish, Parent: parent, Author: id, Bundle: bundle}
}

func (c *cluster) appendRecord(r chiveconfig.Record) {
	c.t.Helper()
	data, err := r.Encode()
	if err != nil {
		c.t.Fatal(err)
	}
	c.log.Append(chiveconfig.Stream, data)
}

// watchVersions checks in the background that the configuration version in force on each node never decreases.
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
				follower := lookupService[*chivefollow.Follower](c, i, chivefollow.ServiceName)
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
		withCluster(t, clusterSpec{nodes: 8, engines: 1, sequences: 4}, func(c *cluster) {
			defer c.watchVersions(context.Background())()
			for i := range operators {
				c.appendRecord(c.newRecord(fmt.Sprintf("op%d", i), 1, fmt.Sprint("change ", i)))
			}
			took := c.waitFor(2*time.Second, "version 2 everywhere", func() bool { return c.allInForce(2) })
			t.Logf("%d operators: in force on 8 nodes after %s", operators, took)
			want := c.newRecord("op0", 1, "change 0").Bundle.Hash()
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
	withCluster(t, clusterSpec{nodes: 5, engines: 1, sequences: 4}, func(c *cluster) {
		defer c.watchVersions(context.Background())()
		c.appendRecord(c.newRecord("second", 1, "second"))
		c.waitFor(2*time.Second, "version 2", func() bool { return c.allInForce(2) })
		c.isolate(peerAddress(4))
		c.appendRecord(c.newRecord("third", 2, "third"))
		time.Sleep(5 * time.Second)
		c.log.SetFaults(chivestand.LogFaults{Down: true, RetentionMs: 600_000})
		time.Sleep(30 * time.Minute)
		if r := c.stream(0, "nudge", "down tokens=5"); r.outcome != "completed" {
			t.Errorf("request failed while the log was down: %+v", r)
		}
		_ = c.nodes[3].Stop(context.Background())
		c.nodes[3] = nil
		c.log.SetFaults(chivestand.LogFaults{Down: true, RetentionMs: 600_000})
		c.startWithoutLog(3)
		c.log.SetFaults(chivestand.LogFaults{RetentionMs: 600_000})
		time.Sleep(30 * time.Minute)
		c.reconnect(peerAddress(4))
		c.waitFor(30*time.Second, "version 3 on the node that was isolated for an hour", func() bool { return c.allInForce(3) })
		c.appendRecord(c.newRecord("fourth", 3, "fourth"))
		c.waitFor(2*time.Second, "version 4 after the outage", func() bool { return c.allInForce(4) })
	})
}

// startWithoutLog starts a node while the log is down and waits until it has a configuration from a peer.
func (c *cluster) startWithoutLog(i int) {
	c.t.Helper()
	c.start(i)
	// The log simulator also serves the list of VMs, which is therefore down too: the peers have to find the new
	// node.
	c.waitFor(30*time.Second, "a configuration from a peer", func() bool { return c.inForce(i) != nil })
}

// Guards against a node that stops at a record it cannot read, such as one written by a newer release.
func TestUnreadableRecordDoesNotStopLaterOnes(t *testing.T) {
	withCluster(t, clusterSpec{nodes: 3, engines: 1, sequences: 4}, func(c *cluster) {
		c.log.Append(chiveconfig.Stream, []byte("not a record"))
		bad := c.newRecord("future", 1, "x")
		bad.Bundle.Base += "quantum: true\n"
		c.appendRecord(bad)
		time.Sleep(2 * time.Second)
		for i := range c.nodes {
			state, ok := lookupService[*chivefollow.Follower](c, i, chivefollow.ServiceName).Dump().(chivefollow.State)
			if !ok || state.Version != 1 || state.Accepted != 2 || !strings.Contains(state.Problem, "quantum") {
				t.Errorf("node %d: %+v", i, state)
			}
		}
		c.appendRecord(c.newRecord("good", 2, "good"))
		c.waitFor(2*time.Second, "version 3", func() bool { return c.allInForce(3) })
	})
}

// Guards against sides of a partition that still disagree after it has healed.
func TestPartitionHeals(t *testing.T) {
	withCluster(t, clusterSpec{nodes: 6, engines: 2, sequences: 4}, func(c *cluster) {
		defer c.watchVersions(context.Background())()
		smallSide := map[string]bool{host(peerAddress(0)): true, host(peerAddress(3)): true}
		c.partition(func(from, to string) bool {
			inside := smallSide[host(from)]
			return inside != smallSide[host(to)] && host(to) != host(clientAddress) && host(from) != host(clientAddress) &&
				!strings.HasPrefix(from, "10.2.") && !strings.HasPrefix(to, "10.2.")
		})
		// Each of six members probes four others: the small side detects four losses in one round, and the remaining
		// ones, if any, in the next.
		c.waitFor(4500*time.Millisecond, "both sides detect the partition", func() bool { return c.memberCount(0) == 2 && c.memberCount(1) == 4 })
		c.appendRecord(c.newRecord("during", 1, "during"))
		time.Sleep(time.Minute)
		for node := range 2 {
			if r := c.stream(node, "nudge", "cut tokens=5"); r.outcome != "completed" {
				t.Errorf("node %d during the partition: %+v", node, r)
			}
		}
		c.partition(nil)
		c.waitFor(20*time.Second, "a single fleet", func() bool { return c.memberCount(0) == 6 && c.memberCount(5) == 6 })
		c.waitFor(20*time.Second, "the same version everywhere", func() bool { return c.allInForce(2) })
	})
}

// Guards against a partitioned region that stops serving, or that keeps an old configuration afterwards.
func TestRegionsLoseEachOther(t *testing.T) {
	withCluster(t, clusterSpec{nodes: 6, engines: 4, sequences: 4, regions: 2}, func(c *cluster) {
		defer c.watchVersions(context.Background())()
		otherRegion := map[string]bool{}
		for i := 1; i < 6; i += 2 {
			otherRegion[host(peerAddress(i))] = true
		}
		for i := 1; i < 4; i += 2 {
			otherRegion[host(engineAddress(i))] = true
		}
		c.partition(func(from, to string) bool {
			return otherRegion[host(from)] != otherRegion[host(to)] && host(from) != host(clientAddress) && host(to) != host(clientAddress)
		})
		c.appendRecord(c.newRecord("during", 1, "during"))
		c.waitFor(10*time.Second, "each side lists only its own nodes", func() bool { return c.memberCount(0) == 3 && c.memberCount(1) == 3 })
		for minute := range 10 {
			for node := range c.nodes {
				prompt := fmt.Sprintf("m%d-%d tokens=5", minute, node)
				if r := c.stream(node, "nudge", prompt); r.outcome != "completed" || r.firstToken > 500*time.Millisecond {
					t.Errorf("node %d in minute %d: first token after %s, %+v", node, minute, r.firstToken, r)
				}
			}
			time.Sleep(time.Minute)
		}
		if c.inForce(0).Version() != 2 || c.inForce(1).Version() != 1 {
			t.Errorf("version in force: %d in the region with the log, %d in the other", c.inForce(0).Version(), c.inForce(1).Version())
		}
		c.partition(nil)
		took := c.waitFor(30*time.Second, "the same version everywhere", func() bool { return c.allInForce(2) })
		t.Logf("the same version everywhere %s after the partition ended", took)
		c.waitFor(30*time.Second, "a single fleet", func() bool { return c.memberCount(0) == 6 && c.memberCount(1) == 6 })
	})
}

// Guards against a configuration that is lost when all nodes are replaced.
func TestEveryNodeIsReplaced(t *testing.T) {
	withCluster(t, clusterSpec{nodes: 4, engines: 1, sequences: 4}, func(c *cluster) {
		c.appendRecord(c.newRecord("second", 1, "second"))
		c.waitFor(2*time.Second, "version 2", func() bool { return c.allInForce(2) })
		for i := range c.nodes {
			_ = c.nodes[i].Stop(context.Background())
			c.nodes[i] = nil
			c.start(i)
			c.waitFor(5*time.Second, "the replacement's configuration", func() bool { return c.allInForce(2) })
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
		c.waitFor(5*time.Second, "version 2 after all nodes were replaced", func() bool { return c.allInForce(2) })
	})
}

// ---------------------------------------------------------------- leaving

// Guards against new work for a draining endpoint while the platform's list of VMs lags.
func TestLeavingEndpointGetsNoNewWork(t *testing.T) {
	withCluster(t, clusterSpec{nodes: 4, engines: 3, sequences: 4}, func(c *cluster) {
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
			t.Errorf("leaving endpoints were offered new work: refusals %v before, %v after", before, after)
		}
	})
}

// Guards against requests that are interrupted by a planned stop.
func TestPlannedStopInterruptsNothing(t *testing.T) {
	withCluster(t, clusterSpec{nodes: 4, engines: 2, sequences: 16}, func(c *cluster) {
		stopping := c.schedulerNode()
		results := make(chan reply, 12)
		for i := range 12 {
			node := stopping
			if i%2 == 0 {
				node = c.otherNode(stopping)
			}
			go func() { results <- c.stream(node, "dossier", fmt.Sprintf("p%d tokens=6000", i)) }()
		}
		time.Sleep(time.Second)
		stopped := make(chan error, 1)
		go func() { stopped <- c.nodes[stopping].Stop(context.Background()) }()
		worst := time.Duration(0)
		for i := range 50 {
			r := c.stream(c.otherNode(stopping), "nudge", fmt.Sprintf("n%d tokens=3", i))
			if r.outcome != "completed" {
				t.Errorf("request during the stop: %+v", r)
			}
			worst = max(worst, r.firstToken)
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
