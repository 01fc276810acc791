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

// platform is a fake that rejects lower tokens and may lose calls or execute them late.
type platform struct {
	t       *testing.T
	down    bool
	late    bool
	token   int64
	reports map[int64]map[string]int64
	at      map[int64]time.Time
}

func (p *platform) ReportUsage(ctx context.Context, token int64, report chiveusage.Report) error {
	time.Sleep(4 * time.Millisecond)
	if p.down {
		<-ctx.Done()
		return ctx.Err()
	}
	if p.late {
		time.AfterFunc(3*time.Second, func() { _ = p.accept(token, report) })
		<-ctx.Done()
		return ctx.Err()
	}
	return p.accept(token, report)
}

func (p *platform) accept(token int64, report chiveusage.Report) error {
	if token < p.token {
		return chiveusage.ErrFenced
	}
	p.token = token
	if before, ok := p.reports[report.Window]; ok && !maps.Equal(before, report.Counts) {
		p.t.Errorf("window %d was reported as %v and as %v", report.Window, before, report.Counts)
	}
	if _, ok := p.reports[report.Window]; !ok {
		p.reports[report.Window], p.at[report.Window] = maps.Clone(report.Counts), time.Now()
	}
	return nil
}

type node struct {
	address     string
	incarnation int64
	mesh        *chivewire.Mesh
	lease       *chivelease.Service
	usage       *chiveusage.Service
	up          bool
}

// fleet is a set of nodes and the requests that they have started.
type fleet struct {
	t        *testing.T
	network  *chivestand.Network
	topic    *chivestand.Topic
	platform *platform
	nodes    []*node
	began    time.Time
	random   *rand.Rand
	// expected counts the started requests by window and team.
	expected map[int64]map[string]int64
}

func newFleet(t *testing.T, size int) *fleet {
	t.Helper()
	f := &fleet{
		t: t, network: chivestand.NewNetwork(), topic: chivestand.NewTopic(1), began: time.Now(), random: rand.New(rand.NewPCG(1, 1)),
		platform: &platform{t: t, reports: make(map[int64]map[string]int64), at: make(map[int64]time.Time)}, expected: make(map[int64]map[string]int64),
	}
	for i := range size {
		n := &node{address: fmt.Sprintf("10.%d.0.%d:1", i%3, i)}
		f.nodes = append(f.nodes, n)
		f.start(n)
	}
	f.setMembers()
	return f
}

func (f *fleet) start(n *node) {
	f.t.Helper()
	n.incarnation, n.up = time.Now().UnixMilli(), true
	sinceBoot := func() time.Duration { return time.Since(f.began) + time.Hour }
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

// crash stops a node's network and store access before its services.
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

// serveFor starts 200 requests a second on random nodes for a span of time.
func (f *fleet) serveFor(span time.Duration) {
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
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

// checkReports compares reports with the expected counts, for windows that began after two lease terms and whose deadline has passed.
func (f *fleet) checkReports(omitted int) {
	f.t.Helper()
	missing := 0
	for w, counts := range f.expected {
		end := time.Unix(0, (w+1)*int64(window))
		if time.Unix(0, w*int64(window)).Before(f.began.Add(2*term)) || time.Since(end) < delay {
			continue
		}
		got, ok := f.platform.reports[w]
		if !ok {
			missing++
			continue
		}
		if took := f.platform.at[w].Sub(end); took > delay {
			f.t.Errorf("window %d was reported after %v", w, took)
		}
		total, off := int64(0), int64(0)
		for team, n := range counts {
			total += n
			off += max(n-got[team], got[team]-n)
		}
		if float64(off) > tolerance*float64(total) {
			f.t.Errorf("window %d is off by %d of %d requests", w, off, total)
		}
	}
	if missing > omitted {
		f.t.Errorf("%d windows are missing, expected %d at most", missing, omitted)
	}
}

func runScenario(t *testing.T, size int, scenario func(f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, size)
		defer f.stop()
		scenario(f)
		f.serveFor(delay + window)
	})
}

// Guards against windows that are missing or wrong without any faults.
func TestEveryWindowIsReported(t *testing.T) {
	runScenario(t, 9, func(f *fleet) {
		f.serveFor(40 * time.Second)
		f.checkReports(0)
	})
}

// Guards against windows that are lost or reported with two different counts when the reporter crashes.
func TestReporterCrashes(t *testing.T) {
	runScenario(t, 9, func(f *fleet) {
		f.serveFor(12 * time.Second)
		for range 3 {
			f.crash(f.holder())
			f.setMembers()
			f.serveFor(12 * time.Second)
		}
		f.serveFor(delay)
		f.checkReports(0)
	})
}

// Guards against counts that are lost when half of the fleet crashes at once and restarts.
func TestHalfOfTheFleetCrashes(t *testing.T) {
	runScenario(t, 20, func(f *fleet) {
		f.serveFor(17 * time.Second)
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
		f.serveFor(20 * time.Second)
		f.checkReports(0)
	})
}

// Guards against two different counts for a window when the platform executes a call of a former reporter late.
func TestCallsAreCarriedOutLate(t *testing.T) {
	runScenario(t, 9, func(f *fleet) {
		f.serveFor(13 * time.Second)
		f.platform.late = true
		f.serveFor(4 * time.Second)
		f.crash(f.holder())
		f.setMembers()
		f.serveFor(2 * time.Second)
		f.platform.late = false
		f.serveFor(25 * time.Second)
		f.checkReports(0)
	})
}

// Guards against two different counts for a window after the store was restored from a copy without the ledger; such windows are omitted.
func TestStoreForgetsTheLedger(t *testing.T) {
	runScenario(t, 9, func(f *fleet) {
		for range 4 {
			f.serveFor(13 * time.Second)
			f.topic.Restore(12)
		}
		f.serveFor(25 * time.Second)
		f.checkReports(8)
	})
}

// Guards against windows that are lost in a short outage of the platform or the store.
func TestShortOutagesCostNoWindow(t *testing.T) {
	runScenario(t, 9, func(f *fleet) {
		f.serveFor(16 * time.Second)
		f.platform.down = true
		f.serveFor(4 * time.Second)
		f.platform.down = false
		f.serveFor(8 * time.Second)
		f.topic.SetFaults(chivestand.TopicFaults{Down: true, Silent: true})
		f.serveFor(4 * time.Second)
		f.topic.SetFaults(chivestand.TopicFaults{})
		f.serveFor(15 * time.Second)
		f.checkReports(0)
	})
}

// Guards against new nodes that displace collectors, which would make the collected starts unusable.
func TestNewNodesDoNotBecomeCollectors(t *testing.T) {
	runScenario(t, 6, func(f *fleet) {
		collecting := func() (addresses []string) {
			for _, n := range f.nodes {
				if _, ok := n.usage.Rank(); ok {
					addresses = append(addresses, n.address)
				}
			}
			return addresses
		}
		before := collecting()
		time.Sleep(time.Second)
		late := &node{address: "10.0.0.0:0"}
		f.nodes = append(f.nodes, late)
		f.start(late)
		f.setMembers()
		if after := collecting(); len(after) != 3 || !slices.Equal(before, after) {
			f.t.Errorf("collectors were %v and are %v", before, after)
		}
	})
}
