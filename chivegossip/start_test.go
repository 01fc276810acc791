//go:build !race

package chivegossip_test

import (
	"testing"
	"testing/synctest"
	"time"

	"chivedrift/chivedirectory"
	"chivedrift/chivestand"
)

// Guards against nodes that start together, of which all but the readers wait for the slow round of comparisons before they know an endpoint.
func TestNodesWithoutEndpointsAskAtOnce(t *testing.T) {
	const (
		size = 40
		// known is the time within which the endpoints have crossed the fleet from one node, far less than the usual 0.4 s for each step.
		known = 900 * time.Millisecond
	)
	synctest.Test(t, func(t *testing.T) {
		nodes := newNodesOn(t, size, chivestand.NewNetwork())
		nodes[0].endpoints.Learn(chivedirectory.Update{Changes: []chivedirectory.Change{
			{Position: 1, Endpoint: chivedirectory.Endpoint{ID: "e1", Pool: "p", Address: "10.9.0.1:80"}},
		}, Whole: true, End: 1}, "store")
		time.Sleep(known)
		for i, n := range nodes {
			if n.endpoints.Newest() < 0 {
				t.Errorf("node %d knows no endpoint after %v", i, known)
			}
		}
	})
}
