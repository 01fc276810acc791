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

// Shard is a group of endpoints of one pool in one region with a single scheduler.
type Shard struct {
	id        string
	pool      string
	region    string
	endpoints []chiveconfig.Endpoint
}

// ID returns the shard's name, the same on all nodes.
func (s Shard) ID() string { return s.id }

// Pool returns the pool whose endpoints these are.
func (s Shard) Pool() string { return s.pool }

// Region returns the region in which the endpoints are.
func (s Shard) Region() string { return s.region }

// Endpoints returns the shard's endpoints.
func (s Shard) Endpoints() []chiveconfig.Endpoint { return s.endpoints }

// Shards splits the endpoints of every model pool into shards, by the configuration alone, so that all nodes agree.
//
// Each shard gets endpoints of every failure domain in turn: the loss of a domain then takes a part of every shard's
// capacity in place of all the capacity of some.
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
			shards = append(shards, split(pool.Name, region, byRegion[region], int(config.Routing.EndpointsPerShard))...)
		}
	}
	return shards
}

func split(pool, region string, endpoints []chiveconfig.Endpoint, most int) []Shard {
	count := (len(endpoints) + most - 1) / most
	shards := make([]Shard, count)
	for i := range shards {
		shards[i] = Shard{id: fmt.Sprintf("%s/%s/%d", pool, region, i), pool: pool, region: region}
	}
	for i, e := range interleave(endpoints) {
		s := &shards[i%count]
		s.endpoints = append(s.endpoints, e)
	}
	return shards
}

// interleave orders endpoints by failure domain, so that dealing them out spreads every domain over all shards.
func interleave(endpoints []chiveconfig.Endpoint) []chiveconfig.Endpoint {
	ordered := append([]chiveconfig.Endpoint(nil), endpoints...)
	sort.Slice(ordered, func(i, j int) bool {
		if ordered[i].FailureDomain != ordered[j].FailureDomain {
			return ordered[i].FailureDomain < ordered[j].FailureDomain
		}
		return ordered[i].Name < ordered[j].Name
	})
	return ordered
}

// Ranked orders live members by rendezvous hashing on a key; those of the region come first, and leaving ones never.
//
// The first is the key's owner. When it dies the second takes over, and no other key moves.
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
