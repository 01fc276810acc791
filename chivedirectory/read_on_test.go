package chivedirectory_test

import (
	"fmt"
	"testing"
	"time"

	"chivedrift/chivedirectory"
	"chivedrift/chivelog"

	"pgregory.net/rapid"
)

// Guards against a removed endpoint that comes back: an answer of the store with its registration is applied after the full
// list of a peer that no longer has it. If the node then leaves reading to others, it keeps the endpoint for good.
func TestOlderReadAfterFullListDoesNotReviveEndpoint(t *testing.T) {
	now := time.Now()
	peer, node := chivedirectory.New(grace), chivedirectory.New(grace)
	node.Learn(now, chivedirectory.Update{Changes: []chivedirectory.Change{change(4, "b")}})
	// The node reads on from 5. The store registers a at 5, answers, and removes a at 6; the peer starts from a snapshot.
	peer.Replace(now, []chivedirectory.Change{change(4, "b")}, 7)
	node.Learn(now, peer.Update(now, node.Newest()))
	read := change(5, "a")
	read.Read = true
	node.Apply(now, read)
	if node.Newest() == peer.Newest() && len(node.Endpoints()) != 1 {
		t.Errorf("the node knows %+v at %d, its peer b alone at the same position", node.Endpoints(), node.Newest())
	}
}

// Guards against a removed endpoint that a started node keeps for good: the peer that it starts from has just applied an older
// answer of the store after another peer's full list, and itself learns of the removal with its next read. Random histories found it.
func TestStartedNodeDoesNotKeepEndpointThatItsPeerRevived(t *testing.T) {
	now := time.Now()
	fresh, peer, started := chivedirectory.New(grace), chivedirectory.New(grace), chivedirectory.New(grace)
	peer.Learn(now, chivedirectory.Update{Changes: []chivedirectory.Change{change(4, "b")}})
	fresh.Replace(now, []chivedirectory.Change{change(4, "b")}, 7)
	peer.Learn(now, fresh.Update(now, peer.Newest()))
	log := []chivedirectory.Change{change(5, "a"), removal(6, "a"), change(7, "b")}
	for i := range log {
		log[i].Read = true
	}
	peer.Apply(now, log[0])
	started.Learn(now, peer.Update(now, started.Newest()))
	for _, c := range log {
		peer.Apply(now, c)
		if c.Position > started.Newest() {
			started.Apply(now, c)
		}
	}
	if len(peer.Endpoints()) != 1 || len(started.Endpoints()) != 1 {
		t.Errorf("the started node knows %+v at %d, its peer %+v at %d, the store has b alone", started.Endpoints(), started.Newest(), peer.Endpoints(), peer.Newest())
	}
}

// Guards against a removal that a node never learns, because a peer of the earlier release sent a record of a later page of its
// snapshot with its own position, and the node reads on after it.
func TestNodeThatReadsOnFromEarlierReleaseMissesNothing(t *testing.T) {
	now := time.Now()
	node := chivedirectory.New(grace)
	node.Learn(now, chivedirectory.Update{Changes: []chivedirectory.Change{change(3, "a"), change(14, "b")}, Whole: true, End: 9})
	for _, c := range []chivedirectory.Change{removal(12, "a"), change(14, "b"), change(15, "c")} {
		if c.Read = true; c.Position > node.Newest() {
			node.Apply(now, c)
		}
	}
	if len(node.Endpoints()) != 2 {
		t.Errorf("the node knows %+v, want b and c", node.Endpoints())
	}
}

// afterDeferral is longer than a change is deferred.
const afterDeferral = 10 * time.Second

// Guards against a started node that keeps the earlier address of an endpoint for good: its peer had deferred the
// endpoint's record (clock set back), sent the known entry with that record's position, and the node reads on after it.
func TestNodeThatReadsOnLearnsOfDeferredRestart(t *testing.T) {
	now := time.Now()
	restarted := changeWithStart(20, "a", 1000)
	restarted.Endpoint.Address, restarted.Read = "10.0.0.9:80", true
	peer := chivedirectory.New(grace)
	peer.Replace(now, []chivedirectory.Change{changeWithStart(10, "a", 5000)}, 11)
	peer.Apply(now, restarted)
	node := chivedirectory.New(grace)
	node.Learn(now, peer.Update(now, node.Newest()))
	compareAfterDeferral(t, now, peer, node)
}

// Guards against an endpoint that a started node never learns: the peer had deferred its record after the removal of a later
// incarnation, did not send it, and sent a later change of another endpoint.
func TestNodeThatReadsOnLearnsOfDeferredReturn(t *testing.T) {
	now := time.Now()
	peer := chivedirectory.New(grace)
	peer.Replace(now, []chivedirectory.Change{changeWithStart(10, "a", 5000), change(3, "b")}, 11)
	peer.Apply(now, removal(12, "a"))
	peer.Apply(now, changeWithStart(20, "a", 1000))
	peer.Apply(now, change(21, "b"))
	node := chivedirectory.New(grace)
	node.Learn(now, peer.Update(now, node.Newest()))
	compareAfterDeferral(t, now, peer, node)
}

// compareAfterDeferral has the node read on from what it knows, which brings nothing, and compares it with its peer once
// the peer has applied what it deferred.
func compareAfterDeferral(t *testing.T, now time.Time, peer, node *chivedirectory.Directory) {
	t.Helper()
	now = now.Add(afterDeferral)
	peer.Expire(now)
	node.Expire(now)
	if node.Newest() < peer.Newest() {
		node.Learn(now, peer.Update(now, node.Newest()))
	}
	if fmt.Sprint(node.Endpoints()) != fmt.Sprint(peer.Endpoints()) {
		t.Errorf("the node knows %+v at %d, its peer %+v at %d", node.Endpoints(), node.Newest(), peer.Endpoints(), peer.Newest())
	}
}

// Guards against a removal that a node never learns, because the deferred record of a restored copy, from a later page of
// its peer's snapshot, made the node count as further than the peer was.
func TestDeferredRecordOfLaterPageDoesNotHideChanges(t *testing.T) {
	now := time.Now()
	restored := func(offset int64, id string) chivedirectory.Change {
		c := change(offset, id)
		c.Position = chivelog.NewPosition(2, offset)
		return c
	}
	peer := chivedirectory.New(grace)
	peer.Replace(now, []chivedirectory.Change{change(3, "a"), change(4, "b")}, 10)
	peer.Apply(now, removal(15, "b"))
	// The page that lists a ends at position 10 of the copy. Before the page that lists b, a is removed at 12 and b written at 14.
	peer.Replace(now, []chivedirectory.Change{restored(3, "a"), restored(14, "b")}, chivelog.NewPosition(2, 10))
	node := chivedirectory.New(grace)
	node.Learn(now, peer.Update(now, node.Newest()))
	if node.Newest() > peer.Newest() {
		t.Errorf("the node counts as having all changes up to %d, its peer up to %d: it never requests nor reads those between",
			node.Newest().Offset(), peer.Newest().Offset())
	}
}

// TestNodesThatReadOnAgree is TestUpToDateNodesAgree with nodes that start from what peers send and read on from there, and with
// snapshots of which the second page is later than the first.
func TestNodesThatReadOnAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Now()
		var log []chivedirectory.Change
		nodes, read := make([]*chivedirectory.Directory, 4), make([]int, 4)
		for i := range nodes {
			nodes[i], read[i] = chivedirectory.New(grace), -1
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.SampledFrom([]int{0, 100, 3000, 200_000}).Draw(t, "pause")) * time.Millisecond)
			n := rapid.IntRange(0, len(nodes)-1).Draw(t, "node")
			switch rapid.IntRange(0, 6).Draw(t, "action") {
			case 0, 1:
				id := fmt.Sprintf("e%d", rapid.IntRange(0, 4).Draw(t, "id"))
				if _, ok := presentAt(log, len(log))[id]; ok && rapid.Bool().Draw(t, "removed") {
					log = append(log, removal(int64(len(log)), id))
				} else {
					log = append(log, change(int64(len(log)), id))
				}
			case 2:
				if read[n] < 0 && nodes[n].Newest() >= 0 {
					read[n] = int(nodes[n].Newest()) + 1
				}
				if read[n] < 0 {
					end := max(0, len(log)-rapid.IntRange(0, 4).Draw(t, "late"))
					split := fmt.Sprintf("e%d", rapid.IntRange(0, 5).Draw(t, "split"))
					nodes[n].Replace(now, pagedSnapshot(log, end, split), chivelog.Position(end))
					read[n] = end
					break
				}
				until := min(len(log), read[n]+rapid.IntRange(0, 10).Draw(t, "records"))
				for ; read[n] < until; read[n]++ {
					c := log[read[n]]
					c.Read = true
					nodes[n].Learn(now, chivedirectory.Update{Changes: []chivedirectory.Change{c}})
				}
			case 3:
				nodes[n], read[n] = chivedirectory.New(grace), -1
			case 4:
				nodes[n].Expire(now)
			default:
				other := nodes[rapid.IntRange(0, len(nodes)-1).Draw(t, "other")]
				if own := nodes[n].Newest(); own < other.Newest() {
					nodes[n].Learn(now, other.Update(now, own))
				}
			}
			for i, d := range nodes {
				// A node in the middle of its own reads may know more of the log from peers; it is complete once it has read to there.
				hasRead := read[i] < 0 || read[i] > int(d.Newest())
				isComplete := len(log) > 0 && (read[i] == len(log) || hasRead && d.Newest() == chivelog.Position(len(log))-1)
				if present := presentAt(log, len(log)); isComplete && !matches(d, present) {
					t.Fatalf("node %d read up to %d, at %d, knows %+v; the store has %v", i, read[i], d.Newest(), d.Endpoints(), present)
				}
			}
		}
	})
}

func presentAt(log []chivedirectory.Change, end int) map[string]chivedirectory.Change {
	present := make(map[string]chivedirectory.Change)
	for _, c := range log[:end] {
		delete(present, c.Endpoint.ID)
		if !c.Gone {
			present[c.Endpoint.ID] = c
		}
	}
	return present
}

// pagedSnapshot returns the endpoints before split at the position end, and the others now.
func pagedSnapshot(log []chivedirectory.Change, end int, split string) []chivedirectory.Change {
	var snapshot []chivedirectory.Change
	for id, c := range presentAt(log, end) {
		if id < split {
			snapshot = append(snapshot, c)
		}
	}
	for id, c := range presentAt(log, len(log)) {
		if id >= split {
			snapshot = append(snapshot, c)
		}
	}
	return snapshot
}
