package chivedirectory_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"chivedrift/chivedirectory"
	"chivedrift/chivelog"
)

// deferralSeeds is the number of random histories of each kind to run.
var deferralSeeds = flag.Uint64("deferral.seeds", 200, "number of random histories with deferred records")

const (
	// deferralHop is the time between two exchanges of a node with its peers, and contradiction the maximum time after
	// which a late write is contradicted by the live process.
	deferralHop   = 400 * time.Millisecond
	contradiction = 4 * time.Second
	// renewal is the maximum time after a restore in which live processes write their entries again, lapse the time after
	// which the entries of the others are removed.
	renewal = 2 * time.Second
	lapse   = 3600 * time.Millisecond
	// deferralQuiet is how long nothing is written at the end of a history.
	deferralQuiet = 40 * time.Second
)

// startTimes are the start times of the processes in a history.
type startTimes struct {
	name string
	// setBack allows clocks that are set back between two starts, unknown processes without a start time.
	setBack, unknown bool
	removals         bool
	lateWrites       bool
	// snapshots lets nodes start from a snapshot with a later page, restores lets the store lose its newest records.
	snapshots bool
	restores  bool
}

// deferralHistory is a store's log and nodes of which the first reads it and the others learn from it and from each other.
type deferralHistory struct {
	t      *testing.T
	random *rand.Rand
	kind   startTimes
	now    time.Time
	log    []chivedirectory.Change
	// live is the newest start of each endpoint; endedAt is the offset of the first record of the process that followed.
	live    map[string]chivedirectory.Endpoint
	endedAt map[string]int
	starts  int64
	// rewriteAt is when the live process of an endpoint contradicts a late write, or its entry lapses if there is none.
	rewriteAt map[string]time.Time
	era       int64
	nodes     []*chivedirectory.Directory
	// read is the offset that each node reads next if it reads the store.
	read int
}

func newDeferralHistory(t *testing.T, seed uint64, kind startTimes) *deferralHistory {
	t.Helper()
	h := &deferralHistory{
		t: t, random: rand.New(rand.NewPCG(seed, 7)), kind: kind, now: time.Unix(1000, 0), live: make(map[string]chivedirectory.Endpoint),
		endedAt: make(map[string]int), era: 1, rewriteAt: make(map[string]time.Time), nodes: make([]*chivedirectory.Directory, 5),
	}
	for i := range h.nodes {
		h.nodes[i] = chivedirectory.New(chivedirectory.DefaultGrace)
	}
	return h
}

func (h *deferralHistory) write(c chivedirectory.Change) {
	c.Position, c.Read = chivelog.NewPosition(h.era, int64(len(h.log))), true
	h.log = append(h.log, c)
}

// start starts a process of an endpoint, or the next one after it.
func (h *deferralHistory) start(id string) {
	h.starts++
	born := 1_000_000 + h.starts
	switch {
	case h.kind.setBack && h.random.IntN(2) == 0:
		born = 1_000_000 - h.starts
	case h.kind.unknown && h.random.IntN(2) == 0:
		born = 0
	}
	if before, ok := h.live[id]; ok {
		h.endedAt[before.Address] = len(h.log)
	}
	h.live[id] = chivedirectory.Endpoint{ID: id, Pool: "p", Address: fmt.Sprintf("%s-%d", id, h.starts), Born: born}
	delete(h.rewriteAt, id)
	h.write(chivedirectory.Change{Endpoint: h.live[id]})
}

func (h *deferralHistory) act() {
	id := fmt.Sprintf("e%d", h.random.IntN(3))
	_, isLive := h.live[id]
	switch action := h.random.IntN(4); {
	case !isLive || action == 0:
		h.start(id)
	case action == 1 && h.kind.removals:
		h.endedAt[h.live[id].Address] = len(h.log)
		delete(h.live, id)
		delete(h.rewriteAt, id)
		h.write(chivedirectory.Change{Gone: true, Endpoint: chivedirectory.Endpoint{ID: id}})
	case action == 2 && h.kind.lateWrites:
		h.writeLate(id)
	}
}

// writeLate writes the record of an ended process of an endpoint once more.
func (h *deferralHistory) writeLate(id string) {
	for _, c := range h.log {
		if _, ended := h.endedAt[c.Endpoint.Address]; ended && !c.Gone && c.Endpoint.ID == id && c.Endpoint.Address != h.live[id].Address {
			h.write(chivedirectory.Change{Endpoint: c.Endpoint})
			if _, ok := h.rewriteAt[id]; !ok {
				h.rewriteAt[id] = h.now.Add(time.Duration(h.random.Int64N(int64(contradiction))))
			}
			return
		}
	}
}

// restore drops the newest records of the store. The live processes write their entries again, and those of the others lapse.
func (h *deferralHistory) restore() {
	h.era++
	h.log = slices.Clone(h.log[:max(0, len(h.log)-h.random.IntN(6))])
	for i := range h.log {
		h.log[i].Position = chivelog.NewPosition(h.era, int64(i))
	}
	present := presentAt(h.log, len(h.log))
	for id := range h.live {
		if present[id].Endpoint != h.live[id] {
			h.rewriteAt[id] = h.now.Add(time.Duration(h.random.Int64N(int64(renewal))))
		}
	}
	for id := range present {
		if _, ok := h.live[id]; !ok {
			h.rewriteAt[id] = h.now.Add(lapse)
		}
	}
	h.nodes[0].Replace(h.now, pagedSnapshot(h.log, len(h.log), ""), chivelog.NewPosition(h.era, int64(len(h.log))))
	h.read = len(h.log)
}

// takeSnapshot has a node start anew from a snapshot whose second page is later than the first.
func (h *deferralHistory) takeSnapshot(n int) {
	end := max(0, h.read-h.random.IntN(4))
	h.nodes[n] = chivedirectory.New(chivedirectory.DefaultGrace)
	h.nodes[n].Replace(h.now, pagedSnapshot(h.log[:h.read], end, fmt.Sprintf("e%d", h.random.IntN(4))), chivelog.NewPosition(h.era, int64(end)))
}

// pass lets time pass. The live processes contradict late writes, and the first node reads the store.
func (h *deferralHistory) pass(duration time.Duration) {
	for end := h.now.Add(duration); h.now.Before(end); h.now = h.now.Add(deferralHop) {
		for id, at := range h.rewriteAt {
			if !h.now.Before(at) {
				delete(h.rewriteAt, id)
				h.contradict(id)
			}
		}
		for ; h.read < len(h.log); h.read++ {
			h.nodes[0].Apply(h.now, h.log[h.read])
		}
		for i, n := range h.nodes {
			if h.neverSetBack() {
				h.learn(i, h.random.IntN(len(h.nodes)))
			}
			n.Expire(h.now)
			h.checkEnded(i)
		}
	}
}

// contradict writes the entry of the live process of an endpoint, or its removal if there is none.
func (h *deferralHistory) contradict(id string) {
	if live, ok := h.live[id]; ok {
		h.write(chivedirectory.Change{Endpoint: live})
		return
	}
	h.write(chivedirectory.Change{Gone: true, Endpoint: chivedirectory.Endpoint{ID: id}})
}

// learn has a node request what another one has beyond it.
func (h *deferralHistory) learn(n, other int) {
	if own := h.nodes[n].Newest(); own < h.nodes[other].Newest() {
		h.nodes[n].Learn(h.now, h.nodes[other].Update(h.now, own))
		h.checkEnded(n)
	}
}

// readOn has a node read the store from what it knows.
func (h *deferralHistory) readOn(n int) {
	newest := h.nodes[n].Newest()
	for i := int(newest.Offset()) + 1; newest >= 0 && newest.Era() == h.era && i < h.read; i++ {
		h.nodes[n].Apply(h.now, h.log[i])
	}
}

// neverSetBack reports whether each deferred record is a late write. The nodes then exchange changes at every hop, so that none of
// them applies a record whose contradiction it has not received.
func (h *deferralHistory) neverSetBack() bool { return !h.kind.setBack && !h.kind.unknown }

// checkEnded checks that a node does not use a process that has ended as far as the node has read. If clocks may be set back,
// the node cannot know that.
func (h *deferralHistory) checkEnded(n int) {
	if !h.neverSetBack() {
		return
	}
	for _, e := range h.nodes[n].Endpoints() {
		if end, ok := h.endedAt[e.Address]; ok && int(h.nodes[n].Newest()) >= end {
			h.t.Errorf("node %d uses %s of the log up to %d, which ended at %d", n, e.Address, h.nodes[n].Newest(), end)
		}
	}
}

func (h *deferralHistory) step() {
	n := h.random.IntN(len(h.nodes))
	switch h.random.IntN(9) {
	case 0, 1, 2:
		h.act()
	case 3:
		switch {
		case n == 0:
		case h.kind.snapshots && h.random.IntN(2) == 0:
			h.takeSnapshot(n)
		default:
			h.nodes[n] = chivedirectory.New(chivedirectory.DefaultGrace)
		}
	case 4:
		h.readOn(n)
	case 5:
		if h.kind.restores && h.random.IntN(4) == 0 {
			h.restore()
		}
	default:
		h.learn(n, h.random.IntN(len(h.nodes)))
	}
	h.pass([]time.Duration{0, 0, deferralHop, 3 * time.Second}[h.random.IntN(4)])
}

// wrongNodes returns how many nodes differ from the store after a quiet time.
func (h *deferralHistory) wrongNodes() (wrong int) {
	for end := h.now.Add(deferralQuiet); h.now.Before(end); {
		h.pass(deferralHop)
		for n := range h.nodes {
			h.learn(n, h.random.IntN(len(h.nodes)))
		}
	}
	want := presentAt(h.log, len(h.log))
	for _, d := range h.nodes {
		known := d.Endpoints()
		isWrong := len(known) != len(want)
		for _, e := range known {
			isWrong = isWrong || want[e.ID].Endpoint != e
		}
		if isWrong {
			wrong++
		}
	}
	return wrong
}

// Guards against nodes that keep another process of an endpoint than the store, or none, after a record was deferred, and
// against the use of late writes of processes that have ended.
func TestDeferredRecordsReachAllNodes(t *testing.T) {
	for _, kind := range []startTimes{
		{name: "later starts", lateWrites: true},
		{name: "later starts, removals", removals: true, lateWrites: true},
		{name: "earlier starts", setBack: true},
		{name: "earlier starts, removals", setBack: true, removals: true},
		{name: "unknown starts, removals", setBack: true, unknown: true, removals: true},
		{name: "all", setBack: true, unknown: true, removals: true, lateWrites: true},
		{name: "earlier starts, removals, snapshots", setBack: true, removals: true, lateWrites: true, snapshots: true},
		{name: "earlier starts, removals, restores", setBack: true, removals: true, lateWrites: true, restores: true},
		{name: "unknown starts, snapshots, restores", setBack: true, unknown: true, removals: true, lateWrites: true, snapshots: true, restores: true},
	} {
		t.Run(kind.name, func(t *testing.T) {
			wrong := 0
			for seed := range *deferralSeeds {
				h := newDeferralHistory(t, seed, kind)
				for range 40 {
					h.step()
				}
				n := h.wrongNodes()
				if n > 0 && wrong == 0 {
					t.Logf("seed %d: %d nodes differ from the store", seed, n)
				}
				wrong += n
				if t.Failed() {
					t.Fatalf("seed %d", seed)
				}
			}
			if wrong > 0 {
				t.Errorf("%d of %d nodes differ from the store", wrong, *deferralSeeds*5)
			}
		})
	}
}
