package chivedirectory_test

import (
	"slices"
	"testing"
	"time"

	"chivedrift/chivedirectory"

	"pgregory.net/rapid"
)

// everySecond are the moments at which the store answered another node: once a second from one moment to another.
func everySecond(from, to time.Time) (moments []time.Time) {
	for m := from; !m.After(to); m = m.Add(time.Second) {
		moments = append(moments, m)
	}
	return moments
}

// afterTwelveSeconds is a directory with endpoint a whose node lost the store for twelve seconds and has it back.
func afterTwelveSeconds() (d *chivedirectory.Directory, start, back time.Time) {
	start = time.Now()
	back = start.Add(12 * time.Second)
	d = chivedirectory.New(grace)
	d.StoreAnswered(start)
	d.Apply(start, change(1, "a"))
	d.StoreLost()
	d.StoreAnswered(back)
	return d, start, back
}

// Guards against a removed endpoint that stays in use at a node whose own partition counted as a store outage.
func TestOwnCutGivesNoGrace(t *testing.T) {
	d, start, back := afterTwelveSeconds()
	d.HearAnswers(everySecond(start, back))
	if !d.Apply(back.Add(1200*time.Millisecond), gone(2, "a")) || len(d.Endpoints()) != 0 {
		t.Error("an endpoint that left was kept, although the store had answered other nodes all the while")
	}
}

// The peers' answers may come after the removal: then the entry goes as soon as they show that the cut was this node's own.
func TestOwnCutShownAfterTheRemoval(t *testing.T) {
	d, start, back := afterTwelveSeconds()
	d.Apply(back, gone(2, "a"))
	if len(d.Endpoints()) != 1 {
		t.Fatal("dropped before anybody told that the store had been there")
	}
	if d.Staleness(back) != 12*time.Second {
		t.Errorf("stale for %v, want since the last answer", d.Staleness(back))
	}
	d.HearAnswers(everySecond(start, back))
	if !d.Expire(back.Add(50*time.Millisecond)) || len(d.Endpoints()) != 0 || d.Staleness(back) != 0 {
		t.Error("kept, although the store had answered other nodes all the while")
	}
}

// Guards against dropping live endpoints after a store outage that one node saw only in part.
func TestAnswersAroundAnOutageGiveGrace(t *testing.T) {
	d, start, back := afterTwelveSeconds()
	d.HearAnswers(everySecond(start, start.Add(4*time.Second)))
	d.HearAnswers(everySecond(start.Add(11*time.Second), back))
	d.Apply(back, gone(2, "a"))
	if len(d.Endpoints()) != 1 {
		t.Error("a lapsed entry was dropped, although the store had been back for a second only")
	}
}

// Guards against a grace period that begins when a node reconnects instead of when the store is back.
func TestGraceBeginsWithTheStoresReturn(t *testing.T) {
	d, start, back := afterTwelveSeconds()
	d.HearAnswers(everySecond(start.Add(8*time.Second), back))
	if !d.Apply(back.Add(100*time.Millisecond), gone(2, "a")) {
		t.Error("kept, although the store was back four seconds before the removal")
	}
}

// A read that is never answered is no outage while the store answers this node's other reads.
func TestOtherAnswersShowThatTheStoreIsUp(t *testing.T) {
	start := time.Now()
	d := chivedirectory.New(grace)
	d.StoreAnswered(start)
	d.Apply(start, change(1, "a"))
	d.StoreLost()
	back := start.Add(4 * time.Second)
	for _, m := range everySecond(start, back) {
		d.StoreHeard(m)
	}
	d.StoreAnswered(back)
	if !d.Apply(back, gone(2, "a")) {
		t.Error("kept, although the store answered this node all the while")
	}
}

// While the store turns this node away and serves others, their change that an endpoint is gone counts at once.
func TestTurnedAwayNodeBelievesItsPeers(t *testing.T) {
	start := time.Now()
	d := chivedirectory.New(grace)
	d.StoreAnswered(start)
	d.Apply(start, change(1, "a"))
	d.StoreLost()
	now := start.Add(6 * time.Second)
	d.HearAnswers(everySecond(start, now))
	if !d.Apply(now, gone(2, "a")) {
		t.Error("a peer's change of a removal was not believed")
	}
}

// Guards against a peer's "missing" that outranks the removal this node has read itself.
func TestOwnReadingEndsAPeersStaleness(t *testing.T) {
	now := time.Now()
	d := chivedirectory.New(grace)
	d.Apply(now, change(1, "a"))
	missing := change(2, "a")
	missing.Missing, missing.Keep = true, grace
	d.Apply(now, missing)
	read := gone(2, "a")
	read.Read = true
	if !d.Apply(now, read) || len(d.Endpoints()) != 0 {
		t.Error("kept for a peer's sake although this node read the removal itself")
	}
}

// history is a random course of one node's life: the store down for all, this node cut off, an endpoint that leaves or lapses.
type history struct {
	start    time.Time
	outages  [][2]int
	cuts     [][2]int
	removal  int
	peersGap int
}

// seconds of the history; steps are tenths.
const historySteps = 400

func drawSpans(t *rapid.T, name string, least, most int) (spans [][2]int) {
	for range rapid.IntRange(0, 3).Draw(t, name) {
		from := rapid.IntRange(10, historySteps-120).Draw(t, name+" from")
		spans = append(spans, [2]int{from, from + rapid.IntRange(least, most).Draw(t, name+" for")})
	}
	return spans
}

func within(spans [][2]int, step int) bool {
	return slices.ContainsFunc(spans, func(s [2]int) bool { return step >= s[0] && step < s[1] })
}

func (h *history) at(step int) time.Time {
	return h.start.Add(time.Duration(step) * 100 * time.Millisecond)
}

// sinceOutage is how many steps ago the store was last down, far more than any bound when it never was.
func (h *history) sinceOutage(step int) int {
	for s := step; s >= 0; s-- {
		if within(h.outages, s) {
			return step - s
		}
	}
	return historySteps
}

// course is one play of a history.
type course struct {
	h       *history
	d       *chivedirectory.Directory
	others  []time.Time
	up      bool
	told    bool
	renewed bool
	// reachable is the step at which the node read the removal; -1 before.
	reachable int
}

// play steps through the history and returns the steps at which the endpoint was dropped and at which the removal was read, or -1. A
// lapsed entry is back two seconds after the store's return.
func (h *history) play(lapses bool) (droppedAt, reachable int) {
	c := &course{h: h, d: chivedirectory.New(grace), up: true, reachable: -1}
	c.d.Apply(h.start, change(1, "a"))
	for step := range historySteps {
		reads := c.contact(step)
		if reads {
			c.read(step, lapses)
		}
		c.d.Expire(h.at(step))
		if c.told && len(c.d.Endpoints()) == 0 {
			return step, c.reachable
		}
	}
	return -1, c.reachable
}

// contact plays the store's and the peers' answers of a step and reports whether the store answers this node.
func (c *course) contact(step int) (reads bool) {
	now, storeUp, isCut := c.h.at(step), !within(c.h.outages, step), within(c.h.cuts, step)
	if storeUp && step%c.h.peersGap == 0 {
		c.others = append(c.others, now)
	}
	reads = storeUp && !isCut
	if reads {
		c.d.StoreAnswered(now)
	} else if c.up {
		c.d.StoreLost()
	}
	c.up = reads
	if c.d.Staleness(now) > 0 && !isCut {
		c.d.HearAnswers(c.others)
	}
	return reads
}

// read plays what the node reads of the endpoint.
func (c *course) read(step int, lapses bool) {
	if !c.told && step >= c.h.removal {
		c.told, c.reachable = true, step
		removed := gone(2, "a")
		removed.Read = true
		c.d.Apply(c.h.at(step), removed)
	}
	if lapses && c.told && !c.renewed && c.h.sinceOutage(step) >= 20 {
		c.renewed = true
		c.d.Apply(c.h.at(step), change(3, "a"))
	}
}

// An endpoint that left is dropped at once by a node in contact with the store, and after any cut or outage at the latest when the
// grace time after the store's or the node's return is over.
func TestLeftEndpointIsDroppedInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &history{start: time.Now(), outages: drawSpans(t, "outage", 25, 80), cuts: drawSpans(t, "cut", 1, 100), removal: rapid.IntRange(5, historySteps-110).Draw(t, "removal"), peersGap: rapid.IntRange(1, 12).Draw(t, "peers")}
		dropped, reachable := h.play(false)
		if reachable < 0 {
			t.Skip("the node never reads the removal")
		}
		bound := reachable + 22
		if h.sinceOutage(reachable) > 130 {
			// No outage for all within any cut that could reach back to it: only cuts of this node, which give no grace.
			bound = reachable + 1
		}
		calm := true
		for step := reachable; step <= bound && step < historySteps; step++ {
			calm = calm && !within(h.outages, step) && !within(h.cuts, step)
		}
		if calm && (dropped < 0 || dropped > bound) {
			t.Fatalf("read at step %d, dropped at %d, bound %d", reachable, dropped, bound)
		}
	})
}

// An endpoint whose entry only lapsed while the store was down for all is never dropped, whatever cuts of this node come beside it.
func TestLapsedEndpointIsNeverDropped(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from := rapid.IntRange(20, 150).Draw(t, "outage from")
		to := from + rapid.IntRange(25, 80).Draw(t, "outage for")
		h := &history{start: time.Now(), outages: [][2]int{{from, to}}, removal: rapid.IntRange(from+24, to+5).Draw(t, "lapse"), peersGap: rapid.IntRange(1, 12).Draw(t, "peers")}
		// A cut that ends with or before the outage: the node then meets the lapse in the grace time.
		cutFrom := rapid.IntRange(5, to-1).Draw(t, "cut from")
		h.cuts = [][2]int{{cutFrom, rapid.IntRange(cutFrom, to).Draw(t, "cut to")}}
		if dropped, _ := h.play(true); dropped >= 0 {
			t.Fatalf("dropped at step %d, the store was down from %d to %d, the node cut off %v", dropped, from, to, h.cuts)
		}
	})
}
