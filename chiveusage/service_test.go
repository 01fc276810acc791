//go:build !race

package chiveusage_test

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"chivedrift/chivelease"
	"chivedrift/chivemember"
	"chivedrift/chivestand"
	"chivedrift/chiveusage"
	"chivedrift/chivewire"
)

const (
	term   = 3 * time.Second
	window = 5 * time.Second
	delay  = 10 * time.Second
	// tolerance is the maximum relative error of a report.
	tolerance = 0.05
)

// fakePlatform accepts reports and rejects outdated fencing tokens. Calls time out while it is down; with executeLate
// they time out and take effect three seconds after they were made.
type fakePlatform struct {
	t            *testing.T
	down         bool
	executeLate  bool
	highestToken int64
	reports      map[int64]map[string]int64
	reportedAt   map[int64]time.Time
}

func (p *fakePlatform) ReportUsage(ctx context.Context, token int64, report chiveusage.Report) error {
	time.Sleep(4 * time.Millisecond)
	if p.down {
		<-ctx.Done()
		return ctx.Err()
	}
	if p.executeLate {
		time.AfterFunc(3*time.Second, func() { _ = p.accept(token, report) })
		<-ctx.Done()
		return ctx.Err()
	}
	return p.accept(token, report)
}

func (p *fakePlatform) accept(token int64, report chiveusage.Report) error {
	if token < p.highestToken {
		return chiveusage.ErrFenced
	}
	p.highestToken = token
	if before, ok := p.reports[report.Window]; ok && !maps.Equal(before, report.Counts) {
		p.t.Errorf("window %d was reported as %v and as %v", report.Window, before, report.Counts)
	}
	if _, ok := p.reports[report.Window]; !ok {
		p.reports[report.Window], p.reportedAt[report.Window] = maps.Clone(report.Counts), time.Now()
	}
	return nil
}

type node struct {
	address     string
	clock       bootClock
	incarnation int64
	mesh        *chivewire.Mesh
	lease       *chivelease.Service
	usage       *chiveusage.Service
	up          bool
}

// fleet is a set of nodes with the requests that they have recorded.
type fleet struct {
	t         *testing.T
	network   *laggedNetwork
	topic     *chivestand.Topic
	platform  *fakePlatform
	nodes     []*node
	startedAt time.Time
	random    *rand.Rand
	// expected counts the recorded requests by window and team.
	expected map[int64]map[string]int64
}

func newFleet(t *testing.T, size int) *fleet {
	t.Helper()
	f := newEmptyFleet(t, 1)
	for i := range size {
		n := &node{address: nodeAddress(i)}
		f.nodes = append(f.nodes, n)
		f.start(n)
	}
	f.setMembers()
	return f
}

func newEmptyFleet(t *testing.T, seed uint64) *fleet {
	t.Helper()
	return &fleet{
		t: t, network: newLaggedNetwork(), topic: chivestand.NewTopic(seed), startedAt: time.Now(), random: rand.New(rand.NewPCG(seed, 1)),
		platform: &fakePlatform{t: t, reports: make(map[int64]map[string]int64), reportedAt: make(map[int64]time.Time)}, expected: make(map[int64]map[string]int64),
	}
}

func nodeAddress(i int) string { return fmt.Sprintf("10.%d.0.%d:1", i%3, i) }

func (f *fleet) start(n *node) {
	f.t.Helper()
	n.incarnation, n.up = time.Now().UnixMilli(), true
	sinceBoot := func() time.Duration { return n.clock.read(time.Since(f.startedAt)) }
	n.mesh = chivewire.NewMesh(n.address, f.network)
	logger := slog.New(slog.DiscardHandler)
	n.lease = chivelease.New(chivelease.Options{
		Topic: f.topic.For(n.address), Self: n.address, Incarnation: n.incarnation, Term: term, Rank: func() (int, bool) { return n.usage.Rank() },
		SinceBoot: sinceBoot, Logger: logger,
	})
	n.usage = chiveusage.New(chiveusage.Options{
		Mesh: n.mesh, Incarnation: n.incarnation, Loads: func() map[string]int64 { return nil }, Lease: n.lease, Platform: f.platform,
		Window: window, Delay: delay, SinceBoot: sinceBoot, Logger: logger,
	})
	for _, start := range []func(context.Context) error{n.mesh.Start, n.usage.Start, n.lease.Start} {
		if err := start(context.Background()); err != nil {
			f.t.Fatal(err)
		}
	}
}

// crash stops a node's network and store access before its services, so that it cannot send starts or release the
// lease.
func (f *fleet) crash(n *node) {
	n.up = false
	f.topic.SetNodeFaults(func(name string) chivestand.TopicFaults { return chivestand.TopicFaults{Down: name == n.address} })
	n.mesh.Stop(context.Background())
	n.lease.Stop(context.Background())
	n.usage.Stop(context.Background())
	f.topic.SetNodeFaults(nil)
}

func (f *fleet) stop() {
	for _, n := range f.nodes {
		if n.up {
			f.crash(n)
		}
	}
}

func (f *fleet) setMembers() {
	var members []chivemember.Member
	for _, n := range f.nodes {
		if n.up {
			members = append(members, chivemember.Member{Name: n.address, Address: n.address, Incarnation: n.incarnation, State: chivemember.Alive})
		}
	}
	for _, n := range f.nodes {
		if n.up {
			n.usage.SetMembers(members)
		}
	}
}

// recordRequests records 200 requests per second on random nodes; those that fall on a node that is down are dropped.
func (f *fleet) recordRequests(duration time.Duration) {
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		n := f.nodes[f.random.IntN(len(f.nodes))]
		if !n.up {
			continue
		}
		team := fmt.Sprintf("t%d", f.random.IntN(8))
		n.usage.RecordStart(team)
		w := time.Now().UnixNano() / int64(window)
		if f.expected[w] == nil {
			f.expected[w] = make(map[string]int64)
		}
		f.expected[w][team]++
	}
}

func (f *fleet) holder() *node {
	for _, n := range f.nodes {
		if _, ok := n.lease.Tenure(); ok && n.up {
			return n
		}
	}
	f.t.Fatal("nobody holds the lease")
	return nil
}

// checkReports compares reports with the expected counts, for windows that began after two lease terms and whose
// deadline has passed. At most maxMissing of these windows may have no report.
func (f *fleet) checkReports(maxMissing int) {
	f.t.Helper()
	missing := 0
	for w, counts := range f.expected {
		end := time.Unix(0, (w+1)*int64(window))
		if time.Unix(0, w*int64(window)).Before(f.startedAt.Add(2*term)) || time.Since(end) < delay {
			continue
		}
		got, ok := f.platform.reports[w]
		if !ok {
			missing++
			continue
		}
		if took := f.platform.reportedAt[w].Sub(end); took > delay {
			f.t.Errorf("window %d was reported after %v", w, took)
		}
		total, deviation := int64(0), int64(0)
		for team, n := range counts {
			total += n
			deviation += max(n-got[team], got[team]-n)
		}
		if float64(deviation) > tolerance*float64(total) {
			f.t.Errorf("window %d is off by %d of %d requests", w, deviation, total)
		}
	}
	if missing > maxMissing {
		f.t.Errorf("%d windows are missing, expected %d at most", missing, maxMissing)
	}
}

func runScenario(t *testing.T, size int, scenario func(f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, size)
		defer f.stop()
		scenario(f)
		f.recordRequests(delay + window)
	})
}

// Guards against windows that are missing or have wrong counts when nothing fails.
func TestEveryWindowIsReported(t *testing.T) {
	runScenario(t, 9, func(f *fleet) {
		f.recordRequests(40 * time.Second)
		f.checkReports(0)
	})
}

// Guards against windows that are missing or are reported with two different counts after the reporting node crashes.
func TestReporterCrashesLoseNoWindow(t *testing.T) {
	runScenario(t, 9, func(f *fleet) {
		f.recordRequests(12 * time.Second)
		for range 3 {
			f.crash(f.holder())
			f.setMembers()
			f.recordRequests(12 * time.Second)
		}
		f.recordRequests(delay)
		f.checkReports(0)
	})
}

// Guards against counts that are lost when half of the fleet, but not the lease holder, crashes at once and restarts.
func TestCrashOfHalfTheFleetLosesNoWindow(t *testing.T) {
	runScenario(t, 20, func(f *fleet) {
		f.recordRequests(17 * time.Second)
		var crashed []*node
		for _, n := range f.nodes {
			if len(crashed) < 11 && n != f.holder() {
				crashed = append(crashed, n)
			}
		}
		for _, n := range crashed {
			f.crash(n)
		}
		time.Sleep(time.Second)
		for _, n := range crashed {
			f.start(n)
		}
		f.setMembers()
		f.recordRequests(20 * time.Second)
		f.checkReports(0)
	})
}

// Guards against two different counts for a window when the platform executes a call of a former lease holder late.
func TestLateCallsDoNotChangeReports(t *testing.T) {
	runScenario(t, 9, func(f *fleet) {
		f.recordRequests(13 * time.Second)
		f.platform.executeLate = true
		f.recordRequests(4 * time.Second)
		f.crash(f.holder())
		f.setMembers()
		f.recordRequests(2 * time.Second)
		f.platform.executeLate = false
		f.recordRequests(25 * time.Second)
		f.checkReports(0)
	})
}

// Guards against two different counts for a window after the store was restored from a copy that lacks the newest
// ledger; the windows that the ledger may have settled are omitted.
func TestLostLedgerDoesNotChangeReports(t *testing.T) {
	runScenario(t, 9, func(f *fleet) {
		for range 4 {
			f.recordRequests(13 * time.Second)
			f.topic.Restore(12)
		}
		f.recordRequests(25 * time.Second)
		f.checkReports(8)
	})
}

// Guards against windows that are missing after a short outage of the platform or the store.
func TestShortOutagesLoseNoWindow(t *testing.T) {
	runScenario(t, 9, func(f *fleet) {
		f.recordRequests(16 * time.Second)
		f.platform.down = true
		f.recordRequests(4 * time.Second)
		f.platform.down = false
		f.recordRequests(8 * time.Second)
		f.topic.SetFaults(chivestand.TopicFaults{Down: true, Silent: true})
		f.recordRequests(4 * time.Second)
		f.topic.SetFaults(chivestand.TopicFaults{})
		f.recordRequests(15 * time.Second)
		f.checkReports(0)
	})
}

// Guards against new nodes that replace collectors, whose collected starts would be lost.
func TestNewNodesDoNotBecomeCollectors(t *testing.T) {
	runScenario(t, 6, func(f *fleet) {
		collectorAddresses := func() (addresses []string) {
			for _, n := range f.nodes {
				if _, ok := n.usage.Rank(); ok {
					addresses = append(addresses, n.address)
				}
			}
			return addresses
		}
		before := collectorAddresses()
		time.Sleep(time.Second)
		added := &node{address: "10.0.0.0:0"}
		f.nodes = append(f.nodes, added)
		f.start(added)
		f.setMembers()
		if after := collectorAddresses(); len(after) != 3 || !slices.Equal(before, after) {
			f.t.Errorf("collectors were %v and are %v", before, after)
		}
	})
}
