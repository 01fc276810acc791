//go:build !race

package chivegossip_test

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"chivedrift/chivedirectory"
	"chivedrift/chivemember"
	"chivedrift/chivestand"
)

// Guards against nodes started together that wait for the regular exchange of digests before they know an endpoint.
func TestStartingNodesLearnEndpointsQuickly(t *testing.T) {
	const (
		size = 40
		// maxSpread is the time for the endpoints to reach all nodes from one, far less than with the regular 0.4 s for
		// each hop.
		maxSpread = 900 * time.Millisecond
	)
	synctest.Test(t, func(t *testing.T) {
		nodes := newNodesOn(t, size, chivestand.NewNetwork())
		nodes[0].endpoints.Learn(chivedirectory.Update{Changes: []chivedirectory.Change{
			{Position: 1, Endpoint: chivedirectory.Endpoint{ID: "e1", Pool: "p", Address: "10.9.0.1:80"}},
		}, Whole: true, End: 1}, "store")
		time.Sleep(maxSpread)
		for i, n := range nodes {
			if n.endpoints.Newest() < 0 {
				t.Errorf("node %d knows no endpoint after %v", i, maxSpread)
			}
		}
	})
}

// Guards against nodes that learn endpoints only when it is the turn of a partner that knows some.
func TestStartingNodesLearnEndpointsQuicklyInUnfavourableOrder(t *testing.T) {
	const (
		maxSpread = 900 * time.Millisecond
		// startInterval keeps the digests of two nodes apart, so that every play takes the same course.
		startInterval = time.Millisecond
		// firstTurns holds the number from which each node counts its turns, in the order by hash from the first node on.
		firstTurns = "4220054154151400232100534222555453222310"
	)
	addresses := simulatedAddresses(len(firstTurns))
	members := make([]chivemember.Member, 0, len(addresses))
	for _, address := range addresses {
		members = append(members, chivemember.Member{Address: address, State: chivemember.Alive})
	}
	ranked := chivemember.AddressesByHash(members)
	first := slices.Index(ranked, addresses[0])
	pickFor := func(address string) func(n int) int {
		position := (slices.Index(ranked, address) - first + len(ranked)) % len(ranked)
		return func(int) int { return int(firstTurns[position] - '0') }
	}
	synctest.Test(t, func(t *testing.T) {
		nodes := newNodesAt(t, addresses, chivestand.NewNetwork(), startInterval, pickFor)
		nodes[0].endpoints.Learn(chivedirectory.Update{Changes: []chivedirectory.Change{
			{Position: 1, Endpoint: chivedirectory.Endpoint{ID: "e1", Pool: "p", Address: "10.9.0.1:80"}},
		}, Whole: true, End: 1}, "store")
		time.Sleep(maxSpread)
		for i, n := range nodes {
			if n.endpoints.Newest() < 0 {
				t.Errorf("node %d knows no endpoint after %v", i, maxSpread)
			}
		}
	})
}
