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

var poolRequest = &chiverequest.Request{Pool: "p"}

type node struct {
	service *chivebudget.Service
	mesh    *chivewire.Mesh
}

// startNode starts a node whose share of the budget of a fleet with that many nodes is one retry. It ends with the test.
func startNode(t *testing.T, nodes int) *node {
	t.Helper()
	n := newNode(t, chivewire.NewMesh(chivestand.FreeAddress(), chivewire.TCP{}), nodes)
	t.Cleanup(func() { n.stop(t) })
	return n
}

func newNode(t *testing.T, mesh *chivewire.Mesh, nodes int) *node {
	t.Helper()
	created := time.Now().Add(-time.Minute)
	budget := chiveforward.NewBudget(created, chiveforward.BudgetLimits{Headroom: 1.3 * float64(nodes), Window: 10 * time.Second})
	budget.SetNodes(created, nodes)
	n := &node{chivebudget.New(mesh, budget), mesh}
	if err := mesh.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	return n
}

func (n *node) stop(t *testing.T) {
	t.Helper()
	if err := n.mesh.Stop(context.Background()); err != nil {
		t.Error(err)
	}
}

// setMembers makes the nodes know each other.
func setMembers(nodes []*node) {
	var members []chivemember.Member
	for _, n := range nodes {
		members = append(members, chivemember.Member{Name: n.mesh.Self(), Address: n.mesh.Self(), State: chivemember.Alive})
	}
	for _, n := range nodes {
		n.service.SetMembers(members)
	}
}

// spend returns how many retries a node gets before one is denied.
func (n *node) spend() (spent int) {
	request := &chiverequest.Request{Pool: poolRequest.Pool, Deadline: time.Now().Add(5 * time.Second)}
	for n.service.Spend(time.Now(), request) {
		spent++
	}
	return spent
}

// Guards against a fleet that lends more than its budget, also where replies are late.
func TestNodesLendNoMoreThanTheBudget(t *testing.T) {
	nodes := []*node{startNode(t, 4), startNode(t, 4), startNode(t, 4)}
	setMembers(nodes)
	spent := 0
	for _, n := range nodes {
		spent += n.spend()
	}
	if spent > len(nodes) {
		t.Errorf("%d nodes spent %d retries, want at most one each", len(nodes), spent)
	}
}

// Guards against retries that are lost because a peer lends them in a response that arrives too late.
func TestPeersInOtherRegionsAreNotAsked(t *testing.T) {
	node1, node2 := startNode(t, 2), startNode(t, 2)
	members := []chivemember.Member{
		{Name: node1.mesh.Self(), Address: node1.mesh.Self(), Region: "r1", State: chivemember.Alive},
		{Name: node2.mesh.Self(), Address: node2.mesh.Self(), Region: "r2", State: chivemember.Alive},
	}
	node1.service.SetMembers(members)
	node2.service.SetMembers(members)
	if spent := node1.spend(); spent != 1 {
		t.Errorf("the first node got %d retries, want only its own", spent)
	}
	if spent := node2.spend(); spent != 1 {
		t.Errorf("the node in the other region got %d retries, want its own", spent)
	}
}

// Guards against requests that are delayed by a peer that accepts connections but does not respond.
func TestUnresponsivePeerDoesNotDelayRequests(t *testing.T) {
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
	start := time.Now()
	if spent := n.spend(); spent != 1 {
		t.Errorf("got %d retries, want only the node's own", spent)
	}
	if took := time.Since(start); took > 500*time.Millisecond {
		t.Errorf("the request waited %v for the peer", took)
	}
	secondStart := time.Now()
	if n.spend(); time.Since(secondStart) > 10*time.Millisecond {
		t.Errorf("the second request waited %v for a peer that is in backoff", time.Since(secondStart))
	}
}
