//go:build !race

package chivenotice_test

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"chivedrift/chivemember"
	"chivedrift/chivenotice"
	"chivedrift/chiverequest"
	"chivedrift/chivestand"
	"chivedrift/chivewire"
)

// node is a service with the notices that it has received.
type node struct {
	mesh    *chivewire.Mesh
	service *chivenotice.Service
	mu      sync.Mutex
	stated  []chiverequest.Notice
	cold    []time.Duration
	// users are the peers for which the node has connections open.
	users []string
}

func (n *node) state(_ time.Time, incarnation string, notice chiverequest.Notice) (changed bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stated = append(n.stated, notice)
	return incarnation == "e0" && len(n.stated) == 1
}

func (n *node) received() []chiverequest.Notice {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.stated
}

func (n *node) stateWarmUp(_ time.Time, _ string, left time.Duration) (changed bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cold = append(n.cold, left)
	return true
}

func (n *node) coldFor() []time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cold
}

func address(i int) string { return fmt.Sprintf("10.0.0.%d:82", i+1) }

// withNodes runs a test with services whose meshes reach each other.
func withNodes(t *testing.T, count int, test func(nodes []*node)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		network := chivestand.NewNetwork()
		var nodes []*node
		for i := range count {
			n := &node{mesh: chivewire.NewMesh(address(i), network)}
			n.service = chivenotice.New(chivenotice.Options{
				Mesh: n.mesh, State: n.state, StateWarmUp: n.stateWarmUp, ConnectedFor: func(string) []string { return n.users }, Logger: slog.New(slog.DiscardHandler),
			})
			if err := n.mesh.Start(context.Background()); err != nil {
				t.Fatal(err)
			}
			nodes = append(nodes, n)
		}
		test(nodes)
		for _, n := range nodes {
			if err := n.mesh.Stop(context.Background()); err != nil {
				t.Error(err)
			}
		}
	})
}

// Guards against nodes that share connections to an endpoint and go on sending requests, since it notified another one of them.
func TestNodesThatShareConnectionsAreNotifiedOnce(t *testing.T) {
	withNodes(t, 4, func(nodes []*node) {
		// The first node reads the notice in a response through the second one, which the third one uses as well.
		nodes[1].users = []string{address(0), address(2)}
		nodes[0].service.Forward(address(1), "e0", "10.9.0.1:80", chiverequest.Notice{Leaving: true, Rest: 2 * time.Second})
		time.Sleep(time.Second)
		for i, count := range []int{0, 1, 1, 0} {
			if received := nodes[i].received(); len(received) != count {
				t.Errorf("node %d received %v", i, received)
			}
		}
		if received := nodes[2].received(); len(received) == 1 && received[0] != (chiverequest.Notice{Leaving: true, Rest: 2 * time.Second}) {
			t.Errorf("received %+v", received[0])
		}
	})
}

// Guards against a rest that a peer states wrongly and that excludes an endpoint for good.
func TestRestOfAPeerIsBounded(t *testing.T) {
	withNodes(t, 2, func(nodes []*node) {
		for _, m := range []chivenotice.Message{{Endpoint: "e0", RestMs: 1<<62 + 1}, {Endpoint: "e0", RestMs: -5}} {
			if err := nodes[0].mesh.Send(address(1), chivewire.KindEndpointNotice, m); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(time.Second)
		if received := nodes[1].received(); len(received) != 2 || received[0].Rest != 10*time.Minute || received[1].Rest != 0 {
			t.Errorf("received %+v", received)
		}
	})
}

// Guards against nodes that send a cold endpoint too many requests since it stated that it is cold to another one, and against
// values of a peer that keep most requests from an endpoint for good.
func TestAllNodesAreNotifiedOfAColdEndpoint(t *testing.T) {
	withNodes(t, 4, func(nodes []*node) {
		nodes[0].service.SetMembers(members(nodes))
		nodes[0].service.ForwardWarmUp("e0", 3*time.Second)
		for _, ms := range []int64{-1, 0, 1 << 62} {
			if err := nodes[0].mesh.Send(address(1), chivewire.KindEndpointWarmUp, chivenotice.WarmUp{Endpoint: "e0", LeftMs: ms}); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(time.Second)
		for i, n := range nodes[1:] {
			if cold := n.coldFor(); len(cold) != 1 || cold[0] != 3*time.Second {
				t.Errorf("node %d received %v", i+1, cold)
			}
		}
	})
}

// Guards against nodes of a fleet above the size in which each sends to all others that do not learn of a cold endpoint.
func TestAllNodesOfALargeFleetAreNotifiedOfAColdEndpoint(t *testing.T) {
	for _, count := range []int{16, 24, 64} {
		withNodes(t, count, func(nodes []*node) {
			nodes[0].service.SetMembers(members(nodes))
			nodes[0].service.ForwardWarmUp("e0", 3*time.Second)
			time.Sleep(time.Second)
			for i, n := range nodes[1:] {
				if cold := n.coldFor(); len(cold) != 1 {
					t.Errorf("node %d of %d received %v", i+1, count, cold)
				}
			}
		})
	}
}

// members returns the nodes as members of a fleet.
func members(nodes []*node) (all []chivemember.Member) {
	for i := range nodes {
		all = append(all, chivemember.Member{Name: address(i), Address: address(i), State: chivemember.Alive})
	}
	return all
}

// Guards against an endpoint that peers send requests to before it has warmed up or rested, since fractions were cut off on the way.
func TestPeersKeepFractionsOfAMillisecond(t *testing.T) {
	const told, most = 3*time.Second + 400*time.Microsecond, time.Millisecond
	withNodes(t, 2, func(nodes []*node) {
		nodes[0].service.SetMembers(members(nodes))
		nodes[0].service.ForwardWarmUp("e0", told)
		nodes[0].service.Forward(address(1), "e0", "10.9.9.9:80", chiverequest.Notice{Rest: told})
		time.Sleep(time.Second)
		cold, rested := nodes[1].coldFor(), nodes[1].received()
		if len(cold) != 1 || cold[0] < told || cold[0] > told+most {
			t.Errorf("cold for %v, want %v", cold, told)
		}
		if len(rested) != 1 || rested[0].Rest < told || rested[0].Rest > told+most {
			t.Errorf("notices %+v, want a rest of %v", rested, told)
		}
	})
}
