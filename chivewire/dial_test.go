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

// deaf is a network whose first connection attempts are never answered.
type deaf struct {
	*chivestand.Network
	unanswered atomic.Int64
}

func (d *deaf) Dial(ctx context.Context, from, address string) (net.Conn, error) {
	if d.unanswered.Add(-1) >= 0 {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return d.Network.Dial(ctx, from, address)
}

// Guards against a node that starts a moment before its peer and waits a second for the answer to its first connection attempt.
func TestUnansweredConnectionAttemptDelaysNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := &deaf{Network: chivestand.NewNetwork()}
		network.unanswered.Store(2)
		near, far := chivewire.NewMesh(here, network), chivewire.NewMesh(there, network.Network)
		began := time.Now()
		var took atomic.Int64
		far.Handle(chivewire.KindNews, func(string, []byte) { took.Store(int64(time.Since(began))) })
		for _, m := range []*chivewire.Mesh{near, far} {
			if err := m.Start(t.Context()); err != nil {
				t.Fatal(err)
			}
		}
		send(t, near)
		time.Sleep(2 * time.Second)
		if took.Load() == 0 || time.Duration(took.Load()) > 500*time.Millisecond {
			t.Errorf("the message arrived after %v (0: never)", time.Duration(took.Load()))
		}
		_ = near.Stop(t.Context())
		_ = far.Stop(t.Context())
	})
}
