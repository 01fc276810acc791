package chiveengine_test

import (
	"testing"
	"time"

	"chivedrift/chiveengine"
	"chivedrift/chiverequest"

	"pgregory.net/rapid"
)

func traits() chiveengine.Traits {
	return chiveengine.Traits{
		Slots: 8, Queue: 100, Memory: 50_000, Step: 5, StepPerRequest: 0.03, ContextPerThousand: 0.015, ReadRate: 40, ReadChunk: 2000,
		PairsPerMillion: 0.5, First: 1, TokensPerEvent: 3, Speed: 1,
	}
}

func job(id uint64, rank int, shared, own, output int64) *chiveengine.Job {
	return &chiveengine.Job{
		ID: id, Rank: rank, Input: shared + own, Output: output,
		Parts: []chiverequest.Part{{ID: 1, Tokens: shared}, {ID: 1000 + id, Tokens: own}},
	}
}

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// run lets the engine work until it is idle, and returns when each job had its first event and its last.
func run(t interface{ Fatal(args ...any) }, e *chiveengine.Engine) (first, last map[uint64]time.Duration) {
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

func TestPromptIsReadInChunksAndPartsAreKept(t *testing.T) {
	e := chiveengine.New(traits())
	e.Submit(start, job(1, 0, 6000, 2000, 3))
	first, _ := run(t, e)
	// Four chunks of 2,000 tokens at 40 a millisecond and 5 ms a step, the pairs, and two more steps to the first event of three tokens.
	if first[1] < 230*time.Millisecond || first[1] > 260*time.Millisecond {
		t.Errorf("first event after %v", first[1])
	}
	again := chiveengine.New(traits())
	again.Submit(start, job(1, 0, 6000, 2000, 3))
	run(t, again)
	if held := again.Held(job(2, 0, 6000, 2000, 3).Parts); held != 6000 {
		t.Errorf("%d tokens held of the shared part", held)
	}
}

func TestUrgentGoFirst(t *testing.T) {
	e := chiveengine.New(traits())
	e.Submit(start, job(1, 1, 0, 8000, 3))
	e.Submit(start, job(2, 0, 0, 1000, 3))
	first, _ := run(t, e)
	if first[2] > first[1] {
		t.Errorf("the urgent one had its first event after %v, the other after %v", first[2], first[1])
	}
}

// A stream beside a long read has its events later: each of its tokens waits for a chunk.
func TestStreamWaitsForChunks(t *testing.T) {
	e := chiveengine.New(traits())
	e.Submit(start, job(1, 0, 0, 100, 60))
	var alone, beside time.Duration
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
			pause := r.At.Sub(previous)
			previous = r.At
			if !r.First && !submitted {
				alone = max(alone, pause)
			}
			if submitted {
				beside = max(beside, pause)
			}
			if r.At.Sub(start) > 100*time.Millisecond && !submitted {
				submitted = true
				e.Submit(r.At, job(2, 0, 0, 20_000, 3))
			}
		}
	}
	if alone > 20*time.Millisecond || beside < 150*time.Millisecond || beside > 230*time.Millisecond {
		t.Errorf("pauses of %v alone, %v beside a long read", alone, beside)
	}
}

// Whatever comes, every job ends, with as many tokens as asked for, and the memory is given back.
func TestEveryJobEnds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		of := traits()
		of.Memory = int64(rapid.IntRange(9_000, 40_000).Draw(t, "memory"))
		e := chiveengine.New(of)
		taken := make(map[uint64]bool)
		for i := range rapid.IntRange(1, 30).Draw(t, "jobs") {
			j := job(uint64(i+1), rapid.IntRange(0, 2).Draw(t, "rank"), 1000, int64(rapid.IntRange(1, 5000).Draw(t, "own")), int64(rapid.IntRange(1, 400).Draw(t, "output")))
			taken[j.ID] = e.Submit(start, j)
		}
		_, last := run(t, e)
		for id, ok := range taken {
			if _, ended := last[id]; ended != ok {
				t.Fatalf("job %d taken %v, ended %v", id, ok, ended)
			}
		}
		if running, waiting := e.Load(); running+waiting != 0 {
			t.Fatalf("%d run and %d wait on an idle engine", running, waiting)
		}
	})
}
