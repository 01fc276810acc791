package chivedirectory_test

import (
	"fmt"
	"testing"
	"time"

	"chivedrift/chivedirectory"
)

// deferralEnd is the time after which a record is applied that was deferred at once, with the granularity of Expire.
const deferralEnd = 8*time.Second + 100*time.Millisecond

// nodeWithDeferral returns a node that has read a record of an earlier start than the known one, or than the removed one.
func nodeWithDeferral(now time.Time, removed bool) *chivedirectory.Directory {
	d := chivedirectory.New(grace)
	d.Replace(now, []chivedirectory.Change{changeWithStart(3, "a", 20)}, 4)
	if removed {
		d.Apply(now, removal(5, "a"))
	}
	d.Apply(now, changeWithStart(7, "a", 10))
	d.Apply(now, change(8, "b"))
	return d
}

// startsOf returns the start times of the known incarnations of endpoint a.
func startsOf(d *chivedirectory.Directory) (starts []int64) {
	for _, e := range d.Endpoints() {
		if e.ID == "a" {
			starts = append(starts, e.Born)
		}
	}
	return starts
}

func checkStarts(t *testing.T, name string, d *chivedirectory.Directory, want ...int64) {
	t.Helper()
	if got := startsOf(d); fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("%s: the node knows endpoint a started at %v, want %v", name, got, want)
	}
}

// Guards against a deferral that begins anew at each node, so that the last node of a chain uses the former process for longer.
func TestDeferralDoesNotBeginAnewAtEachNode(t *testing.T) {
	for _, removed := range []bool{false, true} {
		t.Run(fmt.Sprintf("removed %v", removed), func(t *testing.T) {
			start := time.Now()
			previous := nodeWithDeferral(start, removed)
			for hop := range 3 {
				now := start.Add(time.Duration(hop+1) * 2 * time.Second)
				next := chivedirectory.New(grace)
				next.Learn(now, previous.Update(now, next.Newest()))
				next.Expire(start.Add(7 * time.Second))
				if got := startsOf(next); len(got) == 1 && got[0] == 10 {
					t.Errorf("hop %d: the record was applied while it may be a late write", hop)
				}
				previous = next
			}
			previous.Expire(start.Add(deferralEnd))
			checkStarts(t, "last node", previous, 10)
		})
	}
}

// Guards against a node that was cut off and defers a record once more that its peers have deferred already.
func TestRecordThatPeersHaveDeferredIsAppliedAtOnce(t *testing.T) {
	start := time.Now()
	peer, node := nodeWithDeferral(start, false), chivedirectory.New(grace)
	node.Apply(start, changeWithStart(3, "a", 20))
	now := start.Add(deferralEnd)
	peer.Expire(now)
	node.Learn(now, peer.Update(now, node.Newest()))
	checkStarts(t, "node", node, 10)
	third := chivedirectory.New(grace)
	third.Apply(now, changeWithStart(3, "a", 20))
	third.Learn(now, node.Update(now, third.Newest()))
	checkStarts(t, "third node", third, 10)
}

// Guards against requests to a process that has ended: a node that knows only the removal of the later process cannot see that the
// record is a late write.
func TestNodeThatKnowsOnlyTheRemovalDefersTheRecord(t *testing.T) {
	now := time.Now()
	peer, node := nodeWithDeferral(now, true), chivedirectory.New(grace)
	node.Apply(now, removal(5, "a"))
	node.Learn(now, peer.Update(now, node.Newest()))
	checkStarts(t, "before the removal of the late write", node)
	node.Expire(now.Add(7 * time.Second))
	checkStarts(t, "after 7 s", node)
	node.Apply(now.Add(7*time.Second), removal(9, "a"))
	node.Expire(now.Add(time.Minute))
	checkStarts(t, "after the removal of the late write", node)
}

// Guards against a deferred record that a node applies although a later record has contradicted it, in any order of arrival.
func TestContradictedRecordIsDroppedInAnyOrder(t *testing.T) {
	for _, c := range []struct {
		name          string
		removed       bool
		contradiction chivedirectory.Change
		want          []int64
	}{
		{"live process writes again", false, changeWithStart(9, "a", 20), []int64{20}},
		{"late write lapses", false, removal(9, "a"), nil},
		{"removed, live process writes again", true, changeWithStart(9, "a", 30), []int64{30}},
		{"removed, late write lapses", true, removal(9, "a"), nil},
	} {
		for _, first := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, contradiction first %v", c.name, first), func(t *testing.T) {
				now := time.Now()
				peer, node := nodeWithDeferral(now, c.removed), chivedirectory.New(grace)
				update := peer.Update(now, node.Newest())
				if first {
					node.Apply(now, c.contradiction)
				}
				node.Learn(now, update)
				node.Apply(now, c.contradiction)
				peer.Apply(now, c.contradiction)
				node.Learn(now, update)
				for name, d := range map[string]*chivedirectory.Directory{"node": node, "peer": peer} {
					d.Expire(now.Add(time.Minute))
					checkStarts(t, name, d, c.want...)
				}
			})
		}
	}
}

// Guards against an endpoint that is kept for good: its removal came in the grace period after an outage while an earlier record was
// deferred, and the deferred record replaced the missing entry.
func TestRemovalInGracePeriodDropsDeferredRecord(t *testing.T) {
	d, _, back := directoryAfterOutage()
	d.Apply(back, changeWithStart(2, "a", 20))
	d.Apply(back, changeWithStart(3, "a", 10))
	node := chivedirectory.New(grace)
	node.Learn(back, d.Update(back, node.Newest()))
	d.Apply(back.Add(time.Second), removal(4, "a"))
	node.Learn(back.Add(time.Second), d.Update(back.Add(time.Second), node.Newest()))
	for name, d := range map[string]*chivedirectory.Directory{"reader": d, "peer": node} {
		d.Expire(back.Add(time.Minute))
		checkStarts(t, name, d)
	}
}

// Guards against a running node that keeps the former process for good, because a node of an earlier release sent it the known
// entry with the position of the deferred record.
func TestNodeBeyondDeferredRecordLearnsOfIt(t *testing.T) {
	now := time.Now()
	peer, node := nodeWithDeferral(now, false), chivedirectory.New(grace)
	node.Learn(now, chivedirectory.Update{Changes: []chivedirectory.Change{changeWithStart(7, "a", 20), change(8, "b")}})
	node.Learn(now, chivedirectory.Update{Deferred: peer.Deferred(now, 10)})
	checkStarts(t, "at once", node, 20)
	node.Expire(now.Add(deferralEnd))
	checkStarts(t, "after the deferral", node, 10)
}

// Guards against a node that goes on with a process that has ended: its peer knows nothing of the endpoint but a deferred record,
// and lists all others.
func TestFullListRemovesTheStateBeforeADeferredRecord(t *testing.T) {
	now := time.Now()
	peer, node := chivedirectory.New(grace), chivedirectory.New(grace)
	peer.Replace(now, []chivedirectory.Change{change(4, "b")}, 7)
	peer.Learn(now, chivedirectory.Update{Deferred: []chivedirectory.Deferred{{Change: changeWithStart(8, "a", 10), Left: time.Second}}})
	node.Apply(now, changeWithStart(3, "a", 20))
	node.Learn(now, peer.Update(now, node.Newest()))
	checkStarts(t, "at once", node)
	node.Expire(now.Add(2 * time.Second))
	checkStarts(t, "after the deferral", node, 10)
}

// Guards against a node that loses an endpoint for good: it applies a record that its peer still defers after a removal, and
// the peer lists all endpoints at a later position.
func TestFullListKeepsRecordThatThePeerDefers(t *testing.T) {
	now := time.Now()
	peer, node := nodeWithDeferral(now, true), chivedirectory.New(grace)
	node.Replace(now, []chivedirectory.Change{changeWithStart(7, "a", 10)}, 8)
	peer.Replace(now, []chivedirectory.Change{changeWithStart(7, "a", 10), change(8, "b")}, 12)
	node.Learn(now, peer.Update(now, node.Newest()))
	checkStarts(t, "node", node, 10)
	peer.Expire(now.Add(deferralEnd))
	checkStarts(t, "peer", peer, 10)
}

// Guards against a node that forgets a deferred record, because a peer took an entry that an earlier release sent it with the
// position of that record for the record itself.
func TestStateWithPositionOfDeferredRecordDoesNotReplaceIt(t *testing.T) {
	now := time.Now()
	node := nodeWithDeferral(now, false)
	node.Learn(now, chivedirectory.Update{Deferred: []chivedirectory.Deferred{{Change: changeWithStart(7, "a", 20), Left: time.Second}}})
	node.Expire(now.Add(deferralEnd))
	checkStarts(t, "after the deferral", node, 10)
}

// Guards against a node that counts as having all changes before a deferred record because it received that record alone.
func TestDeferredRecordDoesNotMoveThePosition(t *testing.T) {
	now := time.Now()
	peer, node := nodeWithDeferral(now, true), chivedirectory.New(grace)
	node.Learn(now, chivedirectory.Update{Deferred: peer.Deferred(now, 10)})
	if node.Newest() >= 0 {
		t.Errorf("the node is at position %d without any change", node.Newest())
	}
	node.Learn(now, peer.Update(now, node.Newest()))
	node.Expire(now.Add(deferralEnd))
	checkStarts(t, "after the deferral", node, 10)
}

// Guards against a release without deferred records that applies a late write at once, or never learns of a restart with the clock
// set back.
func TestEarlierReleasesReadDeferredRecordsAmongTheChanges(t *testing.T) {
	now := time.Now()
	for _, removed := range []bool{false, true} {
		var written []string
		for _, c := range nodeWithDeferral(now, removed).Update(now, 2).Plain().Changes {
			if c.Endpoint.ID == "a" {
				written = append(written, fmt.Sprintf("%d:%d gone %v", c.Position, c.Endpoint.Born, c.Gone))
			}
		}
		want := "[3:20 gone false 7:10 gone false]"
		if removed {
			want = "[5:0 gone true]"
		}
		if fmt.Sprint(written) != want {
			t.Errorf("removed %v: an earlier release gets %v, want %v", removed, written, want)
		}
	}
}
