package chiveplace_test

import (
	"errors"
	"testing"
	"time"

	"chivedrift/chivedirectory"
	"chivedrift/chiveplace"
	"chivedrift/chiveresidency"
)

// load returns how many requests a pool counts on an endpoint.
func load(p *chiveplace.Pool, endpoint string) int {
	for _, s := range p.States(time.Now()) {
		if s.Endpoint == endpoint {
			return s.Own + s.Others
		}
	}
	return -1
}

func grant(t *testing.T, p *chiveplace.Pool, now time.Time, node string, number uint64, own int) chiveplace.Grant {
	t.Helper()
	g, err := p.Grant(now, node, number, chiveplace.Ask{Prompt: promptWithoutPauseLimit(own)})
	if err != nil {
		t.Fatal(err)
	}
	return g
}

// Guards against simultaneous requests of many nodes that all go to one engine.
func TestGrantCountsImmediatelyAndOnlyOnce(t *testing.T) {
	p := newPool(2, engine)
	now := time.Now()
	first := grant(t, p, now, "n1", 1, 100)
	if got := load(p, first.Endpoint); got != 1 {
		t.Fatalf("after the grant the engine has %d requests", got)
	}
	if second := grant(t, p, now, "n2", 2, 200); second.Endpoint == first.Endpoint {
		t.Errorf("simultaneous requests of two nodes were placed on the same engine %s", first.Endpoint)
	}
	p.Hear(now, "n1", &chiveplace.Report{Granted: 1, Loads: []chiveplace.Load{{Endpoint: first.Endpoint, Requests: 1}}})
	if got := load(p, first.Endpoint); got != 1 {
		t.Errorf("after its node has reported it the engine has %d requests", got)
	}
}

// Guards against an engine that stays idle because unused grants still count.
func TestUnusedGrantsExpire(t *testing.T) {
	p := newPool(1, engine)
	now := time.Now()
	g := grant(t, p, now, "n1", 1, 100)
	grant(t, p, now, "n2", 2, 200)
	p.Forget(map[string]bool{"n2": true})
	if got := load(p, g.Endpoint); got != 1 {
		t.Errorf("the engine has %d requests after one of two nodes died", got)
	}
	grant(t, p, now.Add(1100*time.Millisecond), "n3", 3, 300)
	if got := load(p, g.Endpoint); got != 1 {
		t.Errorf("the engine has %d requests; the old grant must have expired", got)
	}
}

func TestAdoptedPlaceCountsAsOwnRequest(t *testing.T) {
	owner, node := newPool(2, engine), newPool(2, engine)
	g := grant(t, owner, time.Now(), "n1", 1, 100)
	place, ok := node.Adopt(time.Now(), g, chiveplace.Ask{Prompt: shortPrompt(100)})
	if !ok || place.Endpoint().ID != g.Endpoint || load(node, g.Endpoint) != 1 {
		t.Fatalf("adopted %v, %v", place, ok)
	}
	place.Done(time.Now(), chiveplace.EndedWell)
	if got := load(node, g.Endpoint); got != 0 {
		t.Errorf("%d requests after Done", got)
	}
	if _, ok := node.Adopt(time.Now(), chiveplace.Grant{Endpoint: "unknown"}, chiveplace.Ask{Prompt: shortPrompt(1)}); ok {
		t.Error("a grant for an unknown endpoint was adopted")
	}
}

func TestLossLimitReleaseAndAllowedEndpoints(t *testing.T) {
	p := newPool(2, engine)
	now := time.Now()
	_, err := p.Grant(now, "n1", 1, chiveplace.Ask{Prompt: longPrompt(1, 100), Most: 1e-9})
	var refused *chiveplace.RefusedError
	if !errors.As(err, &refused) || refused.Loss <= 0 {
		t.Errorf("got %v, want a refusal with the loss of the place", err)
	}
	g := grant(t, p, now, "n1", 2, 100)
	p.Release(func(string) bool { return false })
	if got := load(p, g.Endpoint); got != 0 {
		t.Errorf("%d requests on an engine that another node owns now", got)
	}
	only := []string{"e1"}
	if g, err := p.Grant(now, "n1", 3, chiveplace.Ask{Prompt: shortPrompt(5), Among: only}); err != nil || g.Endpoint != "e1" {
		t.Errorf("got %v, %v; want the only allowed engine", g, err)
	}
}

// Guards against a grant of an owner that runs an earlier release and does not know the limits to regions.
func TestGrantOutsideTheAllowedDomainsIsNotAdopted(t *testing.T) {
	p := chiveplace.NewPool("a")
	p.SetEngine(engine)
	p.SetEndpoints([]chivedirectory.Endpoint{
		{ID: "e0", Pool: "p", Address: "10.0.0.1:1", FailureDomain: "a"}, {ID: "e1", Pool: "p", Address: "10.0.0.2:1", FailureDomain: "b"},
	})
	ask := chiveplace.Ask{Prompt: longPrompt(1, 100), Domains: chiveresidency.DomainsOf([]string{"a"})}
	if _, ok := p.Adopt(time.Now(), chiveplace.Grant{Endpoint: "e1"}, ask); ok {
		t.Error("a grant outside the allowed failure domains was adopted")
	}
	place, ok := p.Adopt(time.Now(), chiveplace.Grant{Endpoint: "e0", Reads: 100, Fetches: 5000, FetchFrom: "10.0.0.2:1"}, ask)
	if !ok || place.FetchFrom() != "" || place.Reads() != 5100 {
		t.Fatalf("adopted %v, fetches from %q, reads %d; want 5100 and no fetch", ok, place.FetchFrom(), place.Reads())
	}
}
