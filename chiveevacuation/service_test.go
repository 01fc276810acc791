//go:build !race

package chiveevacuation_test

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"chivedrift/chiveevacuation"
	"chivedrift/chivelog"
	"chivedrift/chivemember"
	"chivedrift/chivestand"
	"chivedrift/chivewire"
)

// propagationLimit is how long an evacuation may take to reach all nodes: well under the five seconds after which
// nothing may be sent to the domain any more.
const propagationLimit = 3 * time.Second

func decode(record chivelog.KeyedRecord) (chiveevacuation.Record, bool) {
	domain, ok := strings.CutPrefix(record.Key, "evacuate/")
	return chiveevacuation.Record{Position: record.Position, Domain: domain, Evacuated: len(record.Value) > 0}, ok
}

// node is the evacuation service of one node. Its listener stores the evacuated domains.
type node struct {
	*chiveevacuation.Service
	mesh    *chivewire.Mesh
	address string
	domains []string
}

// fleet is a set of nodes on a simulated network.
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
		n.Service = chiveevacuation.New(chiveevacuation.Options{Mesh: n.mesh, Decode: decode, Logger: slog.New(slog.DiscardHandler)})
		n.OnChange(func(domains []string) { n.domains = domains })
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
		t.Cleanup(func() {
			n.Stop(context.Background())
			n.mesh.Stop(context.Background())
		})
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

func evacuated(position int64, domain string) chivelog.KeyedRecord {
	return chivelog.KeyedRecord{Position: chivelog.Position(position), Key: "evacuate/" + domain, Value: []byte("{}")}
}

func removed(position int64, domain string) chivelog.KeyedRecord {
	return chivelog.KeyedRecord{Position: chivelog.Position(position), Key: "evacuate/" + domain}
}

// awaitDomains waits until the listeners of all nodes have been called with the given domains.
func (f *fleet) awaitDomains(domains ...string) {
	f.t.Helper()
	for began := time.Now(); ; time.Sleep(10 * time.Millisecond) {
		missing := 0
		for _, n := range f.nodes {
			if !slices.Equal(n.domains, domains) {
				missing++
			}
		}
		if missing == 0 {
			return
		}
		if time.Since(began) > propagationLimit {
			f.t.Fatalf("%d of %d nodes have not received the evacuated domains %v after %v", missing, len(f.nodes), domains, propagationLimit)
		}
	}
}

// Guards against nodes that do not read the store themselves and continue to send requests to an evacuated failure
// domain.
func TestEvacuationReachesAllNodes(t *testing.T) {
	for _, size := range []int{1, 8, 62, 120} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, size)
				f.nodes[0].Apply([]chivelog.KeyedRecord{evacuated(5, "b"), evacuated(6, "a"), {Position: 7, Key: "config", Value: []byte("{}")}})
				f.awaitDomains("a", "b")
				f.nodes[size-1].Apply([]chivelog.KeyedRecord{removed(9, "b")})
				f.awaitDomains("a")
			})
		})
	}
}

// Guards against nodes that miss a change while they are partitioned, and against a revoked evacuation that such nodes
// restore afterwards.
func TestEvacuationReachesPartitionedNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 30)
		inFirstPartition := func(address string) bool { return strings.HasPrefix(address, "10.0.") }
		isPartitioned := func(from, to string) bool { return inFirstPartition(from) != inFirstPartition(to) }
		f.network.Block(isPartitioned)
		f.nodes[1].Apply([]chivelog.KeyedRecord{evacuated(5, "a")})
		time.Sleep(20 * time.Second)
		f.network.Block(nil)
		f.awaitDomains("a")
		f.network.Block(isPartitioned)
		f.nodes[1].Apply([]chivelog.KeyedRecord{removed(8, "a")})
		time.Sleep(20 * time.Second)
		f.network.Block(nil)
		f.awaitDomains()
	})
}

// Guards against an evacuation that stays in force although its record was removed: a snapshot does not include
// removals.
func TestSnapshotRevokesEvacuationsNotIncluded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 8)
		f.nodes[0].Apply([]chivelog.KeyedRecord{evacuated(5, "a"), evacuated(6, "b")})
		f.awaitDomains("a", "b")
		f.nodes[3].Replace(chivelog.KeyedBatch{Records: []chivelog.KeyedRecord{evacuated(6, "b")}, Next: 12})
		f.awaitDomains("b")
		// A slower reader later applies a record that is older than the snapshot.
		f.nodes[5].Apply([]chivelog.KeyedRecord{evacuated(7, "a")})
		time.Sleep(propagationLimit)
		f.awaitDomains("b")
	})
}

// Guards against messages that never stop: nodes with the same state must stop sending it a few minutes after the last
// evacuation was revoked.
func TestNoMessagesAfterConvergence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 8)
		f.nodes[0].Apply([]chivelog.KeyedRecord{evacuated(5, "a"), removed(6, "a"), evacuated(7, "b"), removed(8, "b")})
		f.nodes[0].Apply([]chivelog.KeyedRecord{evacuated(9, "a")})
		f.awaitDomains("a")
		f.nodes[0].Apply([]chivelog.KeyedRecord{removed(10, "a")})
		f.awaitDomains()
		time.Sleep(11 * time.Minute)
		before := f.messagesSent()
		time.Sleep(time.Minute)
		if more := f.messagesSent() - before; more > 0 {
			t.Errorf("%d messages a minute although all nodes have the same state", more)
		}
	})
}

func (f *fleet) messagesSent() (messages int64) {
	for _, n := range f.nodes {
		sent, _ := n.mesh.Traffic()
		messages += sent["evacuations"].Messages
	}
	return messages
}

// Guards against a node that starts while the store is down and learns an evacuation only after a whole round of turns,
// since its peers, which learnt it at the same moment, go through their peers in step.
func TestNodeThatStartsLearnsEvacuationsInTime(t *testing.T) {
	const (
		size         = 16
		turnInterval = 500 * time.Millisecond
	)
	for turn := range size {
		t.Run(fmt.Sprint(turn), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, size)
				starting := f.nodes[size-1]
				f.setMembers(f.nodes[:size-1])
				f.nodes[0].Apply([]chivelog.KeyedRecord{evacuated(5, "a")})
				time.Sleep(30*time.Second + time.Duration(turn)*turnInterval)
				if len(starting.domains) > 0 {
					t.Fatal("the node knows the evacuation before its start")
				}
				f.setMembers(f.nodes)
				start := time.Now()
				for len(starting.domains) == 0 && time.Since(start) < time.Minute {
					time.Sleep(10 * time.Millisecond)
				}
				if took := time.Since(start); took > propagationLimit {
					t.Errorf("knows the evacuation after %v, want at most %v", took, propagationLimit)
				}
			})
		})
	}
}

// Guards against a node that was cut off for a moment and learns an evacuation only after a whole round of turns, since
// its peers come to it in the same turn.
func TestNodeCutOffBrieflyLearnsEvacuationInTime(t *testing.T) {
	const size = 16
	for turn := range size {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, size)
			isCutOff := func(address string) bool { return address == f.nodes[size-1].address }
			f.network.Block(func(from, to string) bool { return isCutOff(from) != isCutOff(to) })
			f.nodes[0].Apply([]chivelog.KeyedRecord{evacuated(5, "a")})
			time.Sleep(10*time.Second + time.Duration(turn)*500*time.Millisecond)
			f.network.Block(nil)
			f.awaitDomains("a")
		})
	}
}

// Guards against a walk through all requests in flight at each scrape although nothing is evacuated.
func TestRunningIsCountedOnlyDuringEvacuation(t *testing.T) {
	calls := 0
	running := func() map[string]int { calls++; return map[string]int{"a": 2, "b": 3} }
	s := chiveevacuation.New(chiveevacuation.Options{
		Mesh: chivewire.NewMesh("10.0.0.1:1", chivestand.NewNetwork()), Decode: decode, Running: running, Logger: slog.New(slog.DiscardHandler),
	})
	if counts := s.Counts(); calls > 0 || counts != (chiveevacuation.Counts{}) {
		t.Errorf("%d calls: %+v", calls, counts)
	}
	s.Apply([]chivelog.KeyedRecord{evacuated(5, "a")})
	if counts := s.Counts(); counts != (chiveevacuation.Counts{Evacuated: 1, Running: 2}) {
		t.Errorf("got %+v", counts)
	}
}
