//go:build !race

package chiveplace_test

import (
	"testing"
	"testing/synctest"
	"time"

	"chivedrift/chivedirectory"
	"chivedrift/chiveplace"
)

// Guards against a node that discovers the engines late during the start of a large fleet, takes them for newly started
// ones with empty caches and does not query their cache contents.
func TestEnginesDiscoveredDuringStartupAreQueried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := chiveplace.NewPool("a")
		p.SetEngine(engine)
		discover := func(id string) {
			p.ApplyEndpoints(chivedirectory.Diff{Changed: []chivedirectory.Endpoint{{ID: id, Pool: "p", Born: 1}}})
		}
		time.Sleep(5 * time.Second)
		discover("e1")
		time.Sleep(time.Second)
		discover("e2")
		time.Sleep(5 * time.Second)
		discover("later")
		unqueried := p.TakeUnasked(nil, 10)
		if len(unqueried) != 2 || unqueried[0].ID != "e1" || unqueried[1].ID != "e2" {
			t.Errorf("endpoints to query: %v, want e1 and e2", unqueried)
		}
	})
}
