package chiveroute

import (
	"sort"

	"chivedrift/chivemember"
)

// Key identifies state that a single node owns for the whole fleet, such as the queue of a shard or the claims of a
// slot.
type Key struct {
	id     string
	region string
}

// NewKey returns a key whose owner should be in the given region; an empty region means any.
func NewKey(id, region string) Key { return Key{id: id, region: region} }

// ID returns the id of the key.
func (k Key) ID() string { return k.id }

// Placement assigns each key to the node that owns it and to the nodes that take over, in order, when it does not
// answer.
//
// Rendezvous hashing alone assigns two or three of 80 shards to one of 330 nodes and none to most nodes, and capacity
// must be planned for the busiest node. So each key goes to the first node in its rendezvous order that does not have
// its even share of keys yet. All nodes compute the same placement from the same members. Views that differ for a
// moment only cost accuracy.
type Placement struct {
	owners map[string][]chivemember.Member
}

// maxOwners is how many owners are kept for each key. With all of 330 members for each of 144 keys a placement would
// take megabytes, and when eight owners do not answer, the gateway uses its own small share of the capacity.
const maxOwners = 8

// NewPlacement assigns keys to the live members.
func NewPlacement(keys []Key, members []chivemember.Member) *Placement {
	p := &Placement{owners: make(map[string][]chivemember.Member, len(keys))}
	sorted := append([]Key(nil), keys...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].id < sorted[j].id })
	maxKeys := maxKeysPerNode(sorted, members)
	keyCounts := make(map[string]int)
	for _, k := range sorted {
		ranked := Ranked(k.id, k.region, members)
		owner := 0
		for i, m := range ranked {
			if keyCounts[m.Name] < maxKeys[k.region] && (k.region == "" || m.Region == k.region) {
				owner = i
				break
			}
		}
		if len(ranked) > 0 {
			keyCounts[ranked[owner].Name]++
			p.owners[k.id] = append([]chivemember.Member(nil), moveToFront(ranked, owner)[:min(len(ranked), maxOwners)]...)
		}
	}
	return p
}

// Owners returns the members that own a key, the current owner first.
func (p *Placement) Owners(id string) []chivemember.Member { return p.owners[id] }

// maxKeysPerNode returns, by region, how many keys a node owns when they are spread evenly.
func maxKeysPerNode(keys []Key, members []chivemember.Member) map[string]int {
	keyCounts, nodeCounts := make(map[string]int), make(map[string]int)
	for _, k := range keys {
		keyCounts[k.region]++
	}
	for _, m := range members {
		if m.State == chivemember.Alive {
			nodeCounts[m.Region]++
			nodeCounts[""]++
		}
	}
	maxKeys := make(map[string]int, len(keyCounts))
	for region, count := range keyCounts {
		nodes := max(nodeCounts[region], 1)
		maxKeys[region] = (count + nodes - 1) / nodes
	}
	return maxKeys
}

func moveToFront(ranked []chivemember.Member, index int) []chivemember.Member {
	first := ranked[index]
	copy(ranked[1:index+1], ranked[:index])
	ranked[0] = first
	return ranked
}
