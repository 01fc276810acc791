package chiveplace_test

import (
	"testing"
	"time"

	"chivedrift/chivedirectory"
	"chivedrift/chiveplace"
	"chivedrift/chivetable"
)

// addressed is a pool of two engines with addresses.
func addressed() *chiveplace.Pool {
	p := chiveplace.NewPool("a")
	p.SetEngine(engine)
	p.SetEndpoints([]chivedirectory.Endpoint{{ID: "e0", Address: "127.0.0.1:1000"}, {ID: "e1", Address: "127.0.0.1:1001"}})
	return p
}

// otherQueue tells of a long queue on an engine.
func otherQueue(p *chiveplace.Pool, now time.Time, endpoint string) {
	p.Hear(now, "other", &chiveplace.Report{Loads: []chiveplace.Load{{Endpoint: endpoint, Requests: 9, Waiting: []int64{90_000}}}})
}

// Guards against computing a shared prefix again instead of fetching it from the engine that has it.
func TestPartsAreFetchedFromTheEngineThatReadThem(t *testing.T) {
	p := addressed()
	now := time.Now()
	first := take(t, p, now, longPrompt(1, 100))
	now = now.Add(2 * time.Second)
	first.Event(now, 0)
	otherQueue(p, now, first.Endpoint().ID)
	next := take(t, p, now, longPrompt(1, 200))
	if next.Endpoint().ID == first.Endpoint().ID {
		t.Fatal("the request waits behind 90,000 tokens")
	}
	if next.FetchFrom() != first.Endpoint().Address || next.Fetches() != 13_000 || next.Reads() != 3700 || next.Again() != 0 {
		t.Errorf("fetches %d tokens from %q, reads %d, of them again %d", next.Fetches(), next.FetchFrom(), next.Reads(), next.Again())
	}
}

// An engine that is only about to read a part has nothing to fetch yet, and one that is passed over or was tried may be dead.
func TestNothingIsFetchedFromEnginesThatCannotGiveIt(t *testing.T) {
	for name, spoil := range map[string]func(p *chiveplace.Pool, now time.Time, place *chiveplace.Place) (time.Time, []string){
		"still reading": func(_ *chiveplace.Pool, now time.Time, _ *chiveplace.Place) (time.Time, []string) { return now, nil },
		"passed over": func(_ *chiveplace.Pool, now time.Time, place *chiveplace.Place) (time.Time, []string) {
			now = now.Add(2 * time.Second)
			place.Done(now, chiveplace.EndedBroken)
			return now, nil
		},
		"tried already": func(_ *chiveplace.Pool, now time.Time, place *chiveplace.Place) (time.Time, []string) {
			return now.Add(2 * time.Second), []string{place.Endpoint().ID}
		},
	} {
		p := addressed()
		now := time.Now()
		first := take(t, p, now, longPrompt(1, 100))
		later, exclude := spoil(p, now, first)
		otherQueue(p, later, first.Endpoint().ID)
		next, err := p.Take(later, chiveplace.Ask{Prompt: longPrompt(1, 200), Exclude: exclude})
		if err != nil {
			t.Fatal(err)
		}
		if next.FetchFrom() != "" {
			t.Errorf("%s: fetches from %s", name, next.FetchFrom())
		}
	}
}

// Where fetching takes as long as reading, as with engines that ignore the wish, it is not asked for any more.
func TestFetchingThatDoesNotPayIsGivenUp(t *testing.T) {
	p := chiveplace.NewPool("a")
	p.SetEngine(chivetable.Engine{Slots: 64, CacheTokens: 5_000_000, TokensPerEvent: 4})
	p.SetEndpoints([]chivedirectory.Endpoint{{ID: "e0", Address: "127.0.0.1:1000"}, {ID: "e1", Address: "127.0.0.1:1001"}})
	now := time.Now()
	fetched := 0
	for i := range 400 {
		for _, own := range []int{2 * i, 2*i + 1} {
			place := take(t, p, now, longPrompt(i, 10_000+own))
			if place.FetchFrom() != "" {
				fetched = i
			}
			took := time.Duration(30+(place.Reads()+place.Fetches())/30) * time.Millisecond
			now = now.Add(took)
			place.Event(now, 0)
			place.Done(now, chiveplace.EndedWell)
			otherQueue(p, now, place.Endpoint().ID)
		}
		p.Hear(now, "other", &chiveplace.Report{All: true})
		now = now.Add(time.Second)
	}
	t.Logf("last fetched with pair %d", fetched)
	if fetched > 100 {
		t.Errorf("still fetched after %d pairs of requests that showed that it takes as long as reading", fetched)
	}
}
