//go:build !race

package chiveplace_test

import (
	"testing"
	"testing/synctest"
	"time"

	"chivedrift/chivedirectory"
	"chivedrift/chiveplace"
)

// Guards against a node that learns of the engines late in the start of a large fleet and takes them all for engines that just started, whose caches it
// need not ask for.
func TestEnginesThatANodeLearnsOfLateHaveRunBefore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := chiveplace.NewPool("a")
		p.SetEngine(engine)
		learn := func(id string) {
			p.ApplyEndpoints(chivedirectory.Diff{Changed: []chivedirectory.Endpoint{{ID: id, Pool: "p", Born: 1}}})
		}
		time.Sleep(5 * time.Second)
		learn("e1")
		time.Sleep(time.Second)
		learn("e2")
		time.Sleep(5 * time.Second)
		learn("later")
		unasked := p.TakeUnasked(nil, 10)
		if len(unasked) != 2 || unasked[0].ID != "e1" || unasked[1].ID != "e2" {
			t.Errorf("asked for the caches of %v, want those of e1 and e2", unasked)
		}
	})
}
