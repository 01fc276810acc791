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

// Guards against per-connection memory that is allocated in advance for queues which stay empty.
func TestLinkMemoryInALargeFleetIsBounded(t *testing.T) {
	const (
		peers = 300
		// maxBytesPerEnd is the memory budget of one end of a connection: a tenth of the 64 MB that the control plane may
		// use in a fleet of 330 nodes.
		maxBytesPerEnd = 64 << 20 / 10 / 330
	)
	synctest.Test(t, func(t *testing.T) {
		network := chivestand.NewNetwork()
		hub := chivewire.NewMesh(localAddress, network)
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
		heapBefore := liveBytes()
		for _, m := range meshes[1:] {
			if err := m.Send(localAddress, chivewire.KindNews, testMessage{"x"}); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(5 * time.Second)
		ends := 2 * peers
		bytesPerEnd := (liveBytes() - heapBefore) / uint64(ends)
		t.Logf("%d bytes per connection end", bytesPerEnd)
		if bytesPerEnd > maxBytesPerEnd {
			t.Errorf("%d bytes per connection end, expected at most %d", bytesPerEnd, maxBytesPerEnd)
		}
		for _, m := range meshes {
			_ = m.Stop(t.Context())
		}
	})
}

// liveBytes returns the bytes of live heap objects and stacks.
func liveBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}
