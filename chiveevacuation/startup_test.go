//go:build !race

package chiveevacuation_test

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"chivedrift/chivelog"
)

// Guards against a starting node that takes requests before it knows the evacuations, while the store does not answer it.
func TestStartingNodeKnowsEvacuationsOfItsPeersFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 16)
		starting := f.nodes[15]
		f.setMembers(f.nodes[:15])
		f.nodes[0].Replace(snapshotOf(1, 6, evacuated(5, "a")))
		time.Sleep(200 * time.Millisecond)
		if starting.Known() {
			t.Fatal("the node knows the evacuations before it has asked anybody")
		}
		f.setMembers(f.nodes)
		began := time.Now()
		for !starting.Known() {
			time.Sleep(time.Millisecond)
		}
		if took := time.Since(began); took > 100*time.Millisecond || !slices.Equal(starting.domains, []string{"a"}) {
			t.Errorf("known after %v: %v", took, starting.domains)
		}
	})
}

// Guards against a node that never serves since its peers do not answer it: they are of the release before, or do not
// know the evacuations either.
func TestStartingNodeWaitsLimitedTimeForEvacuations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		// The time before the node could serve otherwise does not count: a slow store may be the reason.
		time.Sleep(time.Minute)
		if f.nodes[0].Known() {
			t.Error("known at once")
		}
		time.Sleep(900 * time.Millisecond)
		if f.nodes[0].Known() {
			t.Error("known although nobody has answered")
		}
		time.Sleep(200 * time.Millisecond)
		if !f.nodes[0].Known() {
			t.Error("still waiting")
		}
	})
}

// Guards against a node that starts after the store came back from an older copy and takes requests before it knows the
// evacuations that its peers retain.
func TestStartingNodeKnowsRetainedEvacuationsFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 16)
		starting := f.nodes[15]
		f.setMembers(f.nodes[:15])
		f.nodes[0].Replace(snapshotOf(1, 6, evacuated(5, "a")))
		time.Sleep(200 * time.Millisecond)
		f.nodes[1].Replace(snapshotOf(2, 3))
		time.Sleep(200 * time.Millisecond)
		f.setMembers(f.nodes)
		starting.Replace(snapshotOf(2, 3))
		began := time.Now()
		for !starting.Known() {
			time.Sleep(time.Millisecond)
		}
		if took := time.Since(began); took > 100*time.Millisecond || !slices.Equal(starting.domains, []string{"a"}) {
			t.Errorf("known after %v: %v", took, starting.domains)
		}
	})
}

// Guards against requests that wait while the node applies a change: each of them asks whether the evacuations are known.
func TestKnownDoesNotWaitForChange(t *testing.T) {
	f := newFleet(t, 1)
	n := f.nodes[0]
	n.Replace(snapshotOf(1, 2))
	n.Known()
	n.OnChange(func([]string) {
		answered := make(chan bool, 1)
		go func() { answered <- n.Known() }()
		select {
		case known := <-answered:
			if !known {
				t.Error("not known")
			}
		case <-time.After(time.Second):
			t.Error("waits for the change")
		}
	})
	n.Apply([]chivelog.KeyedRecord{evacuated(5, "a")})
}
