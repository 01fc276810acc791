package chiveroute

import (
	"fmt"
	"maps"
	"slices"
	"sort"

	"chivedrift/chiveconfig"
	"chivedrift/chivemember"

	"github.com/cespare/xxhash/v2"
)

// Shard is a group of endpoints of one pool and region with a single scheduler.
type Shard struct {
	id        string
	pool      string
	region    string
	endpoints []chiveconfig.Endpoint
}

// ID returns the name of the shard, which is the same on all nodes.
func (s Shard) ID() string { return s.id }

// Pool returns the pool of the endpoints.
func (s Shard) Pool() string { return s.pool }

// Region returns the region of the endpoints.
func (s Shard) Region() string { return s.region }

// Endpoints returns the shard's endpoints.
func (s Shard) Endpoints() []chiveconfig.Endpoint { return s.endpoints }

// Shards splits the endpoints of every model pool into shards. The result depends only on the configuration, so all
// nodes agree on it.
//
// Each shard gets endpoints of every failure domain in turn. The loss of a failure domain then costs every shard a part
// of its capacity, rather than some shards all of it.
func Shards(config *chiveconfig.Config) []Shard {
	var shards []Shard
	for i := range config.Pools {
		pool := &config.Pools[i]
		if pool.Kind != chiveconfig.KindModel {
			continue
		}
		byRegion := make(map[string][]chiveconfig.Endpoint)
		for _, e := range pool.Endpoints {
			byRegion[e.Region] = append(byRegion[e.Region], e)
		}
		for _, region := range slices.Sorted(maps.Keys(byRegion)) {
			shards = append(shards, splitIntoShards(pool.Name, region, byRegion[region], int(config.Routing.EndpointsPerShard))...)
		}
	}
	return shards
}

func splitIntoShards(pool, region string, endpoints []chiveconfig.Endpoint, maxEndpoints int) []Shard {
	count := (len(endpoints) + maxEndpoints - 1) / maxEndpoints
	shards := make([]Shard, count)
	for i := range shards {
		shards[i] = Shard{id: fmt.Sprintf("%s/%s/%d", pool, region, i), pool: pool, region: region}
	}
	for i, e := range sortByFailureDomain(endpoints) {
		s := &shards[i%count]
		s.endpoints = append(s.endpoints, e)
	}
	return shards
}

// sortByFailureDomain sorts endpoints by failure domain, so that dealing them out in turn spreads every failure domain
// over all shards.
func sortByFailureDomain(endpoints []chiveconfig.Endpoint) []chiveconfig.Endpoint {
	ordered := append([]chiveconfig.Endpoint(nil), endpoints...)
	sort.Slice(ordered, func(i, j int) bool {
		if ordered[i].FailureDomain != ordered[j].FailureDomain {
			return ordered[i].FailureDomain < ordered[j].FailureDomain
		}
		return ordered[i].Name < ordered[j].Name
	})
	return ordered
}

// Ranked sorts the members that are alive by rendezvous hashing for a key, those of the region first. Leaving members
// are not returned.
//
// The first member owns the key. If it fails, the second takes over, and no other key moves.
func Ranked(key, region string, members []chivemember.Member) []chivemember.Member {
	ranked := make([]chivemember.Member, 0, len(members))
	for _, m := range members {
		if m.State == chivemember.Alive {
			ranked = append(ranked, m)
		}
	}
	weights := make(map[string]uint64, len(ranked))
	for _, m := range ranked {
		weights[m.Name] = xxhash.Sum64String(key + "|" + m.Name)
	}
	sort.Slice(ranked, func(i, j int) bool {
		a, b := ranked[i], ranked[j]
		if (a.Region == region) != (b.Region == region) {
			return a.Region == region
		}
		if weights[a.Name] != weights[b.Name] {
			return weights[a.Name] > weights[b.Name]
		}
		return a.Name < b.Name
	})
	return ranked
}

// Owner returns the address of the first of the ranked members, and false if no member is alive.
func Owner(key string, members []chivemember.Member) (address string, ok bool) {
	ranked := Ranked(key, "", members)
	if len(ranked) == 0 {
		return "", false
	}
	return ranked[0].Address, true
}

// BecomesOwner reports whether a change of the members makes the node with an address the owner of a key.
func BecomesOwner(address, key string, before, after []chivemember.Member) bool {
	owner, ok := Owner(key, after)
	if !ok || owner != address {
		return false
	}
	owner, ok = Owner(key, before)
	return !ok || owner != address
}
