package chiveforward_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"chivedrift/chivedirectory"
	"chivedrift/chiveforward"
	"chivedrift/chiveplace"
	"chivedrift/chiverequest"
	"chivedrift/chiveresidency"
	"chivedrift/chivetable"
)

// residencyWorld is a deployment of three regions whose routes, teams and endpoints change at random.
type residencyWorld struct {
	random  *rand.Rand
	regions chiveresidency.Map
	pools   *chiveforward.Pools
	table   *chivetable.Table
	version int64
}

func newResidencyWorld(seed uint64) *residencyWorld {
	w := &residencyWorld{
		random:  rand.New(rand.NewPCG(seed, 1)),
		regions: chiveresidency.Map{"a1": "a", "a2": "a", "b1": "b", "c1": "c"}, pools: chiveforward.NewPools("a1"),
	}
	w.pools.SetRegions(w.regions)
	w.configure()
	w.changeEndpoints()
	return w
}

// regionList returns a random list of regions; nil stands for every region.
func (w *residencyWorld) regionList() []string {
	if w.random.IntN(3) == 0 {
		return nil
	}
	list := []string{}
	for _, r := range []string{"a", "b", "c"} {
		if w.random.IntN(2) == 0 {
			list = append(list, r)
		}
	}
	return list
}

func (w *residencyWorld) configure() {
	w.version++
	shares := []chivetable.Share{{Pool: "p", Weight: 1}}
	w.table, _ = chivetable.New(chivetable.Spec{
		Version: w.version,
		Routes: []chivetable.Route{
			{Name: "r0", Host: "h", Prefix: "/0/", Shares: shares, Residency: chiveresidency.Within(w.regionList())},
			{Name: "r1", Host: "h", Prefix: "/1/", Shares: shares, Residency: chiveresidency.Within(w.regionList())},
		},
		Pools:    []chivetable.Pool{{Name: "p", Engine: chivetable.Engine{Slots: 4, CacheTokens: 50_000, TokensPerEvent: 4}}},
		Teams:    []chivetable.Team{{Name: "t0", Residency: chiveresidency.Within(w.regionList())}, {Name: "t1"}},
		TeamKeys: map[string]int{"k0": 0, "k1": 1},
	})
	w.pools.SetTable(w.table)
}

// changeEndpoints lets endpoints come and go; "d1" is a failure domain of no known region.
func (w *residencyWorld) changeEndpoints() {
	var diff chivedirectory.Diff
	for i := range 8 {
		domain := []string{"a1", "a2", "b1", "c1", "d1"}[w.random.IntN(5)]
		e := chivedirectory.Endpoint{ID: fmt.Sprintf("e%d", i), Pool: "p", Address: fmt.Sprintf("10.0.0.%d:1", i), FailureDomain: domain}
		if w.random.IntN(3) == 0 {
			diff.Gone = append(diff.Gone, e)
		} else {
			diff.Changed = append(diff.Changed, e)
		}
	}
	w.pools.ApplyEndpoints(diff)
}

func (w *residencyWorld) request() *chiverequest.Request {
	route, _ := w.table.Match("h", []string{"/0/", "/1/"}[w.random.IntN(2)])
	team, _ := w.table.Team([]string{"k0", "k1"}[w.random.IntN(2)])
	r := &chiverequest.Request{Route: route, Pool: "p", Team: team.Name, Residency: route.Residency.Intersect(team.Residency)}
	if w.random.IntN(2) == 0 {
		r.Prompt = &chiverequest.Prompt{
			Parts: []chiverequest.Part{{ID: uint64(w.random.IntN(3)), Tokens: 8000}}, Input: 9000, Target: time.Second, Urgent: time.Second, Pause: time.Second,
		}
	}
	return r
}

// Guards against a request that is served, or whose prompt is fetched, outside the regions of its route and its team.
func TestNoRequestLeavesItsRegions(t *testing.T) {
	const histories = 20_000
	givenUp, cancel := context.WithCancel(context.Background())
	cancel()
	placed, refusedNone := 0, 0
	for seed := range uint64(histories) {
		w := newResidencyWorld(seed)
		request, exclude := w.request(), []string(nil)
		for range 8 {
			switch w.random.IntN(6) {
			case 0:
				w.configure()
			case 1:
				w.changeEndpoints()
			case 2:
				w.pools.SetEvacuated([]string{[]string{"a1", "b1"}[w.random.IntN(2)]})
			case 3:
				request, exclude = w.request(), nil
			}
			place, err := w.pools.Take(givenUp, request, exclude)
			current, _ := w.table.Residency(request.Route.Name, request.Team)
			var refused *chiveplace.RefusedError
			if errors.As(err, &refused) {
				if current.AllowsNone() {
					refusedNone++
				}
				continue
			}
			placed++
			target := place.Target()
			if region := w.regions[target.FailureDomain]; !current.Allows(region) || !request.Residency.Allows(region) {
				t.Fatalf("seed %d: served in %q, allowed are %s now and %s before", seed, region, current, request.Residency)
			}
			if from := place.FetchFrom(); from != "" && !w.allowsAddress(from, current) {
				t.Fatalf("seed %d: the prompt is fetched from %s, allowed are %s", seed, from, current)
			}
			exclude = append(exclude, target.Incarnation)
			place.Done(time.Now(), []chiveplace.Ending{chiveplace.EndedWell, chiveplace.EndedBroken, chiveplace.EndedFull}[w.random.IntN(3)])
		}
	}
	if placed < histories || refusedNone == 0 {
		t.Errorf("%d places and %d refusals without an allowed region, expected more", placed, refusedNone)
	}
}

// allowsAddress reports whether some endpoint at an address is in a region that the policy allows.
func (w *residencyWorld) allowsAddress(address string, p chiveresidency.Policy) bool {
	domains := w.regions.Domains(p)
	return slices.ContainsFunc(w.pools.Pool("p").States(time.Now()), func(s chiveplace.EndpointState) bool {
		return s.Address == address && domains.Contains(s.FailureDomain)
	})
}
