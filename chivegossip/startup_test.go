//go:build !race

package chivegossip_test

import (
	"testing"
	"testing/synctest"
	"time"

	"chivedrift/chivedirectory"
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
