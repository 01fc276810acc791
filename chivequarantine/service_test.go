//go:build !race

package chivequarantine_test

import (
	"context"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"chivedrift/chivedistance"
	"chivedrift/chivehealth"
	"chivedrift/chivemember"
	"chivedrift/chivequarantine"
	"chivedrift/chiverequest"
	"chivedrift/chivestand"
	"chivedrift/chivetable"
	"chivedrift/chivewire"
)

// propagationLimit is how long the fleet may take to quarantine a request that crashed three engines, as required by
// the users.
const propagationLimit = 3 * time.Second

// node is the quarantine service of one node with its connections to the other nodes.
type node struct {
	*chivequarantine.Service
	mesh    *chivewire.Mesh
	address string
}

// reportCrash reports that an endpoint crashed while running a request of the node.
func (n *node) reportCrash(content, endpoint, failureDomain string) {
	n.Crashed(time.Now(), requestOf(content), chivehealth.Failure{
		Endpoint: endpoint, Unique: true, FailureDomain: failureDomain, Evidence: chivehealth.EvidenceRefused, At: time.Now(),
	}, false)
}

func (n *node) stop() {
	n.Stop(context.Background())
	n.mesh.Stop(context.Background())
}

// fleet is a set of nodes on a simulated network.
type fleet struct {
	t       *testing.T
	network *chivestand.Network
	nodes   []*node
}

func newFleet(t *testing.T, size int) *fleet {
	t.Helper()
	return newFleetApart(t, size, func(*node) *chivedistance.Table { return nil })
}

// newFleetApart returns a fleet whose nodes have distances.
func newFleetApart(t *testing.T, size int, distancesOf func(n *node) *chivedistance.Table) *fleet {
	t.Helper()
	f := &fleet{t: t, network: chivestand.NewNetwork()}
	for i := range size {
		n := &node{address: fmt.Sprintf("10.%d.0.%d:1", i%3, i)}
		n.mesh = chivewire.NewMesh(n.address, f.network)
		n.Service = chivequarantine.New(chivequarantine.Options{Mesh: n.mesh, Distances: distancesOf(n), Logger: slog.New(slog.DiscardHandler)})
		f.nodes = append(f.nodes, n)
	}
	f.setMembers(f.nodes)
	for _, n := range f.nodes {
		if err := n.mesh.Start(context.Background()); err != nil {
			t.Fatal(err)
		}
		if err := n.Start(context.Background()); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(n.stop)
	}
	return f
}

func (f *fleet) setMembers(alive []*node) {
	var members []chivemember.Member
	for _, n := range alive {
		members = append(members, chivemember.Member{Name: n.address, Address: n.address, State: chivemember.Alive})
	}
	for _, n := range f.nodes {
		n.SetMembers(members)
	}
}

func requestOf(content string) *chiverequest.Request {
	return &chiverequest.Request{ID: "1", Content: chiverequest.Fingerprint(content), Route: &chivetable.Route{Name: "r"}, Team: "team"}
}

// crashEngines crashes three engines that are running a request. The nodes with the given indexes take turns in
// reporting.
func (f *fleet) crashEngines(content string, reporters ...int) {
	for i := range 3 {
		f.nodes[reporters[i%len(reporters)]].reportCrash(content, fmt.Sprintf("%s-e%d", content, i), fmt.Sprintf("z%d", i))
		time.Sleep(time.Millisecond)
	}
}

func (f *fleet) countAdmitting(content string, nodes []*node) (admitting int) {
	for _, n := range nodes {
		if !n.Quarantined(time.Now(), requestOf(content)).Quarantined {
			admitting++
		}
	}
	return admitting
}

// awaitQuarantine waits until all given nodes have quarantined a request, and returns how long that took.
func (f *fleet) awaitQuarantine(content string, nodes []*node) time.Duration {
	f.t.Helper()
	for began := time.Now(); ; time.Sleep(5 * time.Millisecond) {
		admitting := f.countAdmitting(content, nodes)
		if admitting == 0 {
			return time.Since(began)
		}
		if time.Since(began) > propagationLimit {
			f.t.Fatalf("%d of %d nodes have not quarantined the request after %v", admitting, len(nodes), propagationLimit)
		}
	}
}

func TestQuarantineReachesAllNodes(t *testing.T) {
	for _, size := range []int{2, 8, 40, 120} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, size)
				f.crashEngines("deadly", 0, 1)
				took := f.awaitQuarantine("deadly", f.nodes)
				time.Sleep(5 * time.Second)
				var most int64
				for _, n := range f.nodes {
					sent, _ := n.mesh.Traffic()
					most = max(most, sent["crash_update"].Bytes+sent["crash_digest"].Bytes)
				}
				t.Logf("%d nodes: all have quarantined the request after %v, the busiest sent %d KB", size, took, most>>10)
			})
		})
	}
}

// Guards against nodes that were partitioned while a request was quarantined, and then let it crash more engines.
func TestQuarantineReachesPartitionedNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 30)
		inFirstPartition := func(address string) bool { return strings.HasPrefix(address, "10.0.") }
		f.network.Block(func(from, to string) bool { return inFirstPartition(from) != inFirstPartition(to) })
		f.crashEngines("deadly", 1, 2)
		time.Sleep(20 * time.Second)
		f.network.Block(nil)
		f.awaitQuarantine("deadly", f.nodes)
	})
}

// Guards against reports that are lost when the reporting nodes die right after sending them to a peer.
func TestReportsSurviveLossOfReporter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 30)
		f.crashEngines("deadly", 0, 1)
		time.Sleep(15 * time.Millisecond)
		f.nodes[0].stop()
		f.nodes[1].stop()
		f.setMembers(f.nodes[2:])
		f.awaitQuarantine("deadly", f.nodes[2:])
	})
}

// Guards against nodes that keep to themselves what they had on an endpoint for which another node has evidence of a crash.
func TestCrashesOfPeersArePassedOnOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		crashes := make([]int, len(f.nodes))
		for i, n := range f.nodes {
			n.OnCrash(func(failure chivehealth.Failure) {
				if failure.Endpoint == "e" && failure.FailureDomain == "z" && failure.Evidence == chivehealth.EvidenceReported && time.Since(failure.At) < time.Second {
					crashes[i]++
				}
			})
		}
		f.nodes[0].reportCrash("deadly", "e", "z")
		time.Sleep(5 * time.Second)
		if crashes[0] != 0 || crashes[1] != 1 || crashes[2] != 1 {
			t.Errorf("passed on %v times at the nodes, the first of which reported the crash", crashes)
		}
	})
}

// Guards against sound parts of prompts that are quarantined for crashes of which only other attempts have evidence.
func TestCrashWithoutEvidenceOfItsOwnImplicatesNoParts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2)
		for i := range 3 {
			request := requestOf(fmt.Sprintf("content-%d", i))
			request.Shared = promptOf("part")
			failure := chivehealth.Failure{Endpoint: fmt.Sprintf("e%d", i), Unique: true, FailureDomain: fmt.Sprintf("z%d", i), Evidence: chivehealth.EvidenceReported, At: time.Now()}
			f.nodes[i%2].Crashed(time.Now(), request, failure, false)
			time.Sleep(time.Second)
		}
		sharing := requestOf("sound")
		sharing.Shared = promptOf("part")
		if f.nodes[0].Quarantined(time.Now(), sharing).Quarantined {
			t.Error("a request is quarantined for a part of its prompt")
		}
	})
}

func TestQuarantineReachesNodeThatJoinsLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 30)
		late := f.nodes[29]
		f.setMembers(f.nodes[:29])
		f.network.Block(func(from, to string) bool { return from == late.address || to == late.address })
		f.crashEngines("deadly", 0, 1)
		time.Sleep(10 * time.Second)
		f.network.Block(nil)
		f.setMembers(f.nodes)
		f.awaitQuarantine("deadly", f.nodes)
	})
}

// Guards against a node that starts and learns a quarantine only after a whole round of turns, since its peers, which
// learnt it at the same moment, go through their peers in step.
func TestQuarantineReachesNodeThatJoinsAtAnyTurn(t *testing.T) {
	const (
		size         = 16
		turnInterval = 400 * time.Millisecond
	)
	for turn := range size {
		t.Run(fmt.Sprint(turn), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, size)
				late := f.nodes[size-1]
				f.setMembers(f.nodes[:size-1])
				f.network.Block(func(from, to string) bool { return from == late.address || to == late.address })
				f.crashEngines("deadly", 0, 1)
				time.Sleep(10*time.Second + time.Duration(turn)*turnInterval)
				f.network.Block(nil)
				f.setMembers(f.nodes)
				f.awaitQuarantine("deadly", f.nodes)
			})
		})
	}
}

// Guards against a probe by every node at once when a quarantine ends.
func TestProbesAreCoordinatedAcrossNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 8)
		f.crashEngines("deadly", 0, 1)
		f.awaitQuarantine("deadly", f.nodes)
		probes := 0
		for began := time.Now(); time.Since(began) < 5*time.Minute; time.Sleep(100 * time.Millisecond) {
			for _, n := range f.nodes {
				switch a := n.Admit(time.Now(), requestOf("deadly")); {
				case a.Probe:
					probes++
					t.Logf("probe %v after the quarantine began", time.Since(began).Round(time.Second))
					n.reportCrash("deadly", fmt.Sprintf("probe-e%d", probes), "z0")
				case !a.Quarantined || a.RetryAfter <= 0:
					t.Fatalf("the request was admitted %v after the quarantine began: %+v", time.Since(began), a)
				}
			}
		}
		// The quarantine triples with each failed probe: 15 s, 45 s, 135 s.
		if probes == 0 || probes > 3 {
			t.Errorf("%d probes in five minutes, want one to three", probes)
		}
	})
}

func TestAnsweredProbeReleasesRequestOnAllNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 8)
		f.crashEngines("sound", 0, 1)
		f.awaitQuarantine("sound", f.nodes)
		// Any node may be the one that coordinates the probes; if it dies, another takes over.
		f.nodes[3].stop()
		alive := append(append([]*node(nil), f.nodes[:3]...), f.nodes[4:]...)
		f.setMembers(alive)
		began, probed := time.Now(), false
		for !probed && time.Since(began) < time.Minute {
			time.Sleep(100 * time.Millisecond)
			for _, n := range alive {
				if !probed && n.Admit(time.Now(), requestOf("sound")).Probe {
					probed = true
					n.Answered(time.Now(), requestOf("sound"))
				}
			}
		}
		if !probed {
			t.Fatal("the request was not probed within a minute")
		}
		time.Sleep(propagationLimit)
		if admitting := f.countAdmitting("sound", alive); admitting != len(alive) {
			t.Errorf("%d of %d nodes admit the request", admitting, len(alive))
		}
	})
}

// Guards against quarantining a request that is answered all the time.
func TestFrequentlyAnsweredRequestIsNotQuarantined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 5)
		for range 50 {
			f.nodes[2].Answered(time.Now(), requestOf("poll"))
			time.Sleep(20 * time.Millisecond)
		}
		time.Sleep(500 * time.Millisecond)
		f.crashEngines("poll", 0, 1)
		time.Sleep(propagationLimit)
		if admitting := f.countAdmitting("poll", f.nodes); admitting != len(f.nodes) {
			t.Errorf("%d of %d nodes admit the request", admitting, len(f.nodes))
		}
		f.crashEngines("deadly", 0, 1)
		f.awaitQuarantine("deadly", f.nodes)
	})
}

// Guards against answer reports that circulate forever.
func TestNoUpdatesAfterConvergence(t *testing.T) {
	const bytesPerSecond = 50_000
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 8)
		f.network.LimitLinks(bytesPerSecond)
		f.crashEngines("sound", 0, 1)
		f.awaitQuarantine("sound", f.nodes)
		f.nodes[2].Answered(time.Now(), requestOf("sound"))
		time.Sleep(2 * time.Second)
		before := f.updatesSent()
		time.Sleep(10 * time.Second)
		if more := f.updatesSent() - before; more > 0 {
			t.Errorf("%d messages were sent although all nodes have the same reports", more)
		}
	})
}

// Guards against links saturated with reports when many engines crash at once.
func TestTrafficIsBoundedUnderManyCrashes(t *testing.T) {
	const engines, requests, mostBytes = 40, 12, 32 << 10
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 60)
		for e := range engines {
			for r := range requests {
				n := f.nodes[(e*requests+r)%len(f.nodes)]
				n.reportCrash(fmt.Sprintf("only once %d %d", e, r), fmt.Sprintf("e%d", e), "z")
			}
		}
		time.Sleep(10 * time.Second)
		var most int64
		for _, n := range f.nodes {
			sent, _ := n.mesh.Traffic()
			most = max(most, sent["crash_update"].Bytes+sent["crash_digest"].Bytes)
		}
		t.Logf("the busiest node sent %d KB", most>>10)
		if most > mostBytes {
			t.Errorf("the busiest node sent %d bytes, want %d at most", most, mostBytes)
		}
		f.crashEngines("deadly", 7, 8)
		f.awaitQuarantine("deadly", f.nodes)
	})
}

func (f *fleet) updatesSent() (messages int64) {
	for _, n := range f.nodes {
		sent, _ := n.mesh.Traffic()
		messages += sent["crash_update"].Messages
	}
	return messages
}

func TestRunningAttemptIsNotifiedOfQuarantine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 4)
		notified := make(chan struct{}, 8)
		stop := f.nodes[3].Watch(requestOf("deadly"), func() { notified <- struct{}{} })
		defer stop()
		f.crashEngines("deadly", 0, 1)
		select {
		case <-notified:
		case <-time.After(propagationLimit):
			t.Error("the running attempt was not notified of the quarantine")
		}
	})
}
