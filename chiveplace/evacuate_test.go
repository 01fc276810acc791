package chiveplace_test

import (
	"errors"
	"testing"
	"time"

	"chivedrift/chivedirectory"
	"chivedrift/chiveplace"
	"chivedrift/chiveresidency"
)

// newPoolInDomains returns a pool of one engine with an address in each of the failure domains.
func newPoolInDomains(domains ...string) *chiveplace.Pool {
	p := chiveplace.NewPool("z9")
	p.SetEngine(engine)
	var endpoints []chivedirectory.Endpoint
	for _, domain := range domains {
		endpoints = append(endpoints, chivedirectory.Endpoint{ID: "in-" + domain, Pool: "p", Address: "127.0.0.1:1" + domain[1:], FailureDomain: domain})
	}
	p.SetEndpoints(endpoints)
	return p
}

// Guards against a request that an owner places in an evacuated failure domain because it has not learnt of the
// evacuation.
func TestGrantInEvacuatedDomainIsNotAdopted(t *testing.T) {
	owner, requester := newPoolInDomains("z0"), newPoolInDomains("z0")
	ask := chiveplace.Ask{Prompt: longPrompt(1, 100)}
	g, err := owner.Grant(time.Now(), "n1", 1, ask)
	if err != nil {
		t.Fatal(err)
	}
	requester.SetEvacuated([]string{"z0"})
	if _, ok := requester.Adopt(time.Now(), g, ask); ok {
		t.Error("the grant was adopted")
	}
	if excluded := requester.NotAllowed(ask, []string{"in-z0"}); len(excluded) != 1 {
		t.Errorf("the owner is asked without %v excluded", excluded)
	}
}

// Guards against a request that is sent after the failure domain of its endpoint has been evacuated, since the endpoint
// was chosen just before.
func TestPlaceInDomainEvacuatedSinceIsNotAccepted(t *testing.T) {
	p := newPoolInDomains("z0", "z1")
	place := take(t, p, time.Now(), longPrompt(1, 100))
	p.SetEvacuated([]string{place.Endpoint().FailureDomain})
	if place.Accepts(time.Now()) {
		t.Error("the place is still accepted")
	}
	p.SetEvacuated(nil)
	if !place.Accepts(time.Now()) {
		t.Error("the place is not accepted after the end of the evacuation")
	}
}

// Guards against fetches from engines in an evacuated failure domain: by the node's own choice, by an owner's, from the
// engine that an overloaded owner names, and by a choice made before the evacuation.
func TestNothingIsFetchedFromEvacuatedDomains(t *testing.T) {
	for name, fetchFrom := range map[string]func(p *chiveplace.Pool, now time.Time, holder string) string{
		"own choice": func(p *chiveplace.Pool, now time.Time, _ string) string {
			p.SetEvacuated([]string{"z0"})
			return take(t, p, now, longPrompt(1, 200)).FetchFrom()
		},
		"grant": func(p *chiveplace.Pool, now time.Time, holder string) string {
			p.SetEvacuated([]string{"z0"})
			place, ok := p.Adopt(now, chiveplace.Grant{Endpoint: "in-z1", Reads: 3700, Fetches: 13_000, FetchFrom: holder}, chiveplace.Ask{Prompt: longPrompt(1, 200)})
			if !ok || place.Reads() != 16_700 {
				t.Errorf("adopted %v, reads %d tokens", ok, place.Reads())
			}
			return place.FetchFrom()
		},
		"overloaded owner": func(p *chiveplace.Pool, now time.Time, holder string) string {
			p.SetEvacuated([]string{"z0"})
			place := take(t, p, now, longPrompt(9, 200))
			place.FetchInstead(holder, 13_000)
			return place.FetchFrom()
		},
		"choice before the evacuation": func(p *chiveplace.Pool, now time.Time, holder string) string {
			reportLongQueue(p, now, "in-z0")
			place := take(t, p, now, longPrompt(1, 200))
			if place.FetchFrom() != holder {
				t.Errorf("fetches from %q without an evacuation", place.FetchFrom())
			}
			p.SetEvacuated([]string{"z0"})
			from := place.FetchWithin(chiveresidency.Domains{})
			if place.Reads() != 16_700 {
				t.Errorf("reads %d tokens after the evacuation, want 16700", place.Reads())
			}
			return from
		},
	} {
		p := newPoolInDomains("z0")
		now := time.Now()
		first := take(t, p, now, longPrompt(1, 100))
		now = now.Add(2 * time.Second)
		first.Event(now, 0)
		holder := first.Endpoint()
		p.SetEndpoints([]chivedirectory.Endpoint{holder, {ID: "in-z1", Pool: "p", Address: "127.0.0.1:11", FailureDomain: "z1"}})
		if from := fetchFrom(p, now, holder.Address); from != "" {
			t.Errorf("%s: fetches from %s", name, from)
		}
	}
}

// Guards against cache queries that a node sends to engines in an evacuated failure domain.
func TestCachesInEvacuatedDomainsAreNotQueried(t *testing.T) {
	p := newPoolInDomains("z0", "z1")
	p.SetEvacuated([]string{"z0"})
	if got := p.TakeUnasked(nil, 9); len(got) != 1 || got[0].ID != "in-z1" {
		t.Errorf("queried %v", got)
	}
	p.SetEvacuated(nil)
	if got := p.TakeUnasked(nil, 9); len(got) != 1 || got[0].ID != "in-z0" {
		t.Errorf("queried %v after the end of the evacuation", got)
	}
}

// Guards against callers that retry every few hundred milliseconds while only an operator can make their requests
// possible, and against a long Retry-After while an endpoint elsewhere is only restarting.
func TestRetryAfterWhileDomainsAreEvacuated(t *testing.T) {
	refused := func(p *chiveplace.Pool, ask chiveplace.Ask) *chiveplace.RefusedError {
		var e *chiveplace.RefusedError
		if _, err := p.Take(time.Now(), ask); !errors.As(err, &e) {
			t.Fatalf("got %v", err)
		}
		return e
	}
	p := newPoolInDomains("z0", "z1", "z2")
	ask := chiveplace.Ask{Prompt: longPrompt(1, 100)}
	p.SetEvacuated([]string{"z0", "z1", "z2"})
	if e := refused(p, ask); !e.Evacuated || e.RetryAfter != 10*time.Second {
		t.Errorf("all evacuated: got %+v", e)
	}
	p.SetEvacuated([]string{"z0", "z1"})
	limited := ask
	limited.Domains = chiveresidency.DomainsOf([]string{"z1", "z5"})
	if e := refused(p, limited); !e.Evacuated {
		t.Errorf("all allowed ones evacuated: got %+v", e)
	}
	p.ApplyEndpoints(chivedirectory.Diff{Gone: []chivedirectory.Endpoint{{ID: "in-z2"}}})
	if e := refused(p, ask); e.Evacuated || e.RetryAfter > time.Second {
		t.Errorf("an endpoint elsewhere restarts: got %+v", e)
	}
}
