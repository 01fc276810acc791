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

// harness is a register with a clock, and with endpoints and reports that are numbered in order.
type harness struct {
	t          *testing.T
	registry   *chivequarantine.Register
	now        time.Time
	lastNumber int
}

func newHarness(t *testing.T) *harness {
	t.Helper()
	return &harness{t: t, registry: chivequarantine.NewRegister(self), now: time.Unix(1000, 0)}
}

// crash records the crash of a new endpoint that was running some requests. The reporters take turns.
func (h *harness) crash(domain string, reporters []string, contents ...chiverequest.Fingerprint) {
	h.lastNumber++
	for i, c := range contents {
		h.registry.AddCrash(h.now, chivequarantine.Crash{
			Content: c, Endpoint: fmt.Sprintf("e%d", h.lastNumber), FailureDomain: domain, Reporter: reporters[(h.lastNumber+i)%len(reporters)],
			Number: int64(h.lastNumber), At: h.now,
		})
	}
	h.registry.Decide()
}

// newAnswer returns a report that a request was answered now.
func (h *harness) newAnswer(content chiverequest.Fingerprint) chivequarantine.Answer {
	h.lastNumber++
	return chivequarantine.Answer{Content: content, Reporter: self, Number: int64(h.lastNumber), At: h.now}
}

func (h *harness) advance(d time.Duration) {
	h.now = h.now.Add(d)
	h.registry.Forget(h.now)
	h.registry.Decide()
}

func (h *harness) isQuarantined(content chiverequest.Fingerprint) bool {
	_, quarantined := h.registry.QuarantinedUntil(content)
	return quarantined
}

func (h *harness) expectQuarantined(want bool, contents ...chiverequest.Fingerprint) {
	h.t.Helper()
	for _, c := range contents {
		if h.isQuarantined(c) != want {
			h.t.Errorf("%s: quarantined %v, want %v", string(c), h.isQuarantined(c), want)
		}
	}
}

var twoReporters = []string{self, "10.0.0.2:1"}

func TestThirdCrashQuarantinesRequest(t *testing.T) {
	h := newHarness(t)
	for i := range 3 {
		h.expectQuarantined(false, "deadly")
		h.crash(fmt.Sprintf("z%d", i), twoReporters, "deadly")
		h.advance(200 * time.Millisecond)
	}
	h.expectQuarantined(true, "deadly")
}

// Guards against quarantining harmless requests that ran on the same engines as the one that crashes them.
func TestConcurrentRequestsAreNotQuarantined(t *testing.T) {
	h := newHarness(t)
	random := rand.New(rand.NewPCG(1, 2))
	concurrent := func() chiverequest.Fingerprint {
		return chiverequest.Fingerprint(fmt.Sprintf("beside%d", random.IntN(6)))
	}
	for i := range 16 {
		h.crash(fmt.Sprintf("z%d", i%4), twoReporters, "deadly", concurrent(), concurrent())
		h.advance(200 * time.Millisecond)
	}
	h.expectQuarantined(true, "deadly")
	for i := range 6 {
		h.expectQuarantined(false, chiverequest.Fingerprint(fmt.Sprintf("beside%d", i)))
	}
}

// Guards against keeping a harmless request in quarantine. Two requests were on the same three engines, so that either
// may be quarantined; the next crash occurs with the culprit alone and shows which one it is.
func TestNextCrashCorrectsWrongQuarantine(t *testing.T) {
	for _, culprit := range []chiverequest.Fingerprint{"a", "b"} {
		h := newHarness(t)
		for i := range 3 {
			h.crash(fmt.Sprintf("z%d", i), twoReporters, "a", "b")
			h.advance(200 * time.Millisecond)
		}
		if h.registry.Quarantined() != 1 {
			t.Fatalf("%d of two requests are quarantined, want 1", h.registry.Quarantined())
		}
		if !h.isQuarantined(culprit) {
			h.crash("z1", twoReporters, culprit)
		}
		h.expectQuarantined(true, culprit)
		if h.registry.Quarantined() != 1 {
			t.Errorf("%d requests are quarantined, want 1", h.registry.Quarantined())
		}
	}
}

// Guards against quarantining a request because a single power loss took down several of its engines.
func TestFailureDomainLossCountsOnce(t *testing.T) {
	h := newHarness(t)
	for range 5 {
		h.crash("z1", twoReporters, "poll", "other")
		h.advance(20 * time.Millisecond)
	}
	h.expectQuarantined(false, "poll", "other")
}

func TestAnswerReleasesRequest(t *testing.T) {
	h := newHarness(t)
	for i := range 3 {
		h.crash(fmt.Sprintf("z%d", i), twoReporters, "poll")
		h.advance(200 * time.Millisecond)
		h.registry.AddAnswer(h.now, h.newAnswer("poll"))
	}
	h.expectQuarantined(false, "poll")
	for i := range 3 {
		h.advance(200 * time.Millisecond)
		h.crash(fmt.Sprintf("z%d", i), twoReporters, "poll")
	}
	h.expectQuarantined(false, "poll")
	// Crashes long after the last answer implicate the request again.
	h.advance(time.Minute)
	for i := range 3 {
		h.advance(200 * time.Millisecond)
		h.crash(fmt.Sprintf("z%d", i), twoReporters, "poll")
	}
	h.expectQuarantined(true, "poll")
	h.registry.AddAnswer(h.now, h.newAnswer("poll"))
	h.advance(0)
	h.expectQuarantined(false, "poll")
	// A late report of a crash before the answer does not restore the quarantine.
	h.registry.AddCrash(h.now, chivequarantine.Crash{Content: "poll", Endpoint: "late", Reporter: "10.0.0.3:1", At: h.now.Add(-time.Second)})
	h.advance(0)
	h.expectQuarantined(false, "poll")
}

// Guards against a fleet-wide quarantine based on one node's reports. A node that is partitioned from the
// engines sees all of them refuse connections; it quarantines the request locally, and the other nodes do not.
func TestSingleReporterDoesNotQuarantineOnOtherNodes(t *testing.T) {
	h, other := newHarness(t), newHarness(t)
	for i := range 4 {
		h.crash(fmt.Sprintf("z%d", i), []string{self}, "a")
		other.crash(fmt.Sprintf("z%d", i), []string{"10.0.0.9:1"}, "a")
		h.advance(time.Second)
		other.advance(time.Second)
	}
	h.expectQuarantined(true, "a")
	other.expectQuarantined(false, "a")
	other.crash("z1", []string{"10.0.0.8:1"}, "a")
	other.expectQuarantined(true, "a")
}

func TestQuarantineGrowsWithFailedProbesAndExpires(t *testing.T) {
	h := newHarness(t)
	for i := range 3 {
		h.crash(fmt.Sprintf("z%d", i), twoReporters, "a")
		h.advance(time.Second)
	}
	previous := time.Duration(0)
	for failedProbes := range 7 {
		until, quarantined := h.registry.QuarantinedUntil("a")
		length := until.Sub(h.now)
		if !quarantined || length < previous || length > 10*time.Minute {
			t.Fatalf("after %d failed probes: quarantined %v for %v, previously for %v", failedProbes, quarantined, length, previous)
		}
		previous = length
		h.advance(length + time.Second)
		h.crash("z1", twoReporters, "a")
	}
	// The caller does not retry any more.
	h.advance(15 * time.Minute)
	if !h.registry.Empty() {
		t.Error("the register still holds reports on a request that is no longer sent")
	}
}

// Guards against nodes that disagree on what is quarantined and for how long because they received the same reports in
// a different order.
func TestQuarantineDoesNotDependOnReportOrder(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 7))
		start := time.Unix(1000, 0)
		var crashes []chivequarantine.Crash
		for i := range 4 + random.IntN(12) {
			at := start.Add(time.Duration(random.IntN(60_000)) * time.Millisecond)
			for c := range 1 + random.IntN(4) {
				crashes = append(crashes, chivequarantine.Crash{
					Content: chiverequest.Fingerprint(fmt.Sprint(random.IntN(c + 2))), Endpoint: fmt.Sprint(i), FailureDomain: fmt.Sprint(i % 3),
					Reporter: twoReporters[random.IntN(2)], Number: int64(i), At: at,
				})
			}
		}
		now := start.Add(time.Minute)
		first := chivequarantine.NewRegister(self)
		for _, crash := range crashes {
			first.AddCrash(now, crash)
			first.Decide()
		}
		second := chivequarantine.NewRegister(self)
		for _, i := range random.Perm(len(crashes)) {
			second.AddCrash(now, crashes[i])
			second.AddCrash(now, crashes[i])
		}
		second.Decide()
		for c := range 6 {
			content := chiverequest.Fingerprint(fmt.Sprint(c))
			firstUntil, firstQuarantined := first.QuarantinedUntil(content)
			secondUntil, secondQuarantined := second.QuarantinedUntil(content)
			if firstQuarantined != secondQuarantined || !firstUntil.Equal(secondUntil) {
				t.Fatalf("seed %d, request %d: quarantined %v until %v, in the other order %v until %v", seed, c, firstQuarantined, firstUntil, secondQuarantined, secondUntil)
			}
		}
	}
}

// Guards against crash reports that circulate forever after a node has paused.
func TestDelayedDuplicateReportIsNotNew(t *testing.T) {
	h := newHarness(t)
	crash := chivequarantine.Crash{Content: "a", Endpoint: "e", FailureDomain: "z", Reporter: "10.0.0.2:1", Number: 5, At: h.now}
	if !h.registry.AddCrash(h.now, crash) {
		t.Fatal("the first report was rejected")
	}
	for range 5 {
		h.advance(4 * time.Second)
		crash.At = h.now
		if h.registry.AddCrash(h.now, crash) {
			t.Error("a duplicate report was accepted as new")
		}
	}
}

// Guards against unbounded memory use when a caller sends thousands of different requests that each ran on a crashed
// engine.
func TestMemoryIsBounded(t *testing.T) {
	const bound = 2048
	h := newHarness(t)
	for i := range 3 {
		h.crash(fmt.Sprintf("z%d", i), twoReporters, "deadly")
		h.advance(time.Second)
	}
	for i := range 3 * bound {
		h.crash("z1", twoReporters, chiverequest.Fingerprint(fmt.Sprintf("r%d", i)))
	}
	if remembered := len(h.registry.Crashes()); remembered > bound {
		t.Errorf("%d crashes are remembered, want %d at most", remembered, bound)
	}
	h.expectQuarantined(true, "deadly")
}

// Guards against quarantining harmless requests when a proxy restarts, which looks like crashes of the endpoints behind
// it.
func TestEndpointAnswerRefutesCrash(t *testing.T) {
	h := newHarness(t)
	for i := range 3 {
		h.crash(fmt.Sprintf("z%d", i), twoReporters, "sound")
		h.advance(200 * time.Millisecond)
	}
	h.expectQuarantined(true, "sound")
	// A request sent before the crash may have been answered before it too.
	if refuted := h.registry.AddAlive("e3", h.now.Add(-200*time.Millisecond)); len(refuted) > 0 {
		t.Errorf("an answer to a request sent before the crash refuted it: %v", refuted)
	}
	h.advance(time.Second)
	if refuted := h.registry.AddAlive("e3", h.now); len(refuted) != 1 {
		t.Errorf("the crash of e3 was refuted for requests %v, want one", refuted)
	}
	h.advance(0)
	h.expectQuarantined(false, "sound")
	// A delayed report of the same crash is rejected.
	delayed := chivequarantine.Crash{Content: "sound", Endpoint: "e3", FailureDomain: "z2", Reporter: "10.0.0.7:1", Number: 9, At: h.now.Add(-time.Second)}
	if h.registry.AddCrash(h.now, delayed) || !h.registry.IsRefuted(delayed) {
		t.Error("a delayed report of a refuted crash was accepted")
	}
	h.crash("z2", twoReporters, "sound")
	h.expectQuarantined(true, "sound")
}

// Guards against nodes that disagree on what is quarantined because they received the same crashes and refutations in a
// different order.
func TestRefutationDoesNotDependOnReportOrder(t *testing.T) {
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
					Content: chiverequest.Fingerprint(fmt.Sprint(c)), Endpoint: endpoint, FailureDomain: fmt.Sprint(i % 3), Reporter: twoReporters[i%2], Number: int64(i), At: at,
				}
				steps = append(steps, func(r *chivequarantine.Register) { r.AddCrash(now, crash) })
			}
			if random.IntN(2) == 0 {
				steps = append(steps, func(r *chivequarantine.Register) {
					// A peer that knows of the refutation sends it to every node that reports the crash.
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
		// Refutations that arrived before their crash are sent again once the crash is reported.
		for _, step := range steps {
			step(second)
		}
		first.Decide()
		second.Decide()
		for c := range 3 {
			content := chiverequest.Fingerprint(fmt.Sprint(c))
			firstUntil, firstQuarantined := first.QuarantinedUntil(content)
			secondUntil, secondQuarantined := second.QuarantinedUntil(content)
			if firstQuarantined != secondQuarantined || !firstUntil.Equal(secondUntil) {
				t.Fatalf("seed %d, request %d: quarantined %v until %v, in the other order %v until %v", seed, c, firstQuarantined, firstUntil, secondQuarantined, secondUntil)
			}
		}
	}
}
