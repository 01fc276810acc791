package chivenode_test

import (
	"fmt"
	"testing"
	"time"

	"chivedrift/chivegate"
)

// Guards against an urgent request that waits behind background answers, and against a preempted answer that loses or
// repeats text.
func TestUrgentRequestTakesASlotAndTheVictimLosesNoToken(t *testing.T) {
	withCluster(t, clusterSpec{nodes: 3, engines: 1, sequences: 2}, func(c *cluster) {
		results := make(chan reply, 2)
		for i := range 2 {
			go func() { results <- c.stream(i, "bulk", fmt.Sprintf("b%d tokens=600", i)) }()
		}
		time.Sleep(time.Second)
		nudge := c.stream(2, "nudge", "n tokens=10")
		if nudge.outcome != "completed" || nudge.firstToken > 500*time.Millisecond {
			t.Errorf("the nudge got its first token after %s: %+v", nudge.firstToken, nudge)
		}
		attempts := 0
		for range 2 {
			r := <-results
			if r.outcome != "completed" || (r.text != expectedText("b0 tokens=600", 600) && r.text != expectedText("b1 tokens=600", 600)) {
				t.Errorf("a preempted answer ended as %q", r.outcome)
			}
			for node := range c.nodes {
				if explanation, ok := c.gate(node).Explain(r.header.Get(chivegate.HeaderRequestID)); ok {
					attempts += len(explanation.Attempts)
				}
			}
		}
		if attempts != 3 {
			t.Errorf("%d attempts for two answers, expected 3 with one preemption", attempts)
		}
		t.Logf("first token of the nudge %s", nudge.firstToken)
	})
}

// Guards against preempting an answer whose class is protected from preemption.
func TestProtectedAnswerIsNeverPreempted(t *testing.T) {
	withCluster(t, clusterSpec{nodes: 3, engines: 1, sequences: 2}, func(c *cluster) {
		results := make(chan reply, 2)
		for i := range 2 {
			go func() { results <- c.stream(i, "dossier", fmt.Sprintf("d%d tokens=300", i)) }()
		}
		time.Sleep(time.Second)
		nudge := c.stream(2, "nudge", "n tokens=10")
		for range 2 {
			r := <-results
			explanation, ok := c.gate(0).Explain(r.header.Get(chivegate.HeaderRequestID))
			if !ok {
				explanation, ok = c.gate(1).Explain(r.header.Get(chivegate.HeaderRequestID))
			}
			if r.outcome != "completed" || !ok || len(explanation.Attempts) != 1 {
				t.Errorf("a dossier ended as %q with %+v", r.outcome, explanation)
			}
		}
		if nudge.outcome != "completed" && (nudge.outcome != "not-run" || nudge.header.Get(chivegate.HeaderRetryAfter) == "") {
			t.Errorf("the nudge ended as %+v", nudge)
		}
	})
}
