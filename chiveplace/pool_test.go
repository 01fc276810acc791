package chiveplace_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"chivedrift/chivedirectory"
	"chivedrift/chiveplace"
	"chivedrift/chiverequest"
	"chivedrift/chivetable"
)

var engine = chivetable.Engine{Slots: 64, CacheTokens: 500_000, TokensPerEvent: 4}

func newPool(engines int, capacity chivetable.Engine) *chiveplace.Pool {
	p := chiveplace.NewPool("a")
	p.SetEngine(capacity)
	var endpoints []chivedirectory.Endpoint
	for i := range engines {
		endpoints = append(endpoints, chivedirectory.Endpoint{ID: fmt.Sprintf("e%d", i), Pool: "p", FailureDomain: string(rune('a' + i%3))})
	}
	p.SetEndpoints(endpoints)
	return p
}

func longPrompt(shared, own int) *chiverequest.Prompt {
	return &chiverequest.Prompt{
		Parts: []chiverequest.Part{{ID: uint64(shared), Tokens: 13000}, {ID: uint64(own), Tokens: 3700}}, Input: 16700, Target: 2500 * time.Millisecond,
		Pause: 1200 * time.Millisecond,
	}
}

func shortPrompt(own int) *chiverequest.Prompt {
	return &chiverequest.Prompt{
		Parts: []chiverequest.Part{{ID: uint64(own), Tokens: 1100}}, Input: 1100, Target: 1500 * time.Millisecond, Pause: 250 * time.Millisecond,
	}
}

// promptWithoutPauseLimit is a short prompt on a route without a promised pause, so that it is not latency-sensitive.
func promptWithoutPauseLimit(own int) *chiverequest.Prompt {
	p := shortPrompt(own)
	p.Pause = 0
	return p
}

func take(t *testing.T, p *chiveplace.Pool, now time.Time, prompt *chiverequest.Prompt) *chiveplace.Place {
	t.Helper()
	place, err := p.Take(now, chiveplace.Ask{Prompt: prompt})
	if err != nil {
		t.Fatal(err)
	}
	return place
}

// Guards against spreading a shared prefix over engine after engine.
func TestSharedPartStaysWhereItIsCached(t *testing.T) {
	p := newPool(9, engine)
	now := time.Now()
	first := take(t, p, now, longPrompt(1, 100))
	for i := range 5 {
		next := take(t, p, now, longPrompt(1, 200+i))
		if next.Endpoint().ID != first.Endpoint().ID || next.Reads() != 3700 {
			t.Fatalf("request %d went to %s and prefills %d tokens; %s has the part cached", i, next.Endpoint().ID, next.Reads(), first.Endpoint().ID)
		}
	}
}

func TestNodesChooseTheSameEngineForANewPart(t *testing.T) {
	now := time.Now()
	first, second := newPool(9, engine), newPool(9, engine)
	for shared := range 20 {
		a, b := take(t, first, now, longPrompt(shared, 100)), take(t, second, now, longPrompt(shared, 200))
		if a.Endpoint().ID != b.Endpoint().ID {
			t.Errorf("part %d: sent to %s and %s", shared, a.Endpoint().ID, b.Endpoint().ID)
		}
		a.Event(now, 0)
		a.Done(now, chiveplace.EndedWell)
		b.Event(now, 0)
		b.Done(now, chiveplace.EndedWell)
	}
}

// Guards against latency-sensitive streams on engines that prefill long prompts.
func TestLatencySensitiveStreamAvoidsLongPrefills(t *testing.T) {
	p := newPool(4, engine)
	now := time.Now()
	busy := make(map[string]bool)
	for i := range 3 {
		busy[take(t, p, now, longPrompt(i, 100+i)).Endpoint().ID] = true
	}
	for i := range 5 {
		place := take(t, p, now, shortPrompt(1000+i))
		if busy[place.Endpoint().ID] && len(busy) < 4 {
			t.Errorf("a latency-sensitive stream went to %s, which prefills a long prompt", place.Endpoint().ID)
		}
	}
}

func TestReportedPrefillsAndLoadsCount(t *testing.T) {
	now := time.Now()
	sender, receiver := newPool(3, engine), newPool(3, engine)
	sent := take(t, sender, now, longPrompt(7, 100))
	var report chiveplace.Report
	sender.Collect(&report, false)
	receiver.Hear(now, "sender", &report)
	next := take(t, receiver, now, longPrompt(7, 200))
	if next.Endpoint().ID != sent.Endpoint().ID || next.Reads() != 3700 {
		t.Errorf("went to %s and prefills %d tokens; another node had sent the part to %s", next.Endpoint().ID, next.Reads(), sent.Endpoint().ID)
	}
	receiver.Forget(map[string]bool{})
	for _, s := range receiver.States(now) {
		if s.Others != 0 {
			t.Errorf("%s still has %d requests of a node that is gone", s.Endpoint, s.Others)
		}
	}
}

func TestFullPoolRefusesWithRetryAfter(t *testing.T) {
	p := newPool(2, chivetable.Engine{Slots: 1, CacheTokens: 1000, TokensPerEvent: 1})
	now := time.Now()
	take(t, p, now, shortPrompt(1))
	take(t, p, now, shortPrompt(2))
	_, err := p.Take(now, chiveplace.Ask{Prompt: shortPrompt(3)})
	var refused *chiveplace.RefusedError
	if !errors.As(err, &refused) || refused.RetryAfter <= 0 {
		t.Errorf("got %v", err)
	}
}

func TestFailedEndpointIsEjectedAndTriedAgain(t *testing.T) {
	p := newPool(2, chivetable.Engine{})
	now := time.Now()
	bad := take(t, p, now, nil)
	bad.Done(now, chiveplace.EndedBroken)
	for range 5 {
		if next := take(t, p, now, nil); next.Endpoint().ID == bad.Endpoint().ID {
			t.Fatal("chosen again immediately")
		}
	}
	later := now.Add(time.Minute)
	seen := false
	for range 20 {
		seen = seen || take(t, p, later, nil).Endpoint().ID == bad.Endpoint().ID
	}
	if !seen {
		t.Error("never chosen again")
	}
}

func TestRequestsArePlacedThoughAllEndpointsFailed(t *testing.T) {
	p := newPool(2, chivetable.Engine{})
	now := time.Now()
	for range 2 {
		take(t, p, now, nil).Done(now, chiveplace.EndedBroken)
	}
	take(t, p, now, nil)
}

// Guards against a cache model that stays empty because the endpoint was known before its memory size.
func TestCapacityMayBeSetAfterTheEndpoints(t *testing.T) {
	p := newPool(5, chivetable.Engine{})
	p.SetEngine(engine)
	now := time.Now()
	first := take(t, p, now, longPrompt(1, 100))
	next := take(t, p, now, longPrompt(1, 200))
	if next.Endpoint().ID != first.Endpoint().ID || next.Reads() != 3700 {
		t.Errorf("went to %s and prefills %d tokens; %s has the part cached", next.Endpoint().ID, next.Reads(), first.Endpoint().ID)
	}
}

// Guards against cache contents, failures or load of a former process that are attributed to a restarted engine.
func TestRestartedEngineInheritsNothing(t *testing.T) {
	now := time.Now()
	p := chiveplace.NewPool("a")
	p.SetEngine(engine)
	former := chivedirectory.Endpoint{ID: "e0", Pool: "p", FailureDomain: "a", Born: 5}
	p.SetEndpoints([]chivedirectory.Endpoint{former})
	place := take(t, p, now, longPrompt(1, 100))
	p.Hear(now, "n1", &chiveplace.Report{Loads: []chiveplace.Load{{Endpoint: former.Incarnation().Key(), Requests: 7}}})
	g := grant(t, p, now, "n2", 1, 200)

	restarted := former
	restarted.Born = 9
	p.SetEndpoints([]chivedirectory.Endpoint{restarted})
	if got := load(p, restarted.Incarnation().Key()); got != 0 {
		t.Errorf("%d requests at the new process", got)
	}
	if second := take(t, p, now, longPrompt(1, 100)); second.Reads() != 16700 {
		t.Errorf("%d tokens to prefill, want the whole prompt", second.Reads())
	}
	place.Done(now, chiveplace.EndedBroken)
	p.Hear(now, "n1", &chiveplace.Report{
		Loads: []chiveplace.Load{{Endpoint: former.Incarnation().Key(), Requests: 7}},
		Reads: []chiveplace.Read{{Endpoint: former.Incarnation().Key(), Parts: longPrompt(2, 100).Parts}},
	})
	if got := load(p, restarted.Incarnation().Key()); got != 1 {
		t.Errorf("%d requests at the new process after a late report about the former one, want its own", got)
	}
	if third := take(t, p, now, longPrompt(2, 101)); third.Reads() != 16700 {
		t.Errorf("%d tokens to prefill, want the whole prompt", third.Reads())
	}
	if _, ok := p.Adopt(now, g, chiveplace.Ask{Prompt: longPrompt(1, 200)}); ok {
		t.Error("a grant on the former process was adopted")
	}
	if ejected := p.PassedOver(now); len(ejected) != 0 {
		t.Errorf("ejected: %v", ejected)
	}
}
