package chiveplace_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"chivedrift/chivedirectory"
	"chivedrift/chivedistance"
	"chivedrift/chiveplace"
	"chivedrift/chiverequest"
	"chivedrift/chiveresidency"
	"chivedrift/chivetable"
)

const roundTrip = 60 * time.Millisecond

// newSpanningPool returns the pool of a node in failure domain a, with engines in the domains a and b of two regions.
func newSpanningPool(engines int, capacity chivetable.Engine) *chiveplace.Pool {
	p := chiveplace.NewPool("a")
	p.SetEngine(capacity)
	p.SetDistances(chivedistance.NewMap("ra", chiveresidency.Map{"a": "ra", "b": "rb"}, map[string]time.Duration{"rb": roundTrip}, roundTrip))
	var endpoints []chivedirectory.Endpoint
	for i := range engines {
		for _, domain := range []string{"a", "b"} {
			id := fmt.Sprint(domain, i)
			endpoints = append(endpoints, chivedirectory.Endpoint{ID: id, Address: id, Pool: "p", FailureDomain: domain})
		}
	}
	p.SetEndpoints(endpoints)
	return p
}

// Guards against requests that cross regions while engines in their own are idle.
func TestIdleEnginesOfTheOwnRegionAreChosen(t *testing.T) {
	for _, engines := range []int{3, 50} {
		p := newSpanningPool(engines, engine)
		near := 0
		const requests = 40
		for i := range requests {
			place := take(t, p, time.Now(), shortPrompt(100+i))
			if place.Endpoint().FailureDomain == "a" {
				near++
			}
			place.Done(time.Now(), chiveplace.EndedWell)
		}
		if near < requests*9/10 {
			t.Errorf("%d engines a region: %d of %d requests stay in their region", engines, near, requests)
		}
	}
}

// Guards against an owner that grants engines next to itself, but far from the node that sends the request.
func TestGrantCountsTheWayOfThePeer(t *testing.T) {
	p := newSpanningPool(3, engine)
	granted, err := p.Grant(time.Now(), "peer", 1, chiveplace.Ask{Prompt: promptWithoutPauseLimit(1), From: "b"})
	if err != nil {
		t.Fatal(err)
	}
	if granted.Endpoint[0] != 'b' {
		t.Errorf("a node in b is granted %s", granted.Endpoint)
	}
}

// Guards against fetches of cached tokens that take longer than reading them again, because the engines lie far apart.
func TestShortPartsAreNotFetchedFromAnotherRegion(t *testing.T) {
	for _, c := range []struct {
		shared int64
		want   int64
	}{{2000, 0}, {13_000, 13_000}} {
		p := newSpanningPool(1, engine)
		now := time.Now()
		prompt := func(own uint64) *chiverequest.Prompt {
			return &chiverequest.Prompt{Parts: []chiverequest.Part{{ID: 1, Tokens: c.shared}, {ID: own, Tokens: 100}}, Input: c.shared + 100, Target: 2 * time.Second}
		}
		first := take(t, p, now, prompt(100))
		now = now.Add(2 * time.Second)
		first.Done(now, chiveplace.EndedWell)
		reportLongQueue(p, now, first.Endpoint().ID)
		next := take(t, p, now, prompt(200))
		if next.Endpoint().ID == first.Endpoint().ID || next.Fetches() != c.want {
			t.Errorf("%d shared tokens: %s fetches %d, want %d", c.shared, next.Endpoint().ID, next.Fetches(), c.want)
		}
	}
}

// Guards against far engines that are taken for slow ones, because the way there counts as their time to read.
func TestTheWayIsNotLearntAsTimeOfTheEngine(t *testing.T) {
	p := newSpanningPool(1, engine)
	now := time.Now()
	far := chiveplace.Ask{Prompt: promptWithoutPauseLimit(1), Domains: chiveresidency.DomainsOf([]string{"b"})}
	var expected []time.Duration
	for i := range 100 {
		far.Prompt = promptWithoutPauseLimit(i + 1)
		place, err := p.Take(now, far)
		if err != nil {
			t.Fatal(err)
		}
		expected = append(expected, place.Expected())
		now = now.Add(expected[0])
		place.Event(now, 0)
		place.Done(now, chiveplace.EndedWell)
	}
	if change := expected[99] - expected[0]; change.Abs() > expected[0]/20 {
		t.Errorf("predicted %v first, and %v after 100 answers that took just that", expected[0], expected[99])
	}
	if near := take(t, p, now, promptWithoutPauseLimit(1000)); near.Expected() > expected[0]-roundTrip*9/10 {
		t.Errorf("an engine nearby is expected to take %v, the far one %v", near.Expected(), expected[0])
	}
}

// Guards against plain requests that cross regions as long as no response time is known, and against those that stay
// behind a queue.
func TestPlainRequestsCountTheWay(t *testing.T) {
	p := newSpanningPool(1, chivetable.Engine{})
	now := time.Now()
	var domains string
	for range 8 {
		domains += take(t, p, now, nil).Endpoint().FailureDomain
	}
	if !strings.HasPrefix(domains, "aa") || !strings.Contains(domains, "b") {
		t.Errorf("eight requests at once go to %s", domains)
	}
}

// Guards against operators who cannot tell requests that lack room in their region from those that follow their shared part.
func TestCrossingsNameTheirReason(t *testing.T) {
	for name, c := range map[string]struct {
		shared  int64
		domains []string
		want    chiveplace.Crossing
	}{
		"own region":                  {350, nil, chiveplace.CrossingNone},
		"no endpoint in own region":   {350, []string{"b"}, chiveplace.CrossingSpill},
		"home in the other region":    {13_000, []string{"b"}, chiveplace.CrossingHome},
		"long part, but at home here": {13_000, []string{"a"}, chiveplace.CrossingNone},
	} {
		p := newSpanningPool(1, engine)
		prompt := &chiverequest.Prompt{Parts: []chiverequest.Part{{ID: 1, Tokens: c.shared}, {ID: 2, Tokens: 100}}, Input: c.shared + 100, Target: 2 * time.Second}
		place, err := p.Take(time.Now(), chiveplace.Ask{Prompt: prompt, Domains: chiveresidency.DomainsOf(c.domains)})
		if err != nil {
			t.Fatal(err)
		}
		if place.Crossing() != c.want {
			t.Errorf("%s: got %q, want %q", name, place.Crossing(), c.want)
		}
	}
}

// Guards against requests that leave a busy region although the bytes cost more than the wait.
func TestTrafficBetweenRegionsCostsWhatIsSet(t *testing.T) {
	for _, c := range []struct {
		requestsPerGB float64
		want          string
	}{{0, "b"}, {10_000, "a"}} {
		p := newSpanningPool(1, engine)
		p.SetTraffic(chiveplace.Traffic{RequestsPerGB: c.requestsPerGB, PromptTokenBytes: 100})
		now := time.Now()
		p.Hear(now, "other", &chiveplace.Report{Loads: []chiveplace.Load{{Endpoint: "a0", Requests: 9, Waiting: []int64{40_000}}}})
		if got := take(t, p, now, promptWithoutPauseLimit(1)).Endpoint().FailureDomain; got != c.want {
			t.Errorf("at %v requests a gigabyte a prompt of 110 kB is placed in %s, want %s", c.requestsPerGB, got, c.want)
		}
	}
}

// Guards against streams that cross regions to an engine with other streams that long prefills would delay, while engines of
// their own region are idle.
func TestSensitiveStreamsGatherInTheirOwnRegion(t *testing.T) {
	p := newSpanningPool(3, engine)
	now := time.Now()
	p.Hear(now, "other", &chiveplace.Report{Loads: []chiveplace.Load{{Endpoint: "b0", Requests: 1, Tight: 1}}})
	first, second := take(t, p, now, shortPrompt(1)), take(t, p, now, shortPrompt(2))
	if first.Endpoint().FailureDomain != "a" || second.Endpoint().ID != first.Endpoint().ID {
		t.Errorf("two streams go to %s and %s", first.Endpoint().ID, second.Endpoint().ID)
	}
}

// Guards against streams that a far home refuses although its engine holds their part and other streams run there.
func TestSensitiveStreamIsPlacedAtItsFarHome(t *testing.T) {
	p := newSpanningPool(3, engine)
	now := time.Now()
	stream := func(own uint64) *chiverequest.Prompt {
		return &chiverequest.Prompt{Parts: []chiverequest.Part{{ID: 1, Tokens: 13_000}, {ID: own, Tokens: 300}}, Input: 13_300, Target: 2 * time.Second, Pause: 250 * time.Millisecond}
	}
	home := chiveplace.Ask{Prompt: stream(2), Among: []string{"b0", "b1", "b2"}}
	first, err := p.Take(now, home)
	if err != nil {
		t.Fatal(err)
	}
	first.Event(now.Add(300*time.Millisecond), 0)
	const spillLossMargin = 0.3
	home.Prompt, home.Most, home.MostReads = stream(3), spillLossMargin, 13_300
	if _, err := p.Take(now.Add(20*time.Second), home); err != nil {
		t.Errorf("the home refuses: %v", err)
	}
}

// Guards against engines that appear to need no time, and requests that crowd there, because the way to their region is
// assumed to be longer than it is.
func TestNothingIsLearntFromAnAssumedWay(t *testing.T) {
	for _, took := range []time.Duration{100 * time.Millisecond, 400 * time.Millisecond} {
		p := newSpanningPool(1, engine)
		p.SetDistances(chivedistance.NewMap("ra", chiveresidency.Map{"a": "ra", "b": "rb"}, nil, 160*time.Millisecond))
		now := time.Now()
		var expected []time.Duration
		for i := range 200 {
			place, err := p.Take(now, chiveplace.Ask{Prompt: promptWithoutPauseLimit(i + 1), Domains: chiveresidency.DomainsOf([]string{"b"})})
			if err != nil {
				t.Fatal(err)
			}
			expected = append(expected, place.Expected())
			now = now.Add(took)
			place.Event(now, 0)
			place.Done(now, chiveplace.EndedWell)
		}
		if last := expected[len(expected)-1]; last != expected[0] {
			t.Errorf("expected %v first, %v after 200 answers within %v", expected[0], last, took)
		}
		for _, state := range p.States(now) {
			if state.TookMs != 0 {
				t.Errorf("%s: a response time of %v ms is learnt", state.Endpoint, state.TookMs)
			}
		}
	}
}

// Guards against all long parts that are read again in each region at once, because one region loses its nodes or engines.
func TestRegionThatIsSilentOrGoneMovesNoHomes(t *testing.T) {
	domains := chiveresidency.Map{"a": "ra", "b": "rb", "c": "rc"}
	near, far := map[string]time.Duration{"rb": roundTrip}, map[string]time.Duration{"rb": roundTrip, "rc": 160 * time.Millisecond}
	prompt := &chiverequest.Prompt{Parts: []chiverequest.Part{{ID: 1, Tokens: 13_000}, {ID: 2, Tokens: 300}}, Input: 13_300, Target: 2 * time.Second}
	endpointsIn := func(domains ...string) (endpoints []chivedirectory.Endpoint) {
		for _, domain := range domains {
			endpoints = append(endpoints, chivedirectory.Endpoint{ID: domain, Address: domain, Pool: "p", FailureDomain: domain})
		}
		return endpoints
	}
	p := chiveplace.NewPool("a")
	p.SetEngine(engine)
	for _, c := range []struct {
		name      string
		known     map[string]time.Duration
		endpoints []chivedirectory.Endpoint
		want      bool
	}{
		{"no way known", nil, endpointsIn("a", "b", "c"), false},
		{"both near", near, endpointsIn("a", "b"), true},
		{"c silent", near, endpointsIn("a", "b", "c"), true},
		{"c 160 ms away", far, endpointsIn("a", "b", "c"), false},
		{"engines in c gone", far, endpointsIn("a", "b"), true},
	} {
		p.SetDistances(chivedistance.NewMap("ra", domains, c.known, 160*time.Millisecond))
		p.SetEndpoints(c.endpoints)
		if got := p.HasFleetHome(prompt); got != c.want {
			t.Errorf("%s: a long part has one home: %v, want %v", c.name, got, c.want)
		}
	}
}
