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

	"chivedrift/chivehealth"
	"chivedrift/chivemember"
	"chivedrift/chivequarantine"
	"chivedrift/chiverequest"
	"chivedrift/chivestand"
	"chivedrift/chivetable"
	"chivedrift/chivewire"
)

// knownWithin is how long the fleet may take to know of a request that ended three engines: the users' bound.
const knownWithin = 3 * time.Second

// node is a node's quarantine with its connections to the others.
type node struct {
	*chivequarantine.Service
	mesh    *chivewire.Mesh
	address string
}

// crashed reports that an endpoint crashed under a request of the node.
func (n *node) crashed(content, endpoint, failureDomain string) {
	n.Crashed(time.Now(), requestOf(content), chivehealth.Failure{
		Endpoint: endpoint, Unique: true, FailureDomain: failureDomain, Evidence: chivehealth.EvidenceRefused, At: time.Now(),
	})
}

func (n *node) stop() {
	n.Stop(context.Background())
	n.mesh.Stop(context.Background())
}

// fleet is so many nodes that know each other.
type fleet struct {
	t       *testing.T
	network *chivestand.Network
	nodes   []*node
}

func newFleet(t *testing.T, size int) *fleet {
	t.Helper()
	f := &fleet{t: t, network: chivestand.NewNetwork()}
	for i := range size {
		n := &node{address: fmt.Sprintf("10.%d.0.%d:1", i%3, i)}
		n.mesh = chivewire.NewMesh(n.address, f.network)
		n.Service = chivequarantine.New(chivequarantine.Options{Mesh: n.mesh, Logger: slog.New(slog.DiscardHandler)})
		f.nodes = append(f.nodes, n)
	}
	f.tellMembers(f.nodes)
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

func (f *fleet) tellMembers(alive []*node) {
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

// end ends three engines under a request, with the nodes of some places.
func (f *fleet) end(content string, at ...int) {
	for i := range 3 {
		f.nodes[at[i%len(at)]].crashed(content, fmt.Sprintf("%s-e%d", content, i), fmt.Sprintf("z%d", i))
		time.Sleep(time.Millisecond)
	}
}

func (f *fleet) free(content string, among []*node) (free int) {
	for _, n := range among {
		if !n.Quarantined(time.Now(), requestOf(content)).Quarantined {
			free++
		}
	}
	return free
}

// awaitHeld waits until all of some nodes hold a request back, and returns how long that took.
func (f *fleet) awaitHeld(content string, among []*node) time.Duration {
	f.t.Helper()
	for began := time.Now(); ; time.Sleep(5 * time.Millisecond) {
		free := f.free(content, among)
		if free == 0 {
			return time.Since(began)
		}
		if time.Since(began) > knownWithin {
			f.t.Fatalf("%d of %d nodes do not hold the request back after %v", free, len(among), knownWithin)
		}
	}
}

func TestAllNodesKnowInTime(t *testing.T) {
	for _, size := range []int{2, 8, 40, 120} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, size)
				f.end("deadly", 0, 1)
				took := f.awaitHeld("deadly", f.nodes)
				time.Sleep(5 * time.Second)
				var most int64
				for _, n := range f.nodes {
					sent, _ := n.mesh.Traffic()
					most = max(most, sent["crash_update"].Bytes+sent["crash_digest"].Bytes)
				}
				t.Logf("%d nodes: the last knows after %v, the busiest sends %d KB", size, took, most>>10)
			})
		})
	}
}

// Guards against engines that crash at nodes partitioned while a request was quarantined.
func TestNodesThatWereCutOffLearnInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 30)
		inFirst := func(address string) bool { return strings.HasPrefix(address, "10.0.") }
		f.network.Block(func(from, to string) bool { return inFirst(from) != inFirst(to) })
		f.end("deadly", 1, 2)
		time.Sleep(20 * time.Second)
		f.network.Block(nil)
		f.awaitHeld("deadly", f.nodes)
	})
}

// The node that reported the last end dies as soon as a single peer has heard of it.
func TestWordOutlivesItsReporter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 30)
		f.end("deadly", 0, 1)
		time.Sleep(15 * time.Millisecond)
		f.nodes[0].stop()
		f.nodes[1].stop()
		f.tellMembers(f.nodes[2:])
		f.awaitHeld("deadly", f.nodes[2:])
	})
}

func TestNodeThatStartsLaterLearnsInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 30)
		late := f.nodes[29]
		f.tellMembers(f.nodes[:29])
		f.network.Block(func(from, to string) bool { return from == late.address || to == late.address })
		f.end("deadly", 0, 1)
		time.Sleep(10 * time.Second)
		f.network.Block(nil)
		f.tellMembers(f.nodes)
		f.awaitHeld("deadly", f.nodes)
	})
}

// Guards against a trial by every node at once when a quarantine ends.
func TestTrialsAreSpacedOverTheFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 8)
		f.end("deadly", 0, 1)
		f.awaitHeld("deadly", f.nodes)
		trials := 0
		for began := time.Now(); time.Since(began) < 5*time.Minute; time.Sleep(100 * time.Millisecond) {
			for _, n := range f.nodes {
				switch a := n.Admit(time.Now(), requestOf("deadly")); {
				case a.Probe:
					trials++
					t.Logf("trial %v after the hold began", time.Since(began).Round(time.Second))
					n.crashed("deadly", fmt.Sprintf("trial-e%d", trials), "z0")
				case !a.Quarantined || a.RetryAfter <= 0:
					t.Fatalf("the request was admitted %v after the hold began: %+v", time.Since(began), a)
				}
			}
		}
		// The hold doubles and more with each: 15 s, then 45, then 135.
		if trials == 0 || trials > 3 {
			t.Errorf("%d trials in five minutes, want one to three", trials)
		}
	})
}

func TestAnsweredTrialFreesTheRequestEverywhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 8)
		f.end("sound", 0, 1)
		f.awaitHeld("sound", f.nodes)
		// The node that would space the trials may be any; one that dies is replaced.
		f.nodes[3].stop()
		alive := append(append([]*node(nil), f.nodes[:3]...), f.nodes[4:]...)
		f.tellMembers(alive)
		began, tried := time.Now(), false
		for !tried && time.Since(began) < time.Minute {
			time.Sleep(100 * time.Millisecond)
			for _, n := range alive {
				if !tried && n.Admit(time.Now(), requestOf("sound")).Probe {
					tried = true
					n.Answered(time.Now(), requestOf("sound"))
				}
			}
		}
		if !tried {
			t.Fatal("the request was not tried within a minute")
		}
		time.Sleep(knownWithin)
		if free := f.free("sound", alive); free != len(alive) {
			t.Errorf("%d of %d nodes let the request pass", free, len(alive))
		}
	})
}

// Guards against quarantining a request that is answered all the time.
func TestRequestThatIsAnsweredAllTheTimeIsNotHeld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 5)
		for range 50 {
			f.nodes[2].Answered(time.Now(), requestOf("poll"))
			time.Sleep(20 * time.Millisecond)
		}
		time.Sleep(500 * time.Millisecond)
		f.end("poll", 0, 1)
		time.Sleep(knownWithin)
		if free := f.free("poll", f.nodes); free != len(f.nodes) {
			t.Errorf("%d of %d nodes let the request pass", free, len(f.nodes))
		}
		f.end("deadly", 0, 1)
		f.awaitHeld("deadly", f.nodes)
	})
}

// Guards against reports of an answer that circulate forever.
func TestReportsComeToRest(t *testing.T) {
	const bytesPerSecond = 50_000
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 8)
		f.network.LimitLinks(bytesPerSecond)
		f.end("sound", 0, 1)
		f.awaitHeld("sound", f.nodes)
		f.nodes[2].Answered(time.Now(), requestOf("sound"))
		time.Sleep(2 * time.Second)
		before := f.newsSent()
		time.Sleep(10 * time.Second)
		if more := f.newsSent() - before; more > 0 {
			t.Errorf("%d messages were sent of what all know", more)
		}
	})
}

// Guards against links saturated by reports when many engines crash at once.
func TestManyCrashesCostLittle(t *testing.T) {
	const engines, requests, mostBytes = 40, 12, 32 << 10
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 60)
		for e := range engines {
			for r := range requests {
				n := f.nodes[(e*requests+r)%len(f.nodes)]
				n.crashed(fmt.Sprintf("only once %d %d", e, r), fmt.Sprintf("e%d", e), "z")
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
		f.end("deadly", 7, 8)
		f.awaitHeld("deadly", f.nodes)
	})
}

func (f *fleet) newsSent() (messages int64) {
	for _, n := range f.nodes {
		sent, _ := n.mesh.Traffic()
		messages += sent["crash_update"].Messages
	}
	return messages
}

func TestRunningCopyHearsOfTheHold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 4)
		heard := make(chan struct{}, 8)
		stop := f.nodes[3].Watch(requestOf("deadly"), func() { heard <- struct{}{} })
		defer stop()
		f.end("deadly", 0, 1)
		select {
		case <-heard:
		case <-time.After(knownWithin):
			t.Error("the node that has a copy under way did not hear of the hold")
		}
	})
}
