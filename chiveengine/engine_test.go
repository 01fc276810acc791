package chiveengine_test

import (
	"testing"
	"time"

	"chivedrift/chiveengine"
	"chivedrift/chiverequest"

	"pgregory.net/rapid"
)

func testConfig() chiveengine.Traits {
	return chiveengine.Traits{
		Slots: 8, Queue: 100, Memory: 50_000, Step: 5, StepPerRequest: 0.03, ContextPerThousand: 0.015, ReadRate: 40, ReadChunk: 2000,
		PairsPerMillion: 0.5, First: 1, TokensPerEvent: 3, Speed: 1,
	}
}

func newJob(id uint64, rank int, shared, own, output int64) *chiveengine.Job {
	return &chiveengine.Job{
		ID: id, Rank: rank, Input: shared + own, Output: output,
		Parts: []chiverequest.Part{{ID: 1, Tokens: shared}, {ID: 1000 + id, Tokens: own}},
	}
}

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// runUntilIdle advances the engine until it is idle, and returns the times of the first and the last event of each job.
func runUntilIdle(t interface{ Fatal(args ...any) }, e *chiveengine.Engine) (first, last map[uint64]time.Duration) {
	first, last = make(map[uint64]time.Duration), make(map[uint64]time.Duration)
	for range 1_000_000 {
		at, ok := e.Next()
		if !ok {
			return first, last
		}
		for _, r := range e.Advance(at) {
			if r.First {
				if _, twice := first[r.Job]; !twice {
					first[r.Job] = r.At.Sub(start)
				}
			}
			if r.Sign == chiveengine.SignDone {
				last[r.Job] = r.At.Sub(start)
			}
		}
	}
	t.Fatal("the engine never becomes idle")
	return nil, nil
}

func TestChunkedPrefillCachesParts(t *testing.T) {
	e := chiveengine.New(testConfig())
	e.Submit(start, newJob(1, 0, 6000, 2000, 3))
	first, _ := runUntilIdle(t, e)
	// Four chunks of 2,000 tokens at 40 tokens per millisecond and 5 ms per step, the attention time, and two more
	// steps to the first event of three tokens.
	if first[1] < 230*time.Millisecond || first[1] > 260*time.Millisecond {
		t.Errorf("first event after %v", first[1])
	}
	second := chiveengine.New(testConfig())
	second.Submit(start, newJob(1, 0, 6000, 2000, 3))
	runUntilIdle(t, second)
	if cached := second.Held(newJob(2, 0, 6000, 2000, 3).Parts); cached != 6000 {
		t.Errorf("%d tokens of the shared part are cached, want 6000", cached)
	}
}

func TestUrgentJobsRunFirst(t *testing.T) {
	e := chiveengine.New(testConfig())
	e.Submit(start, newJob(1, 1, 0, 8000, 3))
	e.Submit(start, newJob(2, 0, 0, 1000, 3))
	first, _ := runUntilIdle(t, e)
	if first[2] > first[1] {
		t.Errorf("the urgent job had its first event after %v, the other after %v", first[2], first[1])
	}
}

// Checks that the events of a stream are delayed by a long prefill that runs beside it, since each of its tokens waits
// for a chunk.
func TestLongPrefillDelaysRunningStream(t *testing.T) {
	e := chiveengine.New(testConfig())
	e.Submit(start, newJob(1, 0, 0, 100, 60))
	var maxGapAlone, maxGapDuringPrefill time.Duration
	previous := start
	submitted := false
	for range 100_000 {
		at, ok := e.Next()
		if !ok {
			break
		}
		for _, r := range e.Advance(at) {
			if r.Job != 1 {
				continue
			}
			gap := r.At.Sub(previous)
			previous = r.At
			if !r.First && !submitted {
				maxGapAlone = max(maxGapAlone, gap)
			}
			if submitted {
				maxGapDuringPrefill = max(maxGapDuringPrefill, gap)
			}
			if r.At.Sub(start) > 100*time.Millisecond && !submitted {
				submitted = true
				e.Submit(r.At, newJob(2, 0, 0, 20_000, 3))
			}
		}
	}
	if maxGapAlone > 20*time.Millisecond || maxGapDuringPrefill < 150*time.Millisecond || maxGapDuringPrefill > 230*time.Millisecond {
		t.Errorf("longest gaps between events: %v alone, %v during a long prefill", maxGapAlone, maxGapDuringPrefill)
	}
}

// Checks that exactly the accepted jobs complete and that the engine is idle afterwards.
func TestAcceptedJobsComplete(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := testConfig()
		config.Memory = int64(rapid.IntRange(9_000, 40_000).Draw(t, "memory"))
		e := chiveengine.New(config)
		accepted := make(map[uint64]bool)
		for i := range rapid.IntRange(1, 30).Draw(t, "jobs") {
			j := newJob(uint64(i+1), rapid.IntRange(0, 2).Draw(t, "rank"), 1000, int64(rapid.IntRange(1, 5000).Draw(t, "own")), int64(rapid.IntRange(1, 400).Draw(t, "output")))
			accepted[j.ID] = e.Submit(start, j)
		}
		_, last := runUntilIdle(t, e)
		for id, ok := range accepted {
			if _, ended := last[id]; ended != ok {
				t.Fatalf("job %d: accepted %v, completed %v", id, ok, ended)
			}
		}
		if running, waiting := e.Load(); running+waiting != 0 {
			t.Fatalf("%d jobs run and %d wait on an idle engine", running, waiting)
		}
	})
}
