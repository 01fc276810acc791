package chiveexperiment_test

import (
	"context"
	"encoding/json"
	"strings"
	"testing"

	"chivedrift/chiveexperiment"
)

// load reads one of the scenarios that come with the program.
func load(t *testing.T, name string) *chiveexperiment.Scenario {
	t.Helper()
	s, err := chiveexperiment.Load("../examples/experiments/" + name + ".yaml")
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// noProgress hears of plays that are done and does nothing.
func noProgress(int, int) {}

func TestSameSeedGivesTheSameBytes(t *testing.T) {
	s := load(t, "drafts-beside-questions")
	s.Seconds = 6
	var runs [2]string
	for i := range runs {
		x, err := chiveexperiment.Run(context.Background(), s, chiveexperiment.Policies, 2, noProgress)
		if err != nil {
			t.Fatal(err)
		}
		data, err := json.Marshal(x)
		if err != nil {
			t.Fatal(err)
		}
		runs[i] = string(data)
	}
	if runs[0] != runs[1] {
		t.Error("two runs of the same scenario and seeds differ")
	}
}

func TestEveryPolicyMeetsTheSameCalls(t *testing.T) {
	s := load(t, "dossiers-beside-nudges")
	s.Seconds = 5
	first := chiveexperiment.Play(s, chiveexperiment.PolicyProduct, 3)
	for _, p := range chiveexperiment.Policies {
		for name, k := range chiveexperiment.Play(s, p, 3).Kinds {
			if k.Asked != first.Kinds[name].Asked {
				t.Errorf("%s: %d calls of %s, %d with the first policy", p, k.Asked, name, first.Kinds[name].Asked)
			}
		}
	}
}

func TestEveryCallEndsOnce(t *testing.T) {
	for _, name := range []string{"drafts-beside-questions", "dossiers-beside-nudges", "reflows-beside-hints"} {
		for kind, k := range chiveexperiment.Play(load(t, name), chiveexperiment.PolicyProduct, 1).Kinds {
			if sum := k.OnTime + k.Late + k.Refused + k.Broken + k.Left; sum < 0.9999 || sum > 1.0001 {
				t.Errorf("%s: the ends of %s add up to %.4f", name, kind, sum)
			}
		}
	}
}

func TestScenarioErrorsNameFileLineAndField(t *testing.T) {
	_, err := chiveexperiment.Parse("bad.yaml", []byte(`name: bad
seconds: 10
nodes: 0
engines:
  - {count: 1, slots: 1, memory_tokens: 10, step_ms: 1, read_tokens_per_ms: 1, read_chunk: 1, tokens_per_event: 1, slowness: 1}
kinds:
  - {name: a, a_second: 1, target_ms: 1, wait_ms: 1, worth: 1, own_tokens: {mean: 1, most: 1}, events: {mean: 1, most: 1}}
bursts:
  - {kind: b, for_s: 1, factor: 2}
faults:
  - {what: crash, engine: 1}
`))
	if err == nil {
		t.Fatal("no error")
	}
	for _, want := range []string{"bad.yaml:3: nodes", "bad.yaml:9: bursts[0].kind", "bad.yaml:11: faults[0].engine"} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("the error lacks %q:\n%v", want, err)
		}
	}
}
