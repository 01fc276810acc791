package chivewire_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"chivedrift/chivestand"
	"chivedrift/chivewire"
)

type note struct {
	Text string
}

const (
	here  = "10.0.0.1:82"
	there = "10.0.0.2:82"
)

// pair runs two meshes in a bubble; the one there counts what arrives, the one here which peers it lost.
func pair(t *testing.T, test func(network *chivestand.Network, near *chivewire.Mesh, arrived, lost *atomic.Int64)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		network := chivestand.NewNetwork()
		near, far := chivewire.NewMesh(here, network), chivewire.NewMesh(there, network)
		var arrived, lost atomic.Int64
		far.Handle(chivewire.KindNews, func(from string, body []byte) {
			if n, err := chivewire.Decode[note](body); err == nil && n.Text == "x" && from == here {
				arrived.Add(1)
			}
		})
		near.OnLost(func(string) { lost.Add(1) })
		for _, m := range []*chivewire.Mesh{near, far} {
			if err := m.Start(t.Context()); err != nil {
				t.Fatal(err)
			}
		}
		test(network, near, &arrived, &lost)
		_ = near.Stop(t.Context())
		_ = far.Stop(t.Context())
	})
}

func send(t *testing.T, m *chivewire.Mesh) {
	t.Helper()
	if err := m.Send(there, chivewire.KindNews, note{"x"}); err != nil {
		t.Error(err)
	}
	time.Sleep(100 * time.Millisecond)
}

// Guards against messages lost on a connection that has gone silent.
func TestSilentConnectionIsNoticedAndReplaced(t *testing.T) {
	pair(t, func(network *chivestand.Network, near *chivewire.Mesh, arrived, lost *atomic.Int64) {
		send(t, near)
		if arrived.Load() != 1 {
			t.Fatal("the first message did not arrive")
		}
		time.Sleep(time.Second)
		network.Silence(func(string, string) bool { return true })
		for range 40 {
			send(t, near)
		}
		if lost.Load() != 1 || arrived.Load() < 2 {
			t.Errorf("lost %d times, %d messages arrived", lost.Load(), arrived.Load())
		}
	})
}

// Guards against heartbeats on idle connections, and their end reported as a failure.
func TestIdleConnectionIsQuietAndPartsInPeace(t *testing.T) {
	pair(t, func(_ *chivestand.Network, near *chivewire.Mesh, arrived, lost *atomic.Int64) {
		send(t, near)
		time.Sleep(10 * time.Second)
		before, _ := near.Traffic()
		time.Sleep(10 * time.Second)
		after, _ := near.Traffic()
		if before["beat"] != after["beat"] {
			t.Errorf("heartbeats on an idle link: %+v, then %+v", before["beat"], after["beat"])
		}
		time.Sleep(time.Minute)
		send(t, near)
		if lost.Load() != 0 || arrived.Load() != 2 {
			t.Errorf("lost %d times, %d of 2 messages arrived", lost.Load(), arrived.Load())
		}
	})
}

// Guards against reserving gigabytes for a frame length sent by a stranger.
func TestStrangersBytesEndTheConnection(t *testing.T) {
	pair(t, func(network *chivestand.Network, near *chivewire.Mesh, arrived, _ *atomic.Int64) {
		conn, err := network.Dial(context.Background(), "10.0.0.9:1", there)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := conn.Write([]byte("GET / HTTP/1.1\r\n\r\n")); err == nil {
			if _, err := conn.Read(make([]byte, 1)); err == nil {
				t.Error("the stranger got an answer")
			}
		}
		_ = conn.Close()
		send(t, near)
		if arrived.Load() != 1 {
			t.Error("the peer's message did not arrive after the stranger")
		}
	})
}
