package chivedirectory_test

import (
	"slices"
	"testing"
	"time"

	"chivedrift/chivedirectory"
	"chivedrift/chivelog"

	"pgregory.net/rapid"
)

const grace = 2 * time.Second

func change(offset int64, id string) chivedirectory.Change {
	return chivedirectory.Change{Position: chivelog.Position(offset), Endpoint: chivedirectory.Endpoint{ID: id, Pool: "p", Address: "127.0.0.1:1"}}
}

func removal(offset int64, id string) chivedirectory.Change {
	return chivedirectory.Change{Position: chivelog.Position(offset), Gone: true, Endpoint: chivedirectory.Endpoint{ID: id}}
}

// Guards against refusing every request after a store outage during which live endpoints could not renew their entries.
func TestLapsedEntriesAreKeptForGracePeriod(t *testing.T) {
	now := time.Now()
	d := chivedirectory.New(grace)
	d.Apply(now, change(1, "a"))
	d.Apply(now, change(2, "b"))
	d.StoreLost()
	d.StoreAnswered(now)
	d.Apply(now, removal(3, "a"))
	d.Apply(now, removal(4, "b"))
	if n := len(d.Endpoints()); n != 2 {
		t.Fatalf("%d endpoints right after the store's return, want 2", n)
	}
	d.Apply(now.Add(time.Second), change(5, "a"))
	d.Expire(now.Add(grace + time.Millisecond))
	if left := d.Endpoints(); len(left) != 1 || left[0].ID != "a" {
		t.Errorf("after the grace period: %+v, want only a", left)
	}
}

func TestRemovalAppliesAtOnceWithoutOutage(t *testing.T) {
	now := time.Now()
	d := chivedirectory.New(grace)
	d.Apply(now, change(1, "a"))
	if !d.Apply(now, removal(2, "a")) || len(d.Endpoints()) != 0 {
		t.Errorf("endpoint not removed: %+v", d.Endpoints())
	}
}

// Guards against new requests to a leaving endpoint after an outdated change from a peer.
func TestOlderChangeIsIgnored(t *testing.T) {
	now := time.Now()
	d := chivedirectory.New(grace)
	leaving := change(5, "a")
	leaving.Endpoint.State = chivedirectory.Leaving
	d.Apply(now, leaving)
	if d.Apply(now, change(4, "a")) || d.Endpoints()[0].State != chivedirectory.Leaving {
		t.Error("an older change set the endpoint to ready again")
	}
	d.Apply(now, removal(6, "a"))
	if d.Apply(now, change(5, "a")) || len(d.Endpoints()) != 0 {
		t.Error("an older change restored a removed endpoint")
	}
}

// Without an outage, changes give the same result in any order and when repeated.
func TestChangesApplyInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Now()
		changes := make([]chivedirectory.Change, rapid.IntRange(1, 20).Draw(t, "changes"))
		for i := range changes {
			id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id")
			changes[i] = change(int64(i), id)
			if rapid.Bool().Draw(t, "gone") {
				changes[i] = removal(int64(i), id)
			}
		}
		inOrder, shuffled := chivedirectory.New(grace), chivedirectory.New(grace)
		for _, c := range changes {
			inOrder.Apply(now, c)
		}
		for _, c := range rapid.Permutation(slices.Concat(changes, changes)).Draw(t, "order") {
			shuffled.Apply(now, c)
		}
		want, got := inOrder.Endpoints(), shuffled.Endpoints()
		if len(want) != len(got) {
			t.Fatalf("in order %+v, shuffled %+v", want, got)
		}
		for i := range want {
			if want[i] != got[i] {
				t.Fatalf("in order %+v, shuffled %+v", want[i], got[i])
			}
		}
	})
}

// Guards against peers that drop a live endpoint whose entry lapsed at a node cut off from the store.
func TestPeersKeepLapsedEntry(t *testing.T) {
	now := time.Now()
	disconnected, peer := chivedirectory.New(grace), chivedirectory.New(grace)
	for _, d := range []*chivedirectory.Directory{disconnected, peer} {
		d.Apply(now, change(1, "a"))
	}
	disconnected.StoreLost()
	disconnected.StoreAnswered(now)
	disconnected.Apply(now, removal(2, "a"))
	for _, c := range disconnected.Update(now, peer.Newest()).Changes {
		peer.Apply(now, c)
	}
	if n := len(peer.Endpoints()); n != 1 {
		t.Fatalf("peer has %d endpoints, want 1", n)
	}
	peer.Expire(now.Add(grace / 2))
	if n := len(peer.Endpoints()); n != 1 {
		t.Errorf("dropped within the grace period")
	}
	peer.Expire(now.Add(grace + time.Millisecond))
	if n := len(peer.Endpoints()); n != 0 {
		t.Errorf("kept after the grace period")
	}
}

func TestUpdateHoldsOnlyNewerChanges(t *testing.T) {
	now := time.Now()
	d := chivedirectory.New(grace)
	for i := range 10 {
		d.Apply(now, change(int64(i), string(rune('a'+i))))
	}
	d.Apply(now, removal(10, "c"))
	if changes := d.Update(now, 7).Changes; len(changes) != 3 {
		t.Errorf("got %+v, want the two newest and the removal", changes)
	}
}

// Guards against a removal shortly after the store's return that starts a grace period of its own.
func TestGracePeriodIsNotExtendedByLaterRemoval(t *testing.T) {
	now := time.Now()
	d := chivedirectory.New(grace)
	d.Apply(now, change(1, "a"))
	d.StoreLost()
	d.StoreAnswered(now)
	d.Apply(now.Add(grace/2), removal(2, "a"))
	d.Expire(now.Add(grace))
	if n := len(d.Endpoints()); n != 0 {
		t.Errorf("kept for another %v after the grace period", grace/2)
	}
}
