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

type testMessage struct {
	Text string
}

const (
	localAddress  = "10.0.0.1:82"
	remoteAddress = "10.0.0.2:82"
)

// testMeshPair runs two meshes in a synctest bubble. The remote one counts the messages that it receives, the local one
// the connections that it loses.
func testMeshPair(t *testing.T, test func(network *chivestand.Network, local *chivewire.Mesh, received, lost *atomic.Int64)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		network := chivestand.NewNetwork()
		local, remote := chivewire.NewMesh(localAddress, network), chivewire.NewMesh(remoteAddress, network)
		var received, lost atomic.Int64
		remote.Handle(chivewire.KindNews, func(from string, body []byte) {
			if n, err := chivewire.Decode[testMessage](body); err == nil && n.Text == "x" && from == localAddress {
				received.Add(1)
			}
		})
		local.OnLost(func(string) { lost.Add(1) })
		for _, m := range []*chivewire.Mesh{local, remote} {
			if err := m.Start(t.Context()); err != nil {
				t.Fatal(err)
			}
		}
		test(network, local, &received, &lost)
		_ = local.Stop(t.Context())
		_ = remote.Stop(t.Context())
	})
}

func sendAndWait(t *testing.T, m *chivewire.Mesh) {
	t.Helper()
	if err := m.Send(remoteAddress, chivewire.KindNews, testMessage{"x"}); err != nil {
		t.Error(err)
	}
	time.Sleep(100 * time.Millisecond)
}

// Guards against messages that are lost because a silent connection stays in use.
func TestSilentConnectionIsDetectedAndReplaced(t *testing.T) {
	testMeshPair(t, func(network *chivestand.Network, local *chivewire.Mesh, received, lost *atomic.Int64) {
		sendAndWait(t, local)
		if received.Load() != 1 {
			t.Fatal("the first message did not arrive")
		}
		time.Sleep(time.Second)
		network.Silence(func(string, string) bool { return true })
		for range 40 {
			sendAndWait(t, local)
		}
		if lost.Load() != 1 || received.Load() < 2 {
			t.Errorf("lost %d times, %d messages arrived", lost.Load(), received.Load())
		}
	})
}

// Guards against heartbeats on idle connections, and against reporting the end of an idle connection as a failure.
func TestIdleConnectionSendsNoHeartbeatsAndClosesCleanly(t *testing.T) {
	testMeshPair(t, func(_ *chivestand.Network, local *chivewire.Mesh, received, lost *atomic.Int64) {
		sendAndWait(t, local)
		time.Sleep(10 * time.Second)
		before, _ := local.Traffic()
		time.Sleep(10 * time.Second)
		after, _ := local.Traffic()
		if before["beat"] != after["beat"] {
			t.Errorf("heartbeats on an idle connection: %+v, then %+v", before["beat"], after["beat"])
		}
		time.Sleep(time.Minute)
		sendAndWait(t, local)
		if lost.Load() != 0 || received.Load() != 2 {
			t.Errorf("lost %d times, %d of 2 messages arrived", lost.Load(), received.Load())
		}
	})
}

// Guards against allocating gigabytes for the apparent frame length in a request of another protocol.
func TestInvalidFrameClosesTheConnection(t *testing.T) {
	testMeshPair(t, func(network *chivestand.Network, local *chivewire.Mesh, received, _ *atomic.Int64) {
		conn, err := network.Dial(context.Background(), "10.0.0.9:1", remoteAddress)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := conn.Write([]byte("GET / HTTP/1.1\r\n\r\n")); err == nil {
			if _, err := conn.Read(make([]byte, 1)); err == nil {
				t.Error("the invalid request got an answer")
			}
		}
		_ = conn.Close()
		sendAndWait(t, local)
		if received.Load() != 1 {
			t.Error("the peer's message did not arrive after the invalid request")
		}
	})
}
