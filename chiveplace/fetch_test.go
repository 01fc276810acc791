package chiveplace_test

import (
	"testing"
	"time"

	"chivedrift/chivedirectory"
	"chivedrift/chiveplace"
	"chivedrift/chivetable"
)

// newPoolWithAddresses returns a pool of two engines with addresses.
func newPoolWithAddresses() *chiveplace.Pool {
	p := chiveplace.NewPool("a")
	p.SetEngine(engine)
	p.SetEndpoints([]chivedirectory.Endpoint{{ID: "e0", Address: "127.0.0.1:1000"}, {ID: "e1", Address: "127.0.0.1:1001"}})
	return p
}

// reportLongQueue reports a long queue of another node's requests on an engine.
func reportLongQueue(p *chiveplace.Pool, now time.Time, endpoint string) {
	p.Hear(now, "other", &chiveplace.Report{Loads: []chiveplace.Load{{Endpoint: endpoint, Requests: 9, Waiting: []int64{90_000}}}})
}

// Guards against recomputing a shared prefix instead of fetching it from the engine that has it cached.
func TestPartsAreFetchedFromTheEngineThatHasThemCached(t *testing.T) {
	p := newPoolWithAddresses()
	now := time.Now()
	first := take(t, p, now, longPrompt(1, 100))
	now = now.Add(2 * time.Second)
	first.Event(now, 0)
	reportLongQueue(p, now, first.Endpoint().ID)
	next := take(t, p, now, longPrompt(1, 200))
	if next.Endpoint().ID == first.Endpoint().ID {
		t.Fatal("the request is queued behind 90,000 tokens")
	}
	if next.FetchFrom() != first.Endpoint().Address || next.Fetches() != 13_000 || next.Reads() != 3700 || next.Again() != 0 {
		t.Errorf("fetches %d tokens from %q, prefills %d, recomputes %d of them", next.Fetches(), next.FetchFrom(), next.Reads(), next.Again())
	}
}

// Guards against fetching from an engine that has not prefilled the part yet, or from one that was ejected or tried
// already and may be dead.
func TestNothingIsFetchedFromUnavailableEngines(t *testing.T) {
	for name, prepare := range map[string]func(p *chiveplace.Pool, now time.Time, place *chiveplace.Place) (time.Time, []string){
		"still prefilling": func(_ *chiveplace.Pool, now time.Time, _ *chiveplace.Place) (time.Time, []string) { return now, nil },
		"ejected": func(_ *chiveplace.Pool, now time.Time, place *chiveplace.Place) (time.Time, []string) {
			now = now.Add(2 * time.Second)
			place.Done(now, chiveplace.EndedBroken)
			return now, nil
		},
		"excluded": func(_ *chiveplace.Pool, now time.Time, place *chiveplace.Place) (time.Time, []string) {
			return now.Add(2 * time.Second), []string{place.Endpoint().ID}
		},
	} {
		p := newPoolWithAddresses()
		now := time.Now()
		first := take(t, p, now, longPrompt(1, 100))
		later, exclude := prepare(p, now, first)
		reportLongQueue(p, later, first.Endpoint().ID)
		next, err := p.Take(later, chiveplace.Ask{Prompt: longPrompt(1, 200), Exclude: exclude})
		if err != nil {
			t.Fatal(err)
		}
		if next.FetchFrom() != "" {
			t.Errorf("%s: fetches from %s", name, next.FetchFrom())
		}
	}
}

// Guards against fetching for ever where it takes as long as a prefill, as with engines that ignore the request to
// fetch.
func TestFetchingAsSlowAsPrefillStops(t *testing.T) {
	p := chiveplace.NewPool("a")
	p.SetEngine(chivetable.Engine{Slots: 64, CacheTokens: 5_000_000, TokensPerEvent: 4})
	p.SetEndpoints([]chivedirectory.Endpoint{{ID: "e0", Address: "127.0.0.1:1000"}, {ID: "e1", Address: "127.0.0.1:1001"}})
	now := time.Now()
	lastFetch := 0
	for i := range 400 {
		for _, own := range []int{2 * i, 2*i + 1} {
			place := take(t, p, now, longPrompt(i, 10_000+own))
			if place.FetchFrom() != "" {
				lastFetch = i
			}
			took := time.Duration(30+(place.Reads()+place.Fetches())/30) * time.Millisecond
			now = now.Add(took)
			place.Event(now, 0)
			place.Done(now, chiveplace.EndedWell)
			reportLongQueue(p, now, place.Endpoint().ID)
		}
		p.Hear(now, "other", &chiveplace.Report{All: true})
		now = now.Add(time.Second)
	}
	t.Logf("last fetch by pair %d", lastFetch)
	if lastFetch > 100 {
		t.Errorf("still fetched after %d pairs of requests for which it took as long as a prefill", lastFetch)
	}
}
