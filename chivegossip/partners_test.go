//go:build !race

package chivegossip_test

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"chivedrift/chivedirectory"
	"chivedrift/chivestand"
)

// Guards against a gossip load per node that grows with the fleet.
func TestNodesCompareThemselvesWithFewPeers(t *testing.T) {
	const (
		size = 60
		// mostLinks is what half a minute may leave open: a dozen peers that a node tells, as many that tell it, and those it compares itself with.
		mostLinks = 30
	)
	synctest.Test(t, func(t *testing.T) {
		nodes := newNodesOn(t, size, chivestand.NewNetwork())
		time.Sleep(30 * time.Second)
		var links []int
		for _, n := range nodes {
			links = append(links, n.mesh.Links())
		}
		slices.Sort(links)
		t.Logf("connections of the middle node %d, of the busiest %d", links[size/2], links[size-1])
		if links[size/2] > mostLinks {
			t.Errorf("the middle node has %d connections, expected %d at most", links[size/2], mostLinks)
		}
		nodes[7].endpoints.Learn(chivedirectory.Update{Changes: []chivedirectory.Change{{
			Position: 4, Endpoint: chivedirectory.Endpoint{ID: "e", Pool: "p", Address: "127.0.0.1:1"},
		}}}, "store")
		began := time.Now()
		for _, n := range nodes {
			for n.endpoints.Newest() != 4 {
				time.Sleep(10 * time.Millisecond)
				if time.Since(began) > 5*time.Second {
					t.Fatal("a change that only comparisons pass on has not reached every node after 5 s")
				}
			}
		}
		t.Logf("a change that only comparisons pass on reached all after %v", time.Since(began))
	})
}
