package chivewire_test

import (
	"fmt"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"chivedrift/chivestand"
	"chivedrift/chivewire"
)

// Guards against memory per connection reserved for a queue that is never used.
func TestConnectionsOfALargeFleetAreSmall(t *testing.T) {
	const (
		peers = 300
		// mostBytes is what one end of a connection may hold: a tenth of the 64 MB that control may take at 330 nodes.
		mostBytes = 64 << 20 / 10 / 330
	)
	synctest.Test(t, func(t *testing.T) {
		network := chivestand.NewNetwork()
		hub := chivewire.NewMesh(here, network)
		if err := hub.Start(t.Context()); err != nil {
			t.Fatal(err)
		}
		meshes := []*chivewire.Mesh{hub}
		for i := range peers {
			m := chivewire.NewMesh(fmt.Sprintf("10.1.%d.%d:82", i/250, i%250), network)
			if err := m.Start(t.Context()); err != nil {
				t.Fatal(err)
			}
			meshes = append(meshes, m)
		}
		before := heap()
		for _, m := range meshes[1:] {
			if err := m.Send(here, chivewire.KindNews, note{"x"}); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(5 * time.Second)
		ends := 2 * peers
		each := (heap() - before) / uint64(ends)
		t.Logf("%d bytes an end of a connection", each)
		if each > mostBytes {
			t.Errorf("%d bytes an end of a connection, expected %d at most", each, mostBytes)
		}
		for _, m := range meshes {
			_ = m.Stop(t.Context())
		}
	})
}

// heap returns the bytes of live objects.
func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}
