package chiveroute

import (
	"sort"

	"chivedrift/chivemember"
)

// Key is something that one node keeps for all: a shard's queue, a slot's claims.
type Key struct {
	id     string
	region string
}

// NewKey returns a key that is best kept in a region; an empty region means anywhere.
func NewKey(id, region string) Key { return Key{id: id, region: region} }

// ID returns the key's name.
func (k Key) ID() string { return k.id }

// Placement is which node keeps each key, with the order of those that follow when it does not answer.
//
// Rendezvous hashing alone gives two or three of eighty shards to one node of 330 and none to most; the busiest node
// sets the budget. Here each key goes to the first node in its rendezvous order that does not keep its even share
// yet. All nodes compute the same from the same members, and views that differ for a moment cost accuracy only.
type Placement struct {
	order map[string][]chivemember.Member
}

// ownersKept is how many owners a key's order goes down to: with all of 330 members for each of 144 keys a placement
// would take megabytes, and after eight that do not answer the gateway's own small share serves.
const ownersKept = 8

// NewPlacement places keys on the live members.
func NewPlacement(keys []Key, members []chivemember.Member) *Placement {
	p := &Placement{order: make(map[string][]chivemember.Member, len(keys))}
	sorted := append([]Key(nil), keys...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].id < sorted[j].id })
	share := evenShares(sorted, members)
	kept := make(map[string]int)
	for _, k := range sorted {
		ranked := Ranked(k.id, k.region, members)
		chosen := 0
		for i, m := range ranked {
			if kept[m.Name] < share[k.region] && (k.region == "" || m.Region == k.region) {
				chosen = i
				break
			}
		}
		if len(ranked) > 0 {
			kept[ranked[chosen].Name]++
			p.order[k.id] = append([]chivemember.Member(nil), moveToFront(ranked, chosen)[:min(len(ranked), ownersKept)]...)
		}
	}
	return p
}

// Owners returns the members that keep a key, the present one first.
func (p *Placement) Owners(id string) []chivemember.Member { return p.order[id] }

// evenShares returns, by region, how many keys a node keeps when they are spread evenly.
func evenShares(keys []Key, members []chivemember.Member) map[string]int {
	keysOf, nodesOf := make(map[string]int), make(map[string]int)
	for _, k := range keys {
		keysOf[k.region]++
	}
	for _, m := range members {
		if m.State == chivemember.Alive {
			nodesOf[m.Region]++
			nodesOf[""]++
		}
	}
	share := make(map[string]int, len(keysOf))
	for region, count := range keysOf {
		nodes := max(nodesOf[region], 1)
		share[region] = (count + nodes - 1) / nodes
	}
	return share
}

func moveToFront(ranked []chivemember.Member, chosen int) []chivemember.Member {
	first := ranked[chosen]
	copy(ranked[1:chosen+1], ranked[:chosen])
	ranked[0] = first
	return ranked
}
