//go:build !race

package chivebudget_test

import (
	"fmt"
	"testing"
	"testing/synctest"

	"chivedrift/chivestand"
	"chivedrift/chivewire"
)

// withNodes runs a test with nodes on a simulated network and clock: on real ones, peers that wait for a processor answer too late.
func withNodes(t *testing.T, count, fleet int, test func(nodes []*node)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		network := chivestand.NewNetwork()
		nodes := make([]*node, 0, count)
		for i := range count {
			nodes = append(nodes, newNode(t, chivewire.NewMesh(fmt.Sprintf("10.0.0.%d:82", i+1), network), fleet))
		}
		test(nodes)
		for _, n := range nodes {
			n.stop(t)
		}
	})
}

func TestNodeBorrowsRetriesFromPeers(t *testing.T) {
	withNodes(t, 3, 4, func(nodes []*node) {
		setMembers(nodes)
		if spent := nodes[0].spend(); spent != 3 {
			t.Errorf("a node of three got %d retries, want its own and one from each peer", spent)
		}
		if spent := nodes[1].spend(); spent != 0 {
			t.Errorf("%d retries are left after all shares were spent", spent)
		}
	})
}
