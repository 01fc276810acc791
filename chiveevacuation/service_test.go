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

// knownWithin is how long the fleet may take to know of an evacuation: well under the five seconds in which nothing more may be sent.
const knownWithin = 3 * time.Second

func decode(record chivelog.KeyedRecord) (chiveevacuation.Record, bool) {
	domain, ok := strings.CutPrefix(record.Key, "evacuate/")
	return chiveevacuation.Record{Position: record.Position, Domain: domain, Evacuated: len(record.Value) > 0}, ok
}

// node is a node's service with what its listener was last called with.
type node struct {
	*chiveevacuation.Service
	mesh    *chivewire.Mesh
	address string
	known   []string
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
		n.Service = chiveevacuation.New(chiveevacuation.Options{Mesh: n.mesh, Decode: decode, Logger: slog.New(slog.DiscardHandler)})
		n.OnChange(func(domains []string) { n.known = domains })
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

func put(at int64, domain string) chivelog.KeyedRecord {
	return chivelog.KeyedRecord{Position: chivelog.Position(at), Key: "evacuate/" + domain, Value: []byte("{}")}
}

func removed(at int64, domain string) chivelog.KeyedRecord {
	return chivelog.KeyedRecord{Position: chivelog.Position(at), Key: "evacuate/" + domain}
}

// awaitKnown waits until the listeners of all nodes were called with some domains.
func (f *fleet) awaitKnown(domains ...string) {
	f.t.Helper()
	for began := time.Now(); ; time.Sleep(10 * time.Millisecond) {
		missing := 0
		for _, n := range f.nodes {
			if !slices.Equal(n.known, domains) {
				missing++
			}
		}
		if missing == 0 {
			return
		}
		if time.Since(began) > knownWithin {
			f.t.Fatalf("%d of %d nodes do not know of %v after %v", missing, len(f.nodes), domains, knownWithin)
		}
	}
}

// Guards against nodes that do not read the store themselves and go on sending into an evacuated failure domain.
func TestAllNodesKnowOfAnEvacuation(t *testing.T) {
	for _, size := range []int{1, 8, 62, 120} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, size)
				f.nodes[0].Apply([]chivelog.KeyedRecord{put(5, "b"), put(6, "a"), {Position: 7, Key: "config", Value: []byte("{}")}})
				f.awaitKnown("a", "b")
				f.nodes[size-1].Apply([]chivelog.KeyedRecord{removed(9, "b")})
				f.awaitKnown("a")
			})
		})
	}
}

// Guards against the same at nodes that were cut off, and against an evacuation that such nodes bring back.
func TestNodesThatWereCutOffLearnOfEvacuations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 30)
		inFirst := func(address string) bool { return strings.HasPrefix(address, "10.0.") }
		cut := func(from, to string) bool { return inFirst(from) != inFirst(to) }
		f.network.Block(cut)
		f.nodes[1].Apply([]chivelog.KeyedRecord{put(5, "a")})
		time.Sleep(20 * time.Second)
		f.network.Block(nil)
		f.awaitKnown("a")
		f.network.Block(cut)
		f.nodes[1].Apply([]chivelog.KeyedRecord{removed(8, "a")})
		time.Sleep(20 * time.Second)
		f.network.Block(nil)
		f.awaitKnown()
	})
}

// Guards against an evacuation that outlives its removal, which a snapshot does not name.
func TestSnapshotTakesBackWhatItDoesNotName(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 8)
		f.nodes[0].Apply([]chivelog.KeyedRecord{put(5, "a"), put(6, "b")})
		f.awaitKnown("a", "b")
		f.nodes[3].Replace(chivelog.KeyedBatch{Records: []chivelog.KeyedRecord{put(6, "b")}, Next: 12})
		f.awaitKnown("b")
		// What a slower reader reads later is older.
		f.nodes[5].Apply([]chivelog.KeyedRecord{put(7, "a")})
		time.Sleep(knownWithin)
		f.awaitKnown("b")
	})
}

// Guards against messages for ever: nodes that know the same fall silent some minutes after the last evacuation was taken back.
func TestEvacuationsComeToRest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 8)
		f.nodes[0].Apply([]chivelog.KeyedRecord{put(5, "a"), removed(6, "a"), put(7, "b"), removed(8, "b")})
		f.nodes[0].Apply([]chivelog.KeyedRecord{put(9, "a")})
		f.awaitKnown("a")
		f.nodes[0].Apply([]chivelog.KeyedRecord{removed(10, "a")})
		f.awaitKnown()
		time.Sleep(11 * time.Minute)
		before := f.sent()
		time.Sleep(time.Minute)
		if more := f.sent() - before; more > 0 {
			t.Errorf("%d messages a minute of what all know", more)
		}
	})
}

func (f *fleet) sent() (messages int64) {
	for _, n := range f.nodes {
		sent, _ := n.mesh.Traffic()
		messages += sent["evacuations"].Messages
	}
	return messages
}
