package chivequarantine_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"chivedrift/chivehealth"
	"chivedrift/chivequarantine"
	"chivedrift/chiverequest"
)

// promptOf returns the shared parts of a prompt with the given names.
func promptOf(names ...string) []chiverequest.SharedPart {
	prompt := &chiverequest.Prompt{}
	for _, name := range append(names, "own") {
		prompt.Parts, prompt.Names = append(prompt.Parts, chiverequest.Part{ID: chiverequest.PartID(name), Tokens: 100}), append(prompt.Names, name)
	}
	return chiverequest.SharedParts(prompt)
}

func keyOf(name string) chiverequest.Fingerprint { return promptOf(name)[0].Key }

func keysOf(names ...string) (keys []chiverequest.Fingerprint) {
	for _, name := range names {
		keys = append(keys, keyOf(name))
	}
	return keys
}

// crashUnder records the crash of a new endpoint under requests with the given parts, and moves the clock on.
func (h *harness) crashUnder(names ...string) {
	h.crash(fmt.Sprintf("z%d", h.lastNumber%3), twoReporters, keysOf(names...)...)
	h.advance(100 * time.Millisecond)
}

// expectHeld checks whether a request with the given parts is quarantined.
func (h *harness) expectHeld(want bool, names ...string) {
	h.t.Helper()
	if _, _, held := h.registry.HeldUntil(append(keysOf(names...), "content")); held != want {
		h.t.Errorf("a request with the parts %v: quarantined %v, want %v", names, held, want)
	}
}

// Guards against the quarantine of a part that others have, as long as another part explains the same crashes.
func TestPartsThatCrashedTogetherAreHeldTogether(t *testing.T) {
	h := newHarness(t)
	for range 3 {
		h.crashUnder("shared", "deadly")
	}
	h.expectHeld(true, "shared", "deadly")
	h.expectHeld(false, "shared", "other")
	h.expectHeld(false, "deadly")
	h.registry.AddAnswer(h.now, h.newAnswer(keyOf("shared")))
	h.advance(0)
	h.expectHeld(true, "deadly")
	h.expectHeld(false, "shared", "other")
}

// Guards against a part that stays free since another one came with it at first.
func TestNextCrashTellsPartsApart(t *testing.T) {
	h := newHarness(t)
	for range 3 {
		h.crashUnder("deadly", "beside")
	}
	h.expectHeld(false, "deadly", "other")
	h.crashUnder("deadly", "other")
	h.expectHeld(true, "deadly", "third")
	h.expectHeld(false, "beside", "third")
}

// Guards against quarantining a part of prompts although a single request explains the crashes.
func TestRequestExplainsCrashesBeforeItsParts(t *testing.T) {
	h := newHarness(t)
	for i := range 3 {
		h.crash(fmt.Sprintf("z%d", i), twoReporters, "content", keyOf("shared"))
		h.advance(time.Second)
	}
	h.expectQuarantined(true, "content")
	h.expectQuarantined(false, keyOf("shared"))
}

// Guards against parts that are accused of the loss of a failure domain, or of ends between which they are answered.
func TestPartsAreNotAccusedOfOtherEnds(t *testing.T) {
	h := newHarness(t)
	for range 6 {
		h.crash("z0", twoReporters, keyOf("shared"))
		h.advance(10 * time.Millisecond)
	}
	h.expectHeld(false, "shared")
	for range 9 {
		h.advance(20 * time.Second)
		h.registry.AddAnswer(h.now, h.newAnswer(keyOf("shared")))
		h.advance(time.Second)
		for i := range 3 {
			h.crash(fmt.Sprintf("z%d", i), twoReporters, keyOf("shared"))
			h.advance(200 * time.Millisecond)
		}
		h.expectHeld(false, "shared")
	}
}

// Guards against nodes that hold different parts because they received the same reports in a different order.
func TestPartQuarantineDoesNotDependOnReportOrder(t *testing.T) {
	names := []string{"a", "b", "c", "d"}
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 9))
		now := time.Unix(1000, 0)
		var crashes []chivequarantine.Crash
		for i := range 4 + random.IntN(8) {
			at := now.Add(time.Duration(random.IntN(20_000)) * time.Millisecond)
			for _, name := range names[:1+random.IntN(len(names))] {
				for reporter := range 1 + random.IntN(4) {
					crashes = append(crashes, chivequarantine.Crash{
						Content: keyOf(name), Endpoint: fmt.Sprint(i), FailureDomain: fmt.Sprint(i % 3), Reporter: fmt.Sprintf("10.0.0.%d:1", reporter), Number: int64(i), At: at,
					})
				}
			}
		}
		now = now.Add(30 * time.Second)
		first, second := chivequarantine.NewRegister(self), chivequarantine.NewRegister(self)
		for _, c := range crashes {
			first.AddCrash(now, c)
			first.Decide()
		}
		for _, i := range random.Perm(len(crashes)) {
			second.AddCrash(now, crashes[i])
		}
		second.Decide()
		for subset := range 1 << len(names) {
			var keys []chiverequest.Fingerprint
			for i, name := range names {
				if subset>>i&1 == 1 {
					keys = append(keys, keyOf(name))
				}
			}
			_, until, held := first.HeldUntil(keys)
			_, otherUntil, otherHeld := second.HeldUntil(keys)
			if held != otherHeld || !until.Equal(otherUntil) {
				t.Fatalf("seed %d, parts %b: held %v until %v, in the other order %v until %v", seed, subset, held, until, otherHeld, otherUntil)
			}
		}
	}
}

// crashUnderParts reports that an endpoint crashed under a request of a node, with content of its own and the given parts.
func (n *node) crashUnderParts(content, endpoint, failureDomain string, names ...string) {
	request := requestOf(content)
	request.Shared = promptOf(names...)
	n.Crashed(time.Now(), request, chivehealth.Failure{
		Endpoint: endpoint, Unique: true, FailureDomain: failureDomain, Evidence: chivehealth.EvidenceRefused, At: time.Now(),
	}, false)
}

// Guards against nodes that do not learn of a deadly part in time.
func TestPartQuarantineReachesAllNodes(t *testing.T) {
	for _, size := range []int{2, 8, 40, 120} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, size)
				for i := range 3 {
					f.nodes[i%2].crashUnderParts(fmt.Sprint("content ", i), fmt.Sprint("e", i), fmt.Sprint("z", i), "deadly")
					time.Sleep(time.Millisecond)
				}
				request := requestOf("new")
				request.Shared = promptOf("shared", "deadly")
				began := time.Now()
				for _, n := range f.nodes {
					for !n.Quarantined(time.Now(), request).Quarantined {
						time.Sleep(5 * time.Millisecond)
						if time.Since(began) > propagationLimit {
							t.Fatalf("a node has not quarantined the part after %v", propagationLimit)
						}
					}
				}
				t.Logf("%d nodes: all have quarantined the part after %v", size, time.Since(began))
			})
		})
	}
}

// Guards against a flood of reports when a part that many requests have is on many crashed engines.
func TestTrafficOfACommonPartIsBounded(t *testing.T) {
	const engines, requests = 40, 12
	// mostBytes is what a node may spend on control in the ten seconds of the test.
	const mostBytes = 150 << 10
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 60)
		for e := range engines {
			for r := range requests {
				n := f.nodes[(e*requests+r)%len(f.nodes)]
				n.crashUnderParts(fmt.Sprintf("once %d %d", e, r), fmt.Sprint("e", e), "z", "common", fmt.Sprintf("rare %d %d", e, r))
			}
		}
		time.Sleep(10 * time.Second)
		var most int64
		for _, n := range f.nodes {
			sent, _ := n.mesh.Traffic()
			most = max(most, sent["part_crash_update"].Bytes+sent["part_crash_digest"].Bytes)
		}
		t.Logf("the busiest node sent %d KB", most>>10)
		if most > mostBytes {
			t.Errorf("the busiest node sent %d bytes, want %d at most", most, mostBytes)
		}
	})
}

// Guards against requests with a suspicious part that are all sent before the first has shown what it does.
func TestSuspiciousPartsAreSentOneAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 8)
		for i := range 2 {
			f.nodes[i].crashUnderParts(fmt.Sprint("content ", i), fmt.Sprint("e", i), "z0", "suspicious")
		}
		time.Sleep(50 * time.Millisecond)
		permitted := func() (count int) {
			for _, n := range f.nodes {
				request := requestOf("new")
				request.Shared = promptOf("shared", "suspicious")
				if n.Permit(t.Context(), time.Now(), request) {
					count++
				}
			}
			return count
		}
		if count := permitted(); count != 1 {
			t.Errorf("%d of 8 nodes may send a request with a suspicious part, want 1", count)
		}
		request := requestOf("answered")
		request.Shared = promptOf("shared", "suspicious")
		f.nodes[3].Begun(time.Now(), request)
		time.Sleep(50 * time.Millisecond)
		if count := permitted(); count != 8 {
			t.Errorf("after an answer %d of 8 nodes may send it", count)
		}
	})
}
