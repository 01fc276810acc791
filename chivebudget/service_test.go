package chivebudget_test

import (
	"context"
	"net"
	"testing"
	"time"

	"chivedrift/chivebudget"
	"chivedrift/chiveforward"
	"chivedrift/chivemember"
	"chivedrift/chiverequest"
	"chivedrift/chivestand"
	"chivedrift/chivewire"
)

var toPool = &chiverequest.Request{Pool: "p"}

type node struct {
	service *chivebudget.Service
	mesh    *chivewire.Mesh
}

// startNode starts a node whose share is one repeat of a fleet's limit.
func startNode(t *testing.T, nodes int) *node {
	t.Helper()
	mesh := chivewire.NewMesh(chivestand.FreeAddress(), chivewire.TCP{})
	began := time.Now().Add(-time.Minute)
	budget := chiveforward.NewBudget(began, chiveforward.BudgetLimits{Headroom: 1.3 * float64(nodes), Window: 10 * time.Second})
	budget.SetNodes(began, nodes)
	n := &node{chivebudget.New(mesh, budget), mesh}
	if err := mesh.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { mesh.Stop(context.Background()) })
	return n
}

// spend returns how many repeats a node gets before one is refused.
func (n *node) spend() (spent int) {
	request := &chiverequest.Request{Pool: toPool.Pool, Deadline: time.Now().Add(5 * time.Second)}
	for n.service.Spend(time.Now(), request) {
		spent++
	}
	return spent
}

func TestNodeTakesRepeatsFromItsPeers(t *testing.T) {
	nodes := []*node{startNode(t, 4), startNode(t, 4), startNode(t, 4)}
	var members []chivemember.Member
	for _, n := range nodes {
		members = append(members, chivemember.Member{Name: n.mesh.Self(), Address: n.mesh.Self(), State: chivemember.Alive})
	}
	for _, n := range nodes {
		n.service.SetMembers(members)
	}
	if spent := nodes[0].spend(); spent != 3 {
		t.Errorf("a node of three got %d repeats, want its own and one of each peer", spent)
	}
	if spent := nodes[1].spend(); spent != 0 {
		t.Errorf("%d repeats are left after all shares were spent", spent)
	}
}

// Guards against repeats that a peer hands over and that come too late, so that nobody uses them.
func TestPeersInOtherRegionsAreNotAsked(t *testing.T) {
	near, far := startNode(t, 2), startNode(t, 2)
	members := []chivemember.Member{
		{Name: near.mesh.Self(), Address: near.mesh.Self(), Region: "r1", State: chivemember.Alive},
		{Name: far.mesh.Self(), Address: far.mesh.Self(), Region: "r2", State: chivemember.Alive},
	}
	near.service.SetMembers(members)
	far.service.SetMembers(members)
	if spent := near.spend(); spent != 1 {
		t.Errorf("a node got %d repeats, want its own one", spent)
	}
	if spent := far.spend(); spent != 1 {
		t.Errorf("the node in the other region has %d repeats left, want its own one", spent)
	}
}

// Guards against requests held up by a peer that accepts connections and does not answer.
func TestSilentPeerIsNotWaitedFor(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	n := startNode(t, 2)
	n.service.SetMembers([]chivemember.Member{
		{Name: n.mesh.Self(), Address: n.mesh.Self(), State: chivemember.Alive},
		{Name: "silent", Address: listener.Addr().String(), State: chivemember.Alive},
	})
	began := time.Now()
	if spent := n.spend(); spent != 1 {
		t.Errorf("%d repeats, want the own one", spent)
	}
	if took := time.Since(began); took > 500*time.Millisecond {
		t.Errorf("the request waited %v", took)
	}
	again := time.Now()
	if n.spend(); time.Since(again) > 10*time.Millisecond {
		t.Errorf("the next one waited %v for a peer that is known to be silent", time.Since(again))
	}
}
