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

// readOnHistory is a store's log and nodes that follow it, of which read is the offset that each reads next, -1 before its
// first read.
type readOnHistory struct {
	t     *rapid.T
	now   time.Time
	log   []chivedirectory.Change
	nodes []*chivedirectory.Directory
	read  []int
}

// Guards against a node that starts from what peers send, reads on from there, and misses a change, with snapshots of which
// the second page is later than the first.
func TestNodesThatReadOnAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &readOnHistory{t: t, now: time.Now(), nodes: make([]*chivedirectory.Directory, 4), read: make([]int, 4)}
		for i := range h.nodes {
			h.restart(i)
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			h.now = h.now.Add(time.Duration(rapid.SampledFrom([]int{0, 100, 3000, 200_000}).Draw(t, "pause")) * time.Millisecond)
			n := rapid.IntRange(0, len(h.nodes)-1).Draw(t, "node")
			switch rapid.IntRange(0, 6).Draw(t, "action") {
			case 0, 1:
				h.write()
			case 2:
				h.readStore(n)
			case 3:
				h.restart(n)
			case 4:
				h.nodes[n].Expire(h.now)
			default:
				h.learn(n, rapid.IntRange(0, len(h.nodes)-1).Draw(t, "other"))
			}
			for i := range h.nodes {
				h.check(i)
			}
		}
	})
}

// write appends a record that registers or removes an endpoint.
func (h *readOnHistory) write() {
	id := fmt.Sprintf("e%d", rapid.IntRange(0, 4).Draw(h.t, "id"))
	if _, ok := presentAt(h.log, len(h.log))[id]; ok && rapid.Bool().Draw(h.t, "removed") {
		h.log = append(h.log, removal(int64(len(h.log)), id))
		return
	}
	h.log = append(h.log, change(int64(len(h.log)), id))
}

// readStore has a node read some records; one without any takes a snapshot.
func (h *readOnHistory) readStore(n int) {
	node := h.nodes[n]
	if h.read[n] < 0 && node.Newest() >= 0 {
		h.read[n] = int(node.Newest()) + 1
	}
	if h.read[n] < 0 {
		end := max(0, len(h.log)-rapid.IntRange(0, 4).Draw(h.t, "late"))
		split := fmt.Sprintf("e%d", rapid.IntRange(0, 5).Draw(h.t, "split"))
		node.Replace(h.now, pagedSnapshot(h.log, end, split), chivelog.Position(end))
		h.read[n] = end
		return
	}
	until := min(len(h.log), h.read[n]+rapid.IntRange(0, 10).Draw(h.t, "records"))
	for ; h.read[n] < until; h.read[n]++ {
		c := h.log[h.read[n]]
		c.Read = true
		node.Learn(h.now, chivedirectory.Update{Changes: []chivedirectory.Change{c}})
	}
}

func (h *readOnHistory) restart(n int) { h.nodes[n], h.read[n] = chivedirectory.New(grace), -1 }

// learn has a node request what another one has beyond it.
func (h *readOnHistory) learn(n, other int) {
	if own := h.nodes[n].Newest(); own < h.nodes[other].Newest() {
		h.nodes[n].Learn(h.now, h.nodes[other].Update(h.now, own))
	}
}

// check compares a node with the store if it is to know everything. In the middle of its own reads it may know more of the log
// from peers.
func (h *readOnHistory) check(n int) {
	node, read := h.nodes[n], h.read[n]
	hasRead := read < 0 || read > int(node.Newest())
	isComplete := len(h.log) > 0 && (read == len(h.log) || hasRead && node.Newest() == chivelog.Position(len(h.log))-1)
	if present := presentAt(h.log, len(h.log)); isComplete && !matches(node, present) {
		h.t.Fatalf("node %d read up to %d, at %d, knows %+v; the store has %v", n, read, node.Newest(), node.Endpoints(), present)
	}
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
