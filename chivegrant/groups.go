package chivegrant

import (
	"cmp"
	"slices"
	"strconv"

	"chivedrift/chivedirectory"
	"chivedrift/chivemember"
	"chivedrift/chiveplace"
	"chivedrift/chiveroute"
)

const (
	// groupEngines is the usual number of engines in a group: enough for a choice, and few enough that a keeper at the target's
	// size grants some 13 places a second.
	groupEngines = 9
	// aloneUpTo is the largest fleet in which each node tells all others: its messages then cost less than asking.
	aloneUpTo = 13
)

// groups is one division of the engines into groups and of the groups onto nodes. It never changes.
type groups struct {
	asking  bool
	pools   map[string][]string
	groupOf map[string]string
	engines map[string]map[string]bool
	keepers map[string]string
}

// newGroups divides the engines of each pool. An engine's group depends on its id and the number of groups alone, so that nodes
// agree without talking, and a change of the number moves few engines.
func newGroups(endpoints []chivedirectory.Endpoint, isEngine func(pool string) bool, members []chivemember.Member) *groups {
	g := &groups{
		asking: len(members) > aloneUpTo, pools: make(map[string][]string), groupOf: make(map[string]string),
		engines: make(map[string]map[string]bool), keepers: make(map[string]string),
	}
	if !g.asking {
		return g
	}
	for _, e := range endpoints {
		if isEngine(e.Pool) {
			g.pools[e.Pool] = append(g.pools[e.Pool], e.ID)
		}
	}
	var keys []chiveroute.Key
	for pool, ids := range g.pools {
		count := max(1, len(ids)/groupEngines)
		for i := range count {
			name := groupName(pool, i)
			g.engines[name] = make(map[string]bool)
			keys = append(keys, chiveroute.NewKey(name, ""))
		}
		g.fill(pool, ids, count)
	}
	placement := chiveroute.NewPlacement(keys, members)
	for name := range g.engines {
		if keepers := placement.Keepers(name); len(keepers) > 0 {
			g.keepers[name] = keepers[0].Address
		}
	}
	return g
}

// fill puts each engine into the group with the highest rendezvous weight that is not full yet. Without a bound some groups of
// nine would have two engines and others twenty.
func (g *groups) fill(pool string, ids []string, count int) {
	most := (len(ids)+count-1)/count + 1
	slices.SortFunc(ids, func(a, b string) int { return cmp.Compare(chiveplace.Rendezvous(a, 0), chiveplace.Rendezvous(b, 0)) })
	for _, id := range ids {
		name := g.nearestWithRoom(pool, id, count, most)
		g.groupOf[id] = name
		g.engines[name][id] = true
	}
}

func groupName(pool string, number int) string { return pool + "/" + strconv.Itoa(number) }

// nearestWithRoom returns the group with the highest rendezvous weight for an engine among those with room.
func (g *groups) nearestWithRoom(pool, id string, count, most int) string {
	best, highest := "", uint64(0)
	for i := range count {
		name := groupName(pool, i)
		if len(g.engines[name]) >= most {
			continue
		}
		if weight := chiveplace.Rendezvous(id, uint64(i+1)); best == "" || weight > highest {
			best, highest = name, weight
		}
	}
	return best
}

// homes returns the group of a part's home engine, and the group of the best engine outside it; each empty when there is none.
// Going by engines gives large groups as many more parts.
func (g *groups) homes(pool string, part uint64) (first, second string) {
	best := make(map[string]uint64)
	for _, id := range g.pools[pool] {
		group := g.groupOf[id]
		best[group] = max(best[group], chiveplace.Rendezvous(id, part))
	}
	for group, weight := range best {
		switch {
		case first == "" || weight > best[first]:
			first, second = group, first
		case second == "" || weight > best[second]:
			second = group
		}
	}
	return first, second
}

// keptBy returns the groups that a node keeps, by name.
func (g *groups) keptBy(address string) []string {
	var names []string
	for name, keeper := range g.keepers {
		if keeper == address {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// keeperOf returns the address of the node that keeps an engine; empty for one that nobody keeps.
func (g *groups) keeperOf(engine string) string { return g.keepers[g.groupOf[engine]] }
