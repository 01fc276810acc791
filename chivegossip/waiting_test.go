//go:build !race

package chivegossip_test

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"chivedrift/chivedirectory"
	"chivedrift/chivemember"
	"chivedrift/chivestand"
)

// dialRecorder counts the attempts to connect to the addresses in gone.
type dialRecorder struct {
	*chivestand.Network
	gone     map[string]bool
	attempts atomic.Int64
}

func (r *dialRecorder) Dial(ctx context.Context, from, address string) (net.Conn, error) {
	if r.gone[address] {
		r.attempts.Add(1)
	}
	return r.Network.Dial(ctx, from, address)
}

// Guards against a node that connects to peers that have left the fleet, since they asked it for endpoints before.
func TestPeersThatLeftAreNotNotified(t *testing.T) {
	const (
		size      = 24
		staying   = size / 2
		sinceLeft = 2 * time.Minute
	)
	addresses := simulatedAddresses(size)
	gone := make(map[string]bool)
	for _, address := range addresses[staying:] {
		gone[address] = true
	}
	synctest.Test(t, func(t *testing.T) {
		network := &dialRecorder{Network: chivestand.NewNetwork(), gone: gone}
		nodes := newNodesAt(t, addresses, network, 0, nil)
		time.Sleep(6 * time.Second)
		for _, n := range nodes[staying:] {
			_ = n.service.Stop(t.Context())
			_ = n.mesh.Stop(t.Context())
		}
		var members []chivemember.Member
		for _, address := range addresses[:staying] {
			members = append(members, chivemember.Member{Name: address, Address: address, State: chivemember.Alive})
		}
		for _, n := range nodes[:staying] {
			n.service.SetMembers(members)
		}
		time.Sleep(sinceLeft)
		before := network.attempts.Load()
		nodes[0].endpoints.Learn(chivedirectory.Update{Changes: []chivedirectory.Change{
			{Position: 1, Endpoint: chivedirectory.Endpoint{ID: "e1", Pool: "p", Address: "10.9.0.1:80"}},
		}, Whole: true, End: 1}, "store")
		time.Sleep(3 * time.Second)
		if attempts := network.attempts.Load() - before; attempts > 0 {
			t.Errorf("%d attempts to connect to nodes that left %v ago", attempts, sinceLeft)
		}
	})
}
