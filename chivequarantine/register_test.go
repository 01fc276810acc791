package chivequarantine_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"chivedrift/chivequarantine"
	"chivedrift/chiverequest"
)

const self = "10.0.0.1:1"

// history is a register with a clock and endpoints that are numbered as they end.
type history struct {
	t        *testing.T
	register *chivequarantine.Register
	now      time.Time
	endpoint int
}

func newHistory(t *testing.T) *history {
	t.Helper()
	return &history{t: t, register: chivequarantine.NewRegister(self), now: time.Unix(1000, 0)}
}

// end ends a new endpoint of a failure domain under some requests, as nodes in turn report.
func (h *history) end(domain string, reporters []string, contents ...chiverequest.Fingerprint) {
	h.endpoint++
	for i, c := range contents {
		h.register.AddCrash(h.now, chivequarantine.Crash{
			Content: c, Endpoint: fmt.Sprintf("e%d", h.endpoint), FailureDomain: domain, Reporter: reporters[(h.endpoint+i)%len(reporters)],
			Number: int64(h.endpoint), At: h.now,
		})
	}
	h.register.Decide()
}

// answer is a report of an answer to a request.
func (h *history) answer(content chiverequest.Fingerprint) chivequarantine.Answer {
	h.endpoint++
	return chivequarantine.Answer{Content: content, Reporter: self, Number: int64(h.endpoint), At: h.now}
}

func (h *history) pass(d time.Duration) {
	h.now = h.now.Add(d)
	h.register.Forget(h.now)
	h.register.Decide()
}

func (h *history) held(content chiverequest.Fingerprint) bool {
	_, held := h.register.QuarantinedUntil(content)
	return held
}

func (h *history) expect(held bool, contents ...chiverequest.Fingerprint) {
	h.t.Helper()
	for _, c := range contents {
		if h.held(c) != held {
			h.t.Errorf("%s: held back %v, want %v", string(c), h.held(c), held)
		}
	}
}

var two = []string{self, "10.0.0.2:1"}

func TestRequestIsHeldFromTheThirdEnd(t *testing.T) {
	h := newHistory(t)
	for i := range 3 {
		h.expect(false, "deadly")
		h.end(fmt.Sprintf("z%d", i), two, "deadly")
		h.pass(200 * time.Millisecond)
	}
	h.expect(true, "deadly")
}

// Guards against quarantining sound requests that ran beside the one that crashes engines.
func TestRequestsBesideAreNotHeld(t *testing.T) {
	h := newHistory(t)
	random := rand.New(rand.NewPCG(1, 2))
	beside := func() chiverequest.Fingerprint {
		return chiverequest.Fingerprint(fmt.Sprintf("beside%d", random.IntN(6)))
	}
	for i := range 16 {
		h.end(fmt.Sprintf("z%d", i%4), two, "deadly", beside(), beside())
		h.pass(200 * time.Millisecond)
	}
	h.expect(true, "deadly")
	for i := range 6 {
		h.expect(false, chiverequest.Fingerprint(fmt.Sprintf("beside%d", i)))
	}
}

// Two requests were on the same three engines, so one of them is held back by chance. The next end is under the other one, which tells.
func TestWrongOneOfTwoIsFreeAgainAtTheNextEnd(t *testing.T) {
	for _, guilty := range []chiverequest.Fingerprint{"a", "b"} {
		h := newHistory(t)
		for i := range 3 {
			h.end(fmt.Sprintf("z%d", i), two, "a", "b")
			h.pass(200 * time.Millisecond)
		}
		if h.register.Quarantined() != 1 {
			t.Fatalf("%d of two are held back, want 1", h.register.Quarantined())
		}
		if !h.held(guilty) {
			h.end("z1", two, guilty)
		}
		h.expect(true, guilty)
		if h.register.Quarantined() != 1 {
			t.Errorf("%d are held back, want 1", h.register.Quarantined())
		}
	}
}

// Guards against quarantining a request because one power loss took several of its engines.
func TestLossOfADomainIsOneEnd(t *testing.T) {
	h := newHistory(t)
	for range 5 {
		h.end("z1", two, "poll", "other")
		h.pass(20 * time.Millisecond)
	}
	h.expect(false, "poll", "other")
}

func TestAnsweredRequestIsFree(t *testing.T) {
	h := newHistory(t)
	for i := range 3 {
		h.end(fmt.Sprintf("z%d", i), two, "poll")
		h.pass(200 * time.Millisecond)
		h.register.AddAnswer(h.now, h.answer("poll"))
	}
	h.expect(false, "poll")
	for i := range 3 {
		h.pass(200 * time.Millisecond)
		h.end(fmt.Sprintf("z%d", i), two, "poll")
	}
	h.expect(false, "poll")
	// What ends long after the last answer speaks against it again.
	h.pass(time.Minute)
	for i := range 3 {
		h.pass(200 * time.Millisecond)
		h.end(fmt.Sprintf("z%d", i), two, "poll")
	}
	h.expect(true, "poll")
	h.register.AddAnswer(h.now, h.answer("poll"))
	h.pass(0)
	h.expect(false, "poll")
	// An end of before, of which word comes late, does not bring the hold back.
	h.register.AddCrash(h.now, chivequarantine.Crash{Content: "poll", Endpoint: "late", Reporter: "10.0.0.3:1", At: h.now.Add(-time.Second)})
	h.pass(0)
	h.expect(false, "poll")
}

// A node that is cut off from the engines finds each refusing that it tries. It holds the request back for itself, and no other node does.
func TestWordOfOneNodeHoldsNothingElsewhere(t *testing.T) {
	h, elsewhere := newHistory(t), newHistory(t)
	for i := range 4 {
		h.end(fmt.Sprintf("z%d", i), []string{self}, "a")
		elsewhere.end(fmt.Sprintf("z%d", i), []string{"10.0.0.9:1"}, "a")
		h.pass(time.Second)
		elsewhere.pass(time.Second)
	}
	h.expect(true, "a")
	elsewhere.expect(false, "a")
	elsewhere.end("z1", []string{"10.0.0.8:1"}, "a")
	elsewhere.expect(true, "a")
}

func TestHoldGrowsWithEachFailedTrialAndEnds(t *testing.T) {
	h := newHistory(t)
	for i := range 3 {
		h.end(fmt.Sprintf("z%d", i), two, "a")
		h.pass(time.Second)
	}
	before := time.Duration(0)
	for trial := range 7 {
		until, held := h.register.QuarantinedUntil("a")
		length := until.Sub(h.now)
		if !held || length < before || length > 10*time.Minute {
			t.Fatalf("after %d trials: held %v for %v, before for %v", trial, held, length, before)
		}
		before = length
		h.pass(length + time.Second)
		h.end("z1", two, "a")
	}
	// Its caller does not come back.
	h.pass(15 * time.Minute)
	if !h.register.Empty() {
		t.Error("something is kept of a request that nobody sends any more")
	}
}

// Whatever the order in which a node hears of ends, it comes to hold the same back, for as long.
func TestHoldsDoNotDependOnTheOrderOfNews(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 7))
		start := time.Unix(1000, 0)
		var ends []chivequarantine.Crash
		for i := range 4 + random.IntN(12) {
			at := start.Add(time.Duration(random.IntN(60_000)) * time.Millisecond)
			for c := range 1 + random.IntN(4) {
				ends = append(ends, chivequarantine.Crash{
					Content: chiverequest.Fingerprint(fmt.Sprint(random.IntN(c + 2))), Endpoint: fmt.Sprint(i), FailureDomain: fmt.Sprint(i % 3),
					Reporter: two[random.IntN(2)], Number: int64(i), At: at,
				})
			}
		}
		now := start.Add(time.Minute)
		first := chivequarantine.NewRegister(self)
		for _, e := range ends {
			first.AddCrash(now, e)
			first.Decide()
		}
		second := chivequarantine.NewRegister(self)
		for _, i := range random.Perm(len(ends)) {
			second.AddCrash(now, ends[i])
			second.AddCrash(now, ends[i])
		}
		second.Decide()
		for c := range 6 {
			content := chiverequest.Fingerprint(fmt.Sprint(c))
			one, oneHeld := first.QuarantinedUntil(content)
			other, otherHeld := second.QuarantinedUntil(content)
			if oneHeld != otherHeld || !one.Equal(other) {
				t.Fatalf("seed %d, request %d: %v until %v and %v until %v", seed, c, oneHeld, one, otherHeld, other)
			}
		}
	}
}

// Guards against crash reports that circulate forever after a node has paused.
func TestReportThatWasLongUnderWayIsNotNew(t *testing.T) {
	h := newHistory(t)
	e := chivequarantine.Crash{Content: "a", Endpoint: "e", FailureDomain: "z", Reporter: "10.0.0.2:1", Number: 5, At: h.now}
	if !h.register.AddCrash(h.now, e) {
		t.Fatal("the first report was not taken")
	}
	for range 5 {
		h.pass(4 * time.Second)
		e.At = h.now
		if h.register.AddCrash(h.now, e) {
			t.Error("the same report was taken for a new one")
		}
	}
}

// A caller that sends thousands of different requests, each of which was on an engine that ended, uses no more memory than the bound.
func TestMemoryIsBounded(t *testing.T) {
	const bound = 2048
	h := newHistory(t)
	for i := range 3 {
		h.end(fmt.Sprintf("z%d", i), two, "deadly")
		h.pass(time.Second)
	}
	for i := range 3 * bound {
		h.end("z1", two, chiverequest.Fingerprint(fmt.Sprintf("r%d", i)))
	}
	if kept := len(h.register.Crashes()); kept > bound {
		t.Errorf("%d ends are kept, want %d at most", kept, bound)
	}
	h.expect(true, "deadly")
}

// Guards against sound requests that are quarantined when a proxy restarts, which looks like crashes of the endpoints behind it.
func TestAnswerOfTheEndpointRefutesItsCrash(t *testing.T) {
	h := newHistory(t)
	for i := range 3 {
		h.end(fmt.Sprintf("z%d", i), two, "sound")
		h.pass(200 * time.Millisecond)
	}
	h.expect(true, "sound")
	// What was sent before the crash may have been answered before it.
	if refuted := h.register.AddAlive("e3", h.now.Add(-200*time.Millisecond)); len(refuted) > 0 {
		t.Errorf("an answer to a request of before refuted the crash: %v", refuted)
	}
	h.pass(time.Second)
	if refuted := h.register.AddAlive("e3", h.now); len(refuted) != 1 {
		t.Errorf("the crash of e3 was refuted for %v", refuted)
	}
	h.pass(0)
	h.expect(false, "sound")
	// A delayed report of the same crash does not count any more.
	late := chivequarantine.Crash{Content: "sound", Endpoint: "e3", FailureDomain: "z2", Reporter: "10.0.0.7:1", Number: 9, At: h.now.Add(-time.Second)}
	if h.register.AddCrash(h.now, late) || !h.register.IsRefuted(late) {
		t.Error("a delayed report of a refuted crash was taken")
	}
	h.end("z2", two, "sound")
	h.expect(true, "sound")
}

// Whatever the order in which a node receives crashes and refutations, it comes to quarantine the same.
func TestRefutationsDoNotDependOnTheOrder(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 11))
		start := time.Unix(1000, 0)
		now := start.Add(time.Minute)
		var steps []func(*chivequarantine.Register)
		for i := range 6 + random.IntN(8) {
			at := start.Add(time.Duration(random.IntN(40_000)) * time.Millisecond)
			endpoint := fmt.Sprint(i)
			for c := range 1 + random.IntN(3) {
				crash := chivequarantine.Crash{
					Content: chiverequest.Fingerprint(fmt.Sprint(c)), Endpoint: endpoint, FailureDomain: fmt.Sprint(i % 3), Reporter: two[i%2], Number: int64(i), At: at,
				}
				steps = append(steps, func(r *chivequarantine.Register) { r.AddCrash(now, crash) })
			}
			if random.IntN(2) == 0 {
				steps = append(steps, func(r *chivequarantine.Register) {
					// The peer that knows of the refutation sends it to whoever reports the crash.
					r.AddAlive(endpoint, at.Add(2*time.Second))
				})
			}
		}
		first, second := chivequarantine.NewRegister(self), chivequarantine.NewRegister(self)
		for _, step := range steps {
			step(first)
		}
		for _, i := range random.Perm(len(steps)) {
			steps[i](second)
		}
		// What was refuted before its crash was known is refuted when the crash comes.
		for _, step := range steps {
			step(second)
		}
		first.Decide()
		second.Decide()
		for c := range 3 {
			content := chiverequest.Fingerprint(fmt.Sprint(c))
			one, oneHeld := first.QuarantinedUntil(content)
			other, otherHeld := second.QuarantinedUntil(content)
			if oneHeld != otherHeld || !one.Equal(other) {
				t.Fatalf("seed %d, request %d: %v until %v and %v until %v", seed, c, oneHeld, one, otherHeld, other)
			}
		}
	}
}
