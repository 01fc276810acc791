//go:build !race

package chiveversion_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"chivedrift/chivedirectory"
	"chivedrift/chivelog"
	"chivedrift/chivestand"
	"chivedrift/chiveversion"
	"chivedrift/chivewire"
)

// stalledNode is a node whose machine can be suspended: its boot clock jumps, and the runtime's clock doesn't.
type stalledNode struct {
	service   *chiveversion.Service
	began     time.Time
	suspended atomic.Int64
	// confirmedAt is when the last request that the store has answered was sent, by the boot clock.
	confirmedAt atomic.Int64
}

func (n *stalledNode) sinceBoot() time.Duration {
	return time.Since(n.began) + time.Duration(n.suspended.Load())
}

func (n *stalledNode) confirm(sentAt time.Duration) { n.confirmedAt.Store(int64(sentAt)) }

func (n *stalledNode) suspend(d time.Duration) { n.suspended.Add(int64(d)) }

// runStalledNode runs a node that has known a pool with one version for a minute.
func runStalledNode(t *testing.T, test func(n *stalledNode, expect func(when string, want bool))) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		n := &stalledNode{began: time.Now()}
		mesh := chivewire.NewMesh("10.0.0.1:82", chivestand.NewNetwork())
		// The store answers all the while, as far as the runtime's clock shows.
		n.service = chiveversion.New(mesh, decodeTestVersion, func() time.Duration { return time.Second })
		n.service.DetectStalls(n.sinceBoot, func() time.Duration { return n.sinceBoot() - time.Duration(n.confirmedAt.Load()) })
		if err := n.service.Start(context.Background()); err != nil {
			t.Fatal(err)
		}
		n.service.Apply([]chivelog.KeyedRecord{{Key: "a", Value: []byte("v1")}})
		n.service.ApplyEndpoints(chivedirectory.Diff{Changed: []chivedirectory.Endpoint{{ID: "a", Pool: "p"}}})
		time.Sleep(time.Minute)
		n.confirm(n.sinceBoot() - time.Second)
		expect := func(when string, want bool) {
			t.Helper()
			if _, got := n.service.Sole("p"); got != want {
				t.Errorf("%s: the version is certain: %v, want %v", when, got, want)
			}
		}
		test(n, expect)
		if err := n.service.Stop(context.Background()); err != nil {
			t.Error(err)
		}
	})
}

// Guards against streams that go on at another version at a node that slept through a release.
func TestVersionIsNotCertainAfterSuspension(t *testing.T) {
	runStalledNode(t, func(n *stalledNode, expect func(string, bool)) {
		expect("before the suspension", true)
		sentBefore := n.sinceBoot()
		n.suspend(5 * time.Second)
		expect("right after the suspension", false)
		n.confirm(sentBefore)
		time.Sleep(time.Second)
		expect("after an answer to a request from before the suspension", false)
		n.confirm(n.sinceBoot())
		time.Sleep(time.Second)
		expect("after an answer to a later request", true)
	})
}

// Guards against a suspension that is not seen, because no request came right after it.
func TestSuspensionIsDetectedWithoutRequests(t *testing.T) {
	runStalledNode(t, func(n *stalledNode, expect func(string, bool)) {
		n.suspend(time.Second)
		time.Sleep(time.Minute)
		expect("a minute after a suspension, without an answer since", false)
		n.confirm(n.sinceBoot() - time.Second)
		expect("after an answer", true)
		time.Sleep(time.Minute)
		expect("while the node runs", true)
	})
}
