package chivegossip_test

import (
	"bytes"
	"log/slog"
	"testing"
	"time"

	"chivedrift/chivedirectory"
	"chivedrift/chivegossip"
	"chivedrift/chivelog"
	"chivedrift/chivemember"
	"chivedrift/chivestand"
	"chivedrift/chivewire"
)

// deferredRecord is a record of an earlier start than that of the known entry.
func deferredRecord() chivedirectory.Change {
	return chivedirectory.Change{Position: 7, Endpoint: chivedirectory.Endpoint{ID: "a", Pool: "p", Address: "10.9.0.2:80", Born: 10}}
}

// knownEntry is the entry of the later start, stated at a position.
func knownEntry(position chivelog.Position) chivedirectory.Change {
	return chivedirectory.Change{Position: position, Endpoint: chivedirectory.Endpoint{ID: "a", Pool: "p", Address: "10.9.0.1:80", Born: 20}}
}

// startNode starts a gossip service with a directory, including its deferred records, and a single peer.
func startNode(t *testing.T, self, peer string) *node {
	t.Helper()
	n := &node{mesh: chivewire.NewMesh(self, chivewire.TCP{}), tables: &fakeTables{version: 1}, endpoints: &fakeEndpoints{d: chivedirectory.New(time.Second)}}
	n.service = chivegossip.New(chivegossip.Options{
		Mesh: n.mesh, Tables: n.tables, Endpoints: n.endpoints, Logger: slog.New(slog.DiscardHandler),
		Deferred: func(limit int) []chivedirectory.Deferred {
			n.endpoints.mu.Lock()
			defer n.endpoints.mu.Unlock()
			return n.endpoints.d.Deferred(time.Now(), limit)
		},
	})
	n.service.SetMembers([]chivemember.Member{{Name: self, Address: self, State: chivemember.Alive}, {Name: peer, Address: peer, State: chivemember.Alive}})
	if err := n.mesh.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = n.mesh.Stop(t.Context()) })
	if err := n.service.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = n.service.Stop(t.Context()) })
	return n
}

// defers reports whether a node defers the record of the earlier start.
func (f *fakeEndpoints) defers() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, deferred := f.d.Uncertain()
	return deferred == 1
}

// Guards against a node that never learns of a deferred record, because its position is beyond that record: a node of an earlier
// release sent it the known entry with the position of the record.
func TestDeferredRecordReachesNodeBeyondItsPosition(t *testing.T) {
	addresses := []string{chivestand.FreeAddress(), chivestand.FreeAddress()}
	reader, node := startNode(t, addresses[0], addresses[1]), startNode(t, addresses[1], addresses[0])
	node.endpoints.Learn(chivedirectory.Update{Changes: []chivedirectory.Change{knownEntry(7)}}, "peer")
	reader.endpoints.Learn(chivedirectory.Update{Changes: []chivedirectory.Change{knownEntry(3), deferredRecord()}}, "store")
	eventually(t, "the node defers the record", node.endpoints.defers)
}

// Guards against a full list of endpoints that cancels a record that its sender defers, since the two are messages of their own,
// and against a record of an earlier digest that a full list does not cancel.
func TestFullListIsReadWithTheDeferredRecordsBeforeIt(t *testing.T) {
	for _, c := range []struct {
		name string
		part int
		want int
	}{
		{"sent before the list", 1, 1},
		{"sent with a digest", 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			addresses := []string{chivestand.FreeAddress(), chivestand.FreeAddress()}
			node := startNode(t, addresses[0], addresses[1])
			node.endpoints.Learn(chivedirectory.Update{Changes: []chivedirectory.Change{deferredRecord()}}, "store")
			peer := chivewire.NewMesh(addresses[1], chivewire.TCP{})
			if err := peer.Start(t.Context()); err != nil {
				t.Fatal(err)
			}
			defer peer.Stop(t.Context())
			removed := chivedirectory.Change{Position: 5, Gone: true, Endpoint: chivedirectory.Endpoint{ID: "a"}}
			deferred := chivegossip.DeferredChanges{Records: []chivedirectory.Deferred{{Change: deferredRecord(), Left: time.Second}}, Part: c.part}
			if err := peer.Send(addresses[0], chivewire.KindDeferredChanges, deferred); err != nil {
				t.Fatal(err)
			}
			if err := peer.Send(addresses[0], chivewire.KindChangesAnswer, chivedirectory.Update{Changes: []chivedirectory.Change{removed}, Whole: true, End: 11}); err != nil {
				t.Fatal(err)
			}
			eventually(t, "the node has the full list", func() bool { return node.endpoints.Newest() == 11 })
			node.endpoints.mu.Lock()
			defer node.endpoints.mu.Unlock()
			if known := node.endpoints.d.Endpoints(); len(known) != c.want {
				t.Errorf("the node knows %+v, want %d endpoints", known, c.want)
			}
		})
	}
}

// Guards against fields that the release before cannot decode, and against traffic for deferred records while there are none.
func TestUpdatesHaveTheFormOfTheReleaseBefore(t *testing.T) {
	type changeBefore struct {
		Position      chivelog.Position
		Gone, Missing bool
		Keep          time.Duration
		Endpoint      struct {
			ID, Pool, Address, FailureDomain string
			Slots                            int
			State                            uint8
			WarmUp                           time.Duration
			Born                             int64
		}
		Read bool
	}
	type updateBefore struct {
		Changes []changeBefore
		Whole   bool
		End     chivelog.Position
	}
	update := randomChanges(10_000)
	update.Deferred = []chivedirectory.Deferred{{Change: deferredRecord(), Left: time.Second}}
	today, err := chivewire.Pack(update)
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := chivewire.Unpack[updateBefore](today)
	if err != nil {
		t.Fatalf("the release before cannot decode the update: %v", err)
	}
	before, err := chivewire.Pack(decoded)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(today, before) {
		t.Errorf("an update of 10,000 endpoints takes %d bytes, and %d in the release before", len(today), len(before))
	}

	addresses := []string{chivestand.FreeAddress(), chivestand.FreeAddress()}
	nodes := []*node{startNode(t, addresses[0], addresses[1]), startNode(t, addresses[1], addresses[0])}
	nodes[0].endpoints.Learn(randomChanges(100), "store")
	eventually(t, "the peer knows all endpoints", func() bool { return nodes[1].endpoints.Newest() == 100 })
	time.Sleep(time.Second)
	for _, n := range nodes {
		if sent, _ := n.mesh.Traffic(); sent[chivewire.KindDeferredChanges.String()].Messages > 0 {
			t.Errorf("a node sent %+v without deferred records", sent[chivewire.KindDeferredChanges.String()])
		}
	}
}

// BenchmarkUpdateOfTenThousandEndpoints reports the bytes of a full update, alone and with a deferred record.
func BenchmarkUpdateOfTenThousandEndpoints(b *testing.B) {
	for _, deferred := range []int{0, 1} {
		b.Run(map[int]string{0: "nothing deferred", 1: "one record deferred"}[deferred], func(b *testing.B) {
			d := chivedirectory.New(time.Second)
			now := time.Now()
			d.Learn(now, randomChanges(10_000))
			if deferred > 0 {
				d.Apply(now, chivedirectory.Change{Position: 10_001, Endpoint: knownEntry(0).Endpoint})
				d.Apply(now, chivedirectory.Change{Position: 10_002, Endpoint: deferredRecord().Endpoint})
			}
			for b.Loop() {
				update := d.Update(now, -1)
				data, err := chivewire.Pack(update.Plain())
				if err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(float64(len(data)), "bytes")
				b.ReportMetric(float64(len(update.Deferred)), "deferred")
			}
		})
	}
}
