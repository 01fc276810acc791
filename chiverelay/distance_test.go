//go:build !race

package chiverelay_test

import (
	"context"
	"io"
	"log/slog"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"chivedrift/chivedirectory"
	"chivedrift/chivedistance"
	"chivedrift/chivemember"
	"chivedrift/chiverelay"
	"chivedrift/chiveresidency"
	"chivedrift/chivestand"
)

// countingNetwork counts the connections to an address.
type countingNetwork struct {
	*chivestand.Network
	address string
	count   atomic.Int64
}

// Dial counts and connects.
func (n *countingNetwork) Dial(ctx context.Context, from, address string) (net.Conn, error) {
	if address == n.address {
		n.count.Add(1)
	}
	return n.Network.Dial(ctx, from, address)
}

const (
	oneWay      = 80 * time.Millisecond
	farEndpoint = "10.9.0.1:80"
	nearRelay   = "10.0.0.1:84"
)

// Guards against connections through peers to endpoints that are far and not unreachable.
func TestFarEndpointIsReachedWithoutPeers(t *testing.T) {
	withFarEndpoint(t, func(network *countingNetwork, near *chiverelay.Service) {
		conn, err := near.Dial(context.Background(), nearRelay, farEndpoint)
		if err != nil {
			t.Error(err)
			return
		}
		conn.Close()
		if asked := network.count.Load(); asked != 0 || near.IsLost(farEndpoint) {
			t.Errorf("%d connections to a peer, the path is lost: %v", asked, near.IsLost(farEndpoint))
		}
	})
}

// Guards against an endpoint that a node is cut off from and that a far peer takes too long to connect to.
func TestFarEndpointBehindACutIsReachedThroughAPeer(t *testing.T) {
	withFarEndpoint(t, func(network *countingNetwork, near *chiverelay.Service) {
		network.Block(func(from, to string) bool { return from == nearRelay && to == farEndpoint })
		startedAt := time.Now()
		// The own attempt ends with the context.
		ctx, stop := context.WithTimeout(context.Background(), time.Second)
		defer stop()
		conn, err := near.Dial(ctx, nearRelay, farEndpoint)
		if err != nil {
			t.Error(err)
			return
		}
		conn.Close()
		// relayDelay, and a round trip each for that, for the connection to the peer and for the request to it.
		if took, most := time.Since(startedAt), 150*time.Millisecond+3*2*oneWay*9/8; took > most {
			t.Errorf("connected after %v, want at most %v", took, most)
		}
	})
}

// withFarEndpoint runs a test with two nodes, one of which is in another region than the peer and the endpoint beside it.
func withFarEndpoint(t *testing.T, test func(network *countingNetwork, near *chiverelay.Service)) {
	t.Helper()
	const endpoint = farEndpoint
	synctest.Test(t, func(t *testing.T) {
		// Until the ends of the connections have arrived.
		defer time.Sleep(time.Second)
		network, regions := &countingNetwork{Network: chivestand.NewNetwork(), address: "10.0.0.2:84"}, chiveresidency.Map{"here": "here", "there": "there"}
		listener, err := network.Listen(endpoint)
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				go func() {
					_, _ = io.Copy(io.Discard, conn)
					conn.Close()
				}()
			}
		}()
		members := []chivemember.Member{
			{Address: "10.0.0.1:82", RelayAddress: nearRelay, Region: "here", FailureDomain: "here", State: chivemember.Alive},
			{Address: "10.0.0.2:82", RelayAddress: "10.0.0.2:84", Region: "there", FailureDomain: "there", State: chivemember.Alive},
		}
		network.Delay(func(from, to string) time.Duration {
			if (from == members[0].RelayAddress) != (to == members[0].RelayAddress) {
				return oneWay
			}
			return 0
		})
		var relays []*chiverelay.Service
		for i, m := range members {
			distances := chivedistance.New(m.Region, regions)
			distances.SetMembers(members)
			distances.Observe(members[1-i].Address, 2*oneWay)
			relay := chiverelay.New(chiverelay.Options{
				Self: m.RelayAddress, Address: m.RelayAddress, Network: network, Region: m.Region, Regions: regions, Distances: distances,
				Logger: slog.New(slog.DiscardHandler),
			})
			relay.SetMembers(members)
			relay.ApplyEndpoints(chivedirectory.Diff{Changed: []chivedirectory.Endpoint{{ID: "e", Pool: "p", Address: endpoint, FailureDomain: "there"}}})
			if err := relay.Start(context.Background()); err != nil {
				t.Fatal(err)
			}
			defer relay.Stop(context.Background())
			relays = append(relays, relay)
		}
		defer listener.Close()
		test(network, relays[0])
	})
}
