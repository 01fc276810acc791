package chivedirectory_test

import (
	"fmt"
	"testing"
	"time"

	"chivedrift/chivedirectory"
	"chivedrift/chivelog"

	"pgregory.net/rapid"
)

// Guards against a removed endpoint that stays in use at a peer updated from a snapshot, which names no removals.
func TestPeerFromBeforeASnapshotHearsOfRemovals(t *testing.T) {
	now := time.Now()
	behind := chivedirectory.New(grace)
	for i, id := range []string{"a", "b", "c"} {
		behind.Apply(now, change(int64(i), id))
	}
	// At 3 the store removes a; at 4 b changes.
	fresh := chivedirectory.New(grace)
	fresh.Replace(now, []chivedirectory.Change{change(4, "b"), change(2, "c")}, 5)
	if !behind.Learn(now, fresh.Update(now, behind.Newest())) {
		t.Error("nothing changed")
	}
	for _, e := range behind.Endpoints() {
		if e.ID == "a" {
			t.Error("the removed endpoint is still there")
		}
	}
	if behind.Newest() != 4 || len(behind.Endpoints()) != 2 {
		t.Errorf("%+v up to %d", behind.Endpoints(), behind.Newest())
	}
	further := chivedirectory.New(grace)
	further.Apply(now, change(0, "a"))
	further.Learn(now, behind.Update(now, further.Newest()))
	if len(further.Endpoints()) != 2 {
		t.Errorf("a third node, told by the second, believes in %+v", further.Endpoints())
	}
}

// Guards against a snapshot that removes endpoints registered after it was taken.
func TestSnapshotTakesAwayNothingNewer(t *testing.T) {
	now := time.Now()
	d := chivedirectory.New(grace)
	d.Apply(now, change(8, "b"))
	d.Replace(now, []chivedirectory.Change{change(5, "a")}, 6)
	read := change(8, "b")
	read.Read = true
	d.Apply(now, read)
	if known := d.Endpoints(); len(known) != 2 {
		t.Errorf("knows %+v, want a and b", known)
	}
}

// Two histories in which a drawn play found a node that counted as up to date and was not: a snapshot without any endpoint, and a removal of
// an earlier entry that stood for the endpoint's presence.
func TestSnapshotsThatOnceMisled(t *testing.T) {
	now := time.Now()
	old, started := chivedirectory.New(grace), chivedirectory.New(grace)
	old.Apply(now, change(0, "a"))
	started.Replace(now, nil, 2)
	if own := started.Newest(); own < old.Newest() {
		t.Errorf("a node that read an empty store counts as behind one that knows a removed endpoint: at %d", own)
	}

	told, behind, fresh := chivedirectory.New(grace), chivedirectory.New(grace), chivedirectory.New(grace)
	for _, w := range []chivedirectory.Change{change(0, "a"), change(1, "b"), gone(2, "b")} {
		told.Apply(now, w)
	}
	behind.Apply(now, change(0, "a"))
	behind.Apply(now, change(3, "b"))
	fresh.Replace(now, []chivedirectory.Change{change(5, "a")}, 6)
	told.Learn(now, fresh.Update(now, told.Newest()))
	behind.Learn(now, told.Update(now, behind.Newest()))
	if len(behind.Endpoints()) != 1 {
		t.Errorf("believes in %+v, want a alone", behind.Endpoints())
	}
}

// TestNodesThatStartAndTellEachOtherAgree plays a log of endpoints that come and go to nodes that read it, start from snapshots and tell each
// other in any order: whoever counts as up to date knows exactly what there is.
func TestNodesThatStartAndTellEachOtherAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Now()
		var log []chivedirectory.Change
		present := make(map[string]chivedirectory.Change)
		nodes := make([]*chivedirectory.Directory, 4)
		for i := range nodes {
			nodes[i] = chivedirectory.New(grace)
		}
		// read is how far each node has read the log itself.
		read := make([]int, len(nodes))
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * time.Millisecond)
			n := rapid.IntRange(0, len(nodes)-1).Draw(t, "node")
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0:
				id := fmt.Sprintf("e%d", rapid.IntRange(0, 4).Draw(t, "id"))
				if _, there := present[id]; there && rapid.Bool().Draw(t, "removed") {
					log = append(log, gone(int64(len(log)), id))
					delete(present, id)
					continue
				}
				present[id] = change(int64(len(log)), id)
				log = append(log, present[id])
			case 1:
				for ; read[n] < len(log); read[n]++ {
					w := log[read[n]]
					w.Read = true
					nodes[n].Learn(now, chivedirectory.Update{Changes: []chivedirectory.Change{w}})
				}
			case 2:
				nodes[n] = chivedirectory.New(grace)
				var snapshot []chivedirectory.Change
				for _, w := range present {
					snapshot = append(snapshot, w)
				}
				nodes[n].Replace(now, snapshot, chivelog.Position(len(log)))
				read[n] = len(log)
			default:
				other := nodes[rapid.IntRange(0, len(nodes)-1).Draw(t, "other")]
				if own := nodes[n].Newest(); own < other.Newest() {
					nodes[n].Learn(now, other.Update(now, own))
				}
			}
			for i, d := range nodes {
				if len(present) > 0 && d.Newest() == chivelog.Position(len(log))-1 && !agrees(d, present) {
					t.Fatalf("node %d counts as up to date and knows %+v, where there is %v", i, d.Endpoints(), present)
				}
			}
		}
	})
}

// agrees reports whether a directory knows exactly what there is.
func agrees(d *chivedirectory.Directory, present map[string]chivedirectory.Change) bool {
	known := d.Endpoints()
	for _, e := range known {
		if _, there := present[e.ID]; !there {
			return false
		}
	}
	return len(known) == len(present)
}
