package chiveclaim_test

import (
	"fmt"
	"testing"
	"time"

	"chivedrift/chiveclaim"

	"pgregory.net/rapid"
)

const window = 10 * time.Minute

// Guards against a key that runs twice because a freed claim reached the log late.
func TestClaimThatLandsAfterItWasFreedOwnsNothing(t *testing.T) {
	x := chiveclaim.NewIndex()
	x.Apply(0, chiveclaim.Entry{Kind: chiveclaim.KindOutcome, Key: "k", Request: "first", Outcome: chiveclaim.Outcome{Freed: true}})
	x.Apply(1, chiveclaim.Entry{Kind: chiveclaim.KindClaim, Key: "k", Request: "first"})
	if x.Standing(time.Now(), "k", "first", window) == chiveclaim.StandingOwner {
		t.Error("the freed claim owns the key")
	}
	x.Apply(2, chiveclaim.Entry{Kind: chiveclaim.KindClaim, Key: "k", Request: "second"})
	if got := x.Standing(time.Now(), "k", "second", window); got != chiveclaim.StandingOwner {
		t.Errorf("the retry stands at %d", got)
	}
}

// TestIndexGivesAKeyToOneRequestAtATime applies entries in any order, with repeats, as lost answers and two writers
// bring them, and holds that whoever was told that it owns the key is the only one until it frees it itself.
func TestIndexGivesAKeyToOneRequestAtATime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x := chiveclaim.NewIndex()
		now := time.Unix(1000, 0)
		owners := make(map[string]bool)
		freed := make(map[string]bool)
		steps := rapid.IntRange(1, 60).Draw(t, "steps")
		for offset := range steps {
			request := fmt.Sprintf("r%d", rapid.IntRange(0, 4).Draw(t, "request"))
			e := chiveclaim.Entry{Kind: chiveclaim.KindClaim, Key: "k", Request: request, AtMs: now.UnixMilli()}
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				e.Kind, e.Outcome.Freed = chiveclaim.KindOutcome, true
			case 1:
				e.Kind, e.Outcome.Word = chiveclaim.KindOutcome, "completed"
			}
			// A holder frees only what it will not run, so it never frees after an outcome; the index must not either.
			x.Apply(int64(offset), e)
			freed[request] = freed[request] || e.Outcome.Freed
			for i := range 5 {
				name := fmt.Sprintf("r%d", i)
				if x.Standing(now, "k", name, window) != chiveclaim.StandingOwner {
					continue
				}
				for other := range owners {
					if other != name && !freed[other] {
						t.Fatalf("%s and %s both own the key", other, name)
					}
				}
				owners[name] = true
			}
		}
	})
}

func TestOldKeyIsRefusedAndForgottenOnlyWithTheLog(t *testing.T) {
	x := chiveclaim.NewIndex()
	then := time.Unix(1000, 0)
	x.Apply(3, chiveclaim.Entry{Kind: chiveclaim.KindClaim, Key: "k", Request: "old", AtMs: then.UnixMilli()})
	x.Apply(4, chiveclaim.Entry{Kind: chiveclaim.KindClaim, Key: "k", Request: "new"})
	if got := x.Standing(then.Add(window+time.Second), "k", "new", window); got != chiveclaim.StandingExpired {
		t.Errorf("after the window the key stands at %d", got)
	}
	x.Expire(4)
	if x.Len() != 1 {
		t.Error("the key was forgotten while the log still holds a record of it")
	}
	x.Expire(5)
	if x.Len() != 0 {
		t.Error("the key is kept after the log's last record of it")
	}
}
