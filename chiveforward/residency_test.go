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

// randomDeployment is a deployment in three regions whose routes, teams and endpoints change at random.
type randomDeployment struct {
	random  *rand.Rand
	regions chiveresidency.Map
	pools   *chiveforward.Pools
	table   *chivetable.Table
	version int64
}

func newRandomDeployment(seed uint64) *randomDeployment {
	d := &randomDeployment{
		random:  rand.New(rand.NewPCG(seed, 1)),
		regions: chiveresidency.Map{"a1": "a", "a2": "a", "b1": "b", "c1": "c"}, pools: chiveforward.NewPools("a1"),
	}
	d.pools.SetRegions(d.regions)
	d.changeConfiguration()
	d.changeEndpoints()
	return d
}

// randomRegions returns a random list of regions; nil stands for every region.
func (d *randomDeployment) randomRegions() []string {
	if d.random.IntN(3) == 0 {
		return nil
	}
	regions := []string{}
	for _, r := range []string{"a", "b", "c"} {
		if d.random.IntN(2) == 0 {
			regions = append(regions, r)
		}
	}
	return regions
}

func (d *randomDeployment) changeConfiguration() {
	d.version++
	shares := []chivetable.Share{{Pool: "p", Weight: 1}}
	d.table, _ = chivetable.New(chivetable.Spec{
		Version: d.version,
		Routes: []chivetable.Route{
			{Name: "r0", Host: "h", Prefix: "/0/", Shares: shares, Residency: chiveresidency.Within(d.randomRegions())},
			{Name: "r1", Host: "h", Prefix: "/1/", Shares: shares, Residency: chiveresidency.Within(d.randomRegions())},
		},
		Pools:    []chivetable.Pool{{Name: "p", Engine: chivetable.Engine{Slots: 4, CacheTokens: 50_000, TokensPerEvent: 4}}},
		Teams:    []chivetable.Team{{Name: "t0", Residency: chiveresidency.Within(d.randomRegions())}, {Name: "t1"}},
		TeamKeys: map[string]int{"k0": 0, "k1": 1},
	})
	d.pools.SetTable(d.table)
}

// changeEndpoints adds and removes endpoints at random. "d1" is a failure domain without a known region.
func (d *randomDeployment) changeEndpoints() {
	var diff chivedirectory.Diff
	for i := range 8 {
		domain := []string{"a1", "a2", "b1", "c1", "d1"}[d.random.IntN(5)]
		e := chivedirectory.Endpoint{ID: fmt.Sprintf("e%d", i), Pool: "p", Address: fmt.Sprintf("10.0.0.%d:1", i), FailureDomain: domain}
		if d.random.IntN(3) == 0 {
			diff.Gone = append(diff.Gone, e)
		} else {
			diff.Changed = append(diff.Changed, e)
		}
	}
	d.pools.ApplyEndpoints(diff)
}

func (d *randomDeployment) request() *chiverequest.Request {
	route, _ := d.table.Match("h", []string{"/0/", "/1/"}[d.random.IntN(2)])
	team, _ := d.table.Team([]string{"k0", "k1"}[d.random.IntN(2)])
	r := &chiverequest.Request{Route: route, Pool: "p", Team: team.Name, Residency: route.Residency.Intersect(team.Residency)}
	if d.random.IntN(2) == 0 {
		r.Prompt = &chiverequest.Prompt{
			Parts: []chiverequest.Part{{ID: uint64(d.random.IntN(3)), Tokens: 8000}}, Input: 9000, Target: time.Second, Urgent: time.Second, Pause: time.Second,
		}
	}
	return r
}

// Guards against serving a request, or fetching its prompt, outside the regions that its route and team allow.
func TestRequestsStayInAllowedRegions(t *testing.T) {
	const histories = 20_000
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	placed, refusedForRegions := 0, 0
	for seed := range uint64(histories) {
		d := newRandomDeployment(seed)
		request, exclude := d.request(), []string(nil)
		for range 8 {
			switch d.random.IntN(6) {
			case 0:
				d.changeConfiguration()
			case 1:
				d.changeEndpoints()
			case 2:
				d.pools.SetEvacuated([]string{[]string{"a1", "b1"}[d.random.IntN(2)]})
			case 3:
				request, exclude = d.request(), nil
			}
			place, err := d.pools.Take(cancelled, request, exclude)
			current, _ := d.table.Residency(request.Route.Name, request.Team)
			var refused *chiveplace.RefusedError
			if errors.As(err, &refused) {
				if current.AllowsNone() {
					refusedForRegions++
				}
				continue
			}
			placed++
			target := place.Target()
			if region := d.regions[target.FailureDomain]; !current.Allows(region) || !request.Residency.Allows(region) {
				t.Fatalf("seed %d: served in region %q, but the policy is %s now and was %s on arrival", seed, region, current, request.Residency)
			}
			if from := place.FetchFrom(); from != "" && !d.allowsAddress(from, current) {
				t.Fatalf("seed %d: prompt is fetched from %s, but the policy is %s", seed, from, current)
			}
			exclude = append(exclude, target.Incarnation)
			place.Done(time.Now(), []chiveplace.Ending{chiveplace.EndedWell, chiveplace.EndedBroken, chiveplace.EndedFull}[d.random.IntN(3)])
		}
	}
	if placed < histories || refusedForRegions == 0 {
		t.Errorf("only %d requests were placed and %d refused for lack of an allowed region", placed, refusedForRegions)
	}
}

// allowsAddress reports whether some endpoint at an address is in a region that the policy allows.
func (d *randomDeployment) allowsAddress(address string, p chiveresidency.Policy) bool {
	domains := d.regions.Domains(p)
	return slices.ContainsFunc(d.pools.Pool("p").States(time.Now()), func(s chiveplace.EndpointState) bool {
		return s.Address == address && domains.Contains(s.FailureDomain)
	})
}
