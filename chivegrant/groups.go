package chivegrant

import (
	"cmp"
	"slices"
	"strconv"

	"chivedrift/chivedirectory"
	"chivedrift/chivemember"
	"chivedrift/chiveplace"
	"chivedrift/chiveresidency"
	"chivedrift/chiveroute"
)

const (
	// groupEngines is the usual number of engines in a group: as many as a whole pool of today's sites, and few enough that an owner
	// grants some 15 places a second at the target (990 requests a second, 600 engines).
	groupEngines = 9
	// aloneUpTo is the largest fleet in which each node tells all others, a dozen peers every 60 ms. Measured were 7 and 8 nodes, where
	// that is worth more than asking, and 71 and 78, where asking is.
	aloneUpTo = 13
)

// groups is one division of the engines into groups and of the groups onto nodes. It never changes.
type groups struct {
	asking  bool
	pools   map[string]*division
	groupOf map[string]string
	engines map[string]map[string]bool
	owners  map[string]string
}

// division is one pool's engines, in order of their hashes, with the number of each one's group.
type division struct {
	hashes  []uint64
	domains []string
	group   []int
	names   []string
}

// engineID is an engine's incarnation with the hash of its id, so that an engine that starts again stays in its group.
type engineID struct {
	incarnation string
	hash        uint64
	domain      string
}

// newGroups divides the engines of each pool. An engine's group depends on its id and the number of groups alone, so that nodes
// agree without talking, and a change of the number moves few engines.
func newGroups(endpoints map[string]chivedirectory.Endpoint, isEngine func(pool string) bool, members []chivemember.Member, place *placer) *groups {
	g := &groups{
		asking: len(members) > aloneUpTo, pools: make(map[string]*division), groupOf: make(map[string]string),
		engines: make(map[string]map[string]bool), owners: make(map[string]string),
	}
	if !g.asking {
		return g
	}
	ids := make(map[string][]engineID)
	for _, e := range endpoints {
		if isEngine(e.Pool) {
			ids[e.Pool] = append(ids[e.Pool], engineID{e.Incarnation().Key(), chiveplace.HashID(e.ID), e.FailureDomain})
		}
	}
	var names []string
	for pool, engines := range ids {
		g.pools[pool] = g.divide(pool, engines)
		names = append(names, g.pools[pool].names...)
	}
	g.owners = place.owners(names, members)
	return g
}

// placer places groups on nodes, and remembers the last placement: with 333 groups and 300 nodes one takes 71 ms, while
// most changes of the directory change neither.
type placer struct {
	names   []string
	members []chivemember.Member
	placed  map[string]string
}

// owners returns the address of the node that owns each group.
func (p *placer) owners(names []string, members []chivemember.Member) map[string]string {
	slices.Sort(names)
	if p.placed != nil && slices.Equal(names, p.names) && slices.Equal(members, p.members) {
		return p.placed
	}
	keys := make([]chiveroute.Key, 0, len(names))
	for _, name := range names {
		keys = append(keys, chiveroute.NewKey(name, ""))
	}
	placement := chiveroute.NewPlacement(keys, members)
	p.names, p.members, p.placed = names, members, make(map[string]string, len(names))
	for _, name := range names {
		if owners := placement.Owners(name); len(owners) > 0 {
			p.placed[name] = owners[0].Address
		}
	}
	return p.placed
}

// divide puts each engine into the group with the highest rendezvous weight that is not full yet. Without a bound some groups of
// nine would have two engines and others twenty.
func (g *groups) divide(pool string, engines []engineID) *division {
	count := max(1, len(engines)/groupEngines)
	most := (len(engines)+count-1)/count + 1
	slices.SortFunc(engines, func(a, b engineID) int { return cmp.Compare(a.hash, b.hash) })
	d := &division{names: make([]string, count)}
	for i := range d.names {
		d.names[i] = pool + "/" + strconv.Itoa(i)
		g.engines[d.names[i]] = make(map[string]bool)
	}
	sizes := make([]int, count)
	for _, e := range engines {
		group := nearestWithRoom(e.hash, sizes, most)
		sizes[group]++
		d.hashes, d.domains, d.group = append(d.hashes, e.hash), append(d.domains, e.domain), append(d.group, group)
		g.groupOf[e.incarnation] = d.names[group]
		g.engines[d.names[group]][e.incarnation] = true
	}
	return d
}

// nearestWithRoom returns the group with the highest rendezvous weight for an engine among those with room.
func nearestWithRoom(hash uint64, sizes []int, most int) int {
	best, highest := -1, uint64(0)
	for i, size := range sizes {
		if size >= most {
			continue
		}
		if weight := chiveplace.Weigh(hash, uint64(i+1)); best < 0 || weight > highest {
			best, highest = i, weight
		}
	}
	return best
}

// homes returns the group of a part's home engine in some failure domains, and the group of the best engine there outside it; each empty
// when there is none. Going by engines gives large groups as many more parts.
func (g *groups) homes(pool string, part uint64, domains chiveresidency.Domains) (first, second string) {
	d, ok := g.pools[pool]
	if !ok {
		return "", ""
	}
	best := make([]uint64, len(d.names))
	for i, hash := range d.hashes {
		if !domains.Contains(d.domains[i]) {
			continue
		}
		best[d.group[i]] = max(best[d.group[i]], chiveplace.Weigh(hash, part))
	}
	home, next := -1, -1
	for i, weight := range best {
		switch {
		case weight == 0:
		case home < 0 || weight > best[home]:
			home, next = i, home
		case next < 0 || weight > best[next]:
			next = i
		}
	}
	return d.name(home), d.name(next)
}

func (d *division) name(group int) string {
	if group < 0 {
		return ""
	}
	return d.names[group]
}

// ownedBy returns the groups that a node owns, by name.
func (g *groups) ownedBy(address string) []string {
	var names []string
	for name, owner := range g.owners {
		if owner == address {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// ownerOf returns the address of the node that owns an engine; empty for one that nobody owns.
func (g *groups) ownerOf(engine string) string { return g.owners[g.groupOf[engine]] }
