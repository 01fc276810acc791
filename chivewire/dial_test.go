package chivewire_test

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"chivedrift/chivestand"
	"chivedrift/chivewire"
)

// unresponsiveNetwork never answers the first dialsToIgnore connection attempts.
type unresponsiveNetwork struct {
	*chivestand.Network
	dialsToIgnore atomic.Int64
}

func (n *unresponsiveNetwork) Dial(ctx context.Context, from, address string) (net.Conn, error) {
	if n.dialsToIgnore.Add(-1) >= 0 {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return n.Network.Dial(ctx, from, address)
}

// Guards against a delay of one second when a node starts shortly before its peer and its first connection attempt goes
// unanswered.
func TestUnansweredDialDoesNotDelayMessages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := &unresponsiveNetwork{Network: chivestand.NewNetwork()}
		network.dialsToIgnore.Store(2)
		local, remote := chivewire.NewMesh(localAddress, network), chivewire.NewMesh(remoteAddress, network.Network)
		start := time.Now()
		var latency atomic.Int64
		remote.Handle(chivewire.KindNews, func(string, []byte) { latency.Store(int64(time.Since(start))) })
		for _, m := range []*chivewire.Mesh{local, remote} {
			if err := m.Start(t.Context()); err != nil {
				t.Fatal(err)
			}
		}
		sendAndWait(t, local)
		time.Sleep(2 * time.Second)
		if latency.Load() == 0 || time.Duration(latency.Load()) > 500*time.Millisecond {
			t.Errorf("the message arrived after %v (0: never)", time.Duration(latency.Load()))
		}
		_ = local.Stop(t.Context())
		_ = remote.Stop(t.Context())
	})
}
