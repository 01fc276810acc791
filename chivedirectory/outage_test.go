package chivedirectory_test

import (
	"slices"
	"testing"
	"time"

	"chivedrift/chivedirectory"

	"pgregory.net/rapid"
)

// timesEverySecond returns one answer time per second between two times.
func timesEverySecond(from, to time.Time) (times []time.Time) {
	for m := from; !m.After(to); m = m.Add(time.Second) {
		times = append(times, m)
	}
	return times
}

// directoryAfterOutage returns the directory of a node that knows endpoint a and got no answer from the store for 12 s.
func directoryAfterOutage() (d *chivedirectory.Directory, start, back time.Time) {
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
func TestDisconnectedNodeHasNoGracePeriod(t *testing.T) {
	d, start, back := directoryAfterOutage()
	d.HearAnswers(timesEverySecond(start, back))
	if !d.Apply(back.Add(1200*time.Millisecond), removal(2, "a")) || len(d.Endpoints()) != 0 {
		t.Error("removed endpoint was kept, although the store had answered other nodes throughout")
	}
}

// Answers of the store to peers may arrive after the removal. The entry is dropped as soon as they show that only this
// node was cut off.
func TestPeerAnswersAfterRemoval(t *testing.T) {
	d, start, back := directoryAfterOutage()
	d.Apply(back, removal(2, "a"))
	if len(d.Endpoints()) != 1 {
		t.Fatal("dropped before the answers to peers showed that the store had been up")
	}
	if d.Staleness(back) != 12*time.Second {
		t.Errorf("answers to peers needed for the last %v, want since the last answer", d.Staleness(back))
	}
	d.HearAnswers(timesEverySecond(start, back))
	if !d.Expire(back.Add(50*time.Millisecond)) || len(d.Endpoints()) != 0 || d.Staleness(back) != 0 {
		t.Error("kept, although the store had answered other nodes throughout")
	}
}

// Guards against dropping live endpoints after a store outage that one node saw only in part.
func TestPartlySeenOutageHasGracePeriod(t *testing.T) {
	d, start, back := directoryAfterOutage()
	d.HearAnswers(timesEverySecond(start, start.Add(4*time.Second)))
	d.HearAnswers(timesEverySecond(start.Add(11*time.Second), back))
	d.Apply(back, removal(2, "a"))
	if len(d.Endpoints()) != 1 {
		t.Error("lapsed entry was dropped, although the store had been back for only 1 s")
	}
}

// Guards against a grace period that begins when a node reconnects instead of when the store is back.
func TestGracePeriodStartsWithStoreNotReconnect(t *testing.T) {
	d, start, back := directoryAfterOutage()
	d.HearAnswers(timesEverySecond(start.Add(8*time.Second), back))
	if !d.Apply(back.Add(100*time.Millisecond), removal(2, "a")) {
		t.Error("kept, although the store was back 4 s before the removal")
	}
}

// A read that is never answered does not count as an outage while the store answers other reads of this node.
func TestOtherAnswersShowStoreIsUp(t *testing.T) {
	start := time.Now()
	d := chivedirectory.New(grace)
	d.StoreAnswered(start)
	d.Apply(start, change(1, "a"))
	d.StoreLost()
	back := start.Add(4 * time.Second)
	for _, m := range timesEverySecond(start, back) {
		d.StoreHeard(m)
	}
	d.StoreAnswered(back)
	if !d.Apply(back, removal(2, "a")) {
		t.Error("kept, although the store answered this node throughout")
	}
}

// While the store refuses this node and serves others, a removal reported by a peer applies at once.
func TestRefusedNodeAppliesPeerRemoval(t *testing.T) {
	start := time.Now()
	d := chivedirectory.New(grace)
	d.StoreAnswered(start)
	d.Apply(start, change(1, "a"))
	d.StoreLost()
	now := start.Add(6 * time.Second)
	d.HearAnswers(timesEverySecond(start, now))
	if !d.Apply(now, removal(2, "a")) {
		t.Error("removal reported by a peer was not applied")
	}
}

// Guards against a peer's report that an entry is missing, if it overrides the removal that this node has read itself.
func TestOwnReadOverridesPeersMissing(t *testing.T) {
	now := time.Now()
	d := chivedirectory.New(grace)
	d.Apply(now, change(1, "a"))
	missing := change(2, "a")
	missing.Missing, missing.Keep = true, grace
	d.Apply(now, missing)
	read := removal(2, "a")
	read.Read = true
	if !d.Apply(now, read) || len(d.Endpoints()) != 0 {
		t.Error("kept because of a peer's report, although this node read the removal itself")
	}
}

// history is a random history of one node: outages of the store, disconnections of the node, and an endpoint that is
// removed or lapses. Times are in steps.
type history struct {
	start              time.Time
	outages            [][2]int
	disconnections     [][2]int
	removal            int
	peerAnswerInterval int
}

// historySteps is the length of a history in steps of 0.1 s.
const historySteps = 400

func drawSpans(t *rapid.T, name string, minLength, maxLength int) (spans [][2]int) {
	for range rapid.IntRange(0, 3).Draw(t, name) {
		from := rapid.IntRange(10, historySteps-120).Draw(t, name+" from")
		spans = append(spans, [2]int{from, from + rapid.IntRange(minLength, maxLength).Draw(t, name+" for")})
	}
	return spans
}

func inSpans(spans [][2]int, step int) bool {
	return slices.ContainsFunc(spans, func(s [2]int) bool { return step >= s[0] && step < s[1] })
}

func (h *history) at(step int) time.Time {
	return h.start.Add(time.Duration(step) * 100 * time.Millisecond)
}

// sinceOutage returns how many steps ago the store was last down, or historySteps if never.
func (h *history) sinceOutage(step int) int {
	for s := step; s >= 0; s-- {
		if inSpans(h.outages, s) {
			return step - s
		}
	}
	return historySteps
}

// historyRun is the state of one run of a history.
type historyRun struct {
	history     *history
	directory   *chivedirectory.Directory
	peerAnswers []time.Time
	connected   bool
	readRemoval bool
	renewed     bool
	// readAt is the step at which the node read the removal; -1 before.
	readAt int
}

// run steps through the history. It returns the steps at which the endpoint was dropped and at which the removal was
// read, or -1. A lapsed entry is written again 2 s after the store's return.
func (h *history) run(lapses bool) (droppedAt, readAt int) {
	r := &historyRun{history: h, directory: chivedirectory.New(grace), connected: true, readAt: -1}
	r.directory.Apply(h.start, change(1, "a"))
	for step := range historySteps {
		reads := r.exchangeAnswers(step)
		if reads {
			r.readStore(step, lapses)
		}
		r.directory.Expire(h.at(step))
		if r.readRemoval && len(r.directory.Endpoints()) == 0 {
			return step, r.readAt
		}
	}
	return -1, r.readAt
}

// exchangeAnswers simulates the answers of the store to this node and its peers in a step, and reports whether it
// answers this node.
func (r *historyRun) exchangeAnswers(step int) (reads bool) {
	now, storeUp, isDisconnected := r.history.at(step), !inSpans(r.history.outages, step), inSpans(r.history.disconnections, step)
	if storeUp && step%r.history.peerAnswerInterval == 0 {
		r.peerAnswers = append(r.peerAnswers, now)
	}
	reads = storeUp && !isDisconnected
	if reads {
		r.directory.StoreAnswered(now)
	} else if r.connected {
		r.directory.StoreLost()
	}
	r.connected = reads
	if r.directory.Staleness(now) > 0 && !isDisconnected {
		r.directory.HearAnswers(r.peerAnswers)
	}
	return reads
}

// readStore simulates what the node reads about the endpoint in a step.
func (r *historyRun) readStore(step int, lapses bool) {
	if !r.readRemoval && step >= r.history.removal {
		r.readRemoval, r.readAt = true, step
		removed := removal(2, "a")
		removed.Read = true
		r.directory.Apply(r.history.at(step), removed)
	}
	if lapses && r.readRemoval && !r.renewed && r.history.sinceOutage(step) >= 20 {
		r.renewed = true
		r.directory.Apply(r.history.at(step), change(3, "a"))
	}
}

// A node in contact with the store drops a removed endpoint at once. After a disconnection or an outage it drops it at
// the latest when the grace period after the return of the store or of the node is over.
func TestRemovedEndpointIsDroppedInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &history{start: time.Now(), outages: drawSpans(t, "outage", 25, 80), disconnections: drawSpans(t, "disconnection", 1, 100), removal: rapid.IntRange(5, historySteps-110).Draw(t, "removal"), peerAnswerInterval: rapid.IntRange(1, 12).Draw(t, "peers")}
		dropped, readAt := h.run(false)
		if readAt < 0 {
			t.Skip("the node never reads the removal")
		}
		bound := readAt + 22
		if h.sinceOutage(readAt) > 130 {
			// No outage is recent enough to overlap a disconnection that ends here. Disconnections of this node alone
			// give no grace period.
			bound = readAt + 1
		}
		undisturbed := true
		for step := readAt; step <= bound && step < historySteps; step++ {
			undisturbed = undisturbed && !inSpans(h.outages, step) && !inSpans(h.disconnections, step)
		}
		if undisturbed && (dropped < 0 || dropped > bound) {
			t.Fatalf("read at step %d, dropped at %d, bound %d", readAt, dropped, bound)
		}
	})
}

// An endpoint whose entry only lapsed during an outage of the store is never dropped, whatever disconnections of this
// node overlap the outage.
func TestLapsedEndpointIsNeverDropped(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from := rapid.IntRange(20, 150).Draw(t, "outage from")
		to := from + rapid.IntRange(25, 80).Draw(t, "outage for")
		h := &history{start: time.Now(), outages: [][2]int{{from, to}}, removal: rapid.IntRange(from+24, to+5).Draw(t, "lapse"), peerAnswerInterval: rapid.IntRange(1, 12).Draw(t, "peers")}
		// The disconnection ends with or before the outage, so the node reads the lapse within the grace period.
		disconnectedFrom := rapid.IntRange(5, to-1).Draw(t, "disconnection from")
		h.disconnections = [][2]int{{disconnectedFrom, rapid.IntRange(disconnectedFrom, to).Draw(t, "disconnection to")}}
		if dropped, _ := h.run(true); dropped >= 0 {
			t.Fatalf("dropped at step %d, the store was down from %d to %d, the node disconnected %v", dropped, from, to, h.disconnections)
		}
	})
}
