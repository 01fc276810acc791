package chivegrant

import (
	"cmp"
	"math"
	"slices"

	"chivedrift/chiveplace"
	"chivedrift/chiveresidency"
)

// home describes where the requests with a shared part are placed.
type home struct {
	pool string
	part uint64
	// domains are the failure domains that the request is limited to.
	domains chiveresidency.Domains
	// region is that of the requesting node. fleetWide means that the part has one home over all regions.
	region    string
	fleetWide bool
}

// regionEngines are the engines of a region that a request may use.
type regionEngines struct {
	region string
	trie   *trieNode[engine]
}

// homeGroups returns the groups in which to place a request, in the order in which to ask their owners. Where groups are
// divided by region, these are two groups near the requesting node and one of another region, or, if the part has one home,
// the primary and the secondary group among all engines. The secondary one is left out if fallbackGroups replace it.
func (a *assignment) homeGroups(h home) []groupID {
	regions := a.usableRegions(h)
	if len(regions) <= 1 {
		return a.selectGroups(h, regions)
	}
	if h.fleetWide {
		return h.withoutSecondFar(a.selectGroups(h, a.regionsWithNodes(h, regions)))
	}
	a.orderRegions(h, regions)
	near := max(countNear(h, regions), 1)
	groups := a.selectGroups(h, regions[:near])
	if near == len(regions) {
		return groups
	}
	return append(groups, a.selectGroups(h, regions[near:near+1])[0])
}

// isNear reports whether a region counts as the requesting node's: its own, and the unnamed one of failure domains whose
// region is not known.
func (h home) isNear(region string) bool { return region == h.region || region == "" }

// withoutSecondFar returns the groups without the secondary one if both lie in other regions: a request that its home has no
// room for then goes to the fallback groups after one question over the way.
func (h home) withoutSecondFar(groups []groupID) []groupID {
	if slices.ContainsFunc(groups, func(group groupID) bool { return h.isNear(group.region) }) {
		return groups
	}
	return groups[:min(len(groups), 1)]
}

// countNear returns the number of near regions, which come first.
func countNear(h home, regions []regionEngines) int {
	if at := slices.IndexFunc(regions, func(r regionEngines) bool { return !h.isNear(r.region) }); at >= 0 {
		return at
	}
	return len(regions)
}

// fallbackGroups returns the groups near the requesting node for a part that has one home over all regions or, if the request
// may use none of these, groups of other regions than its home's. They are only asked if there is no room at that home, since
// their engines would read the part again.
func (a *assignment) fallbackGroups(h home) []groupID {
	if !h.fleetWide || len(a.regions[h.pool]) <= 1 {
		return nil
	}
	regions := a.usableRegions(h)
	if near := slices.DeleteFunc(slices.Clone(regions), func(r regionEngines) bool { return !h.isNear(r.region) }); len(near) > 0 {
		return a.selectGroups(h, near)
	}
	groups := a.homeGroups(h)
	return a.selectGroups(h, slices.DeleteFunc(regions, func(r regionEngines) bool { return len(groups) > 0 && r.region == groups[0].region }))
}

// usableRegions returns the regions with engines that a request may use.
func (a *assignment) usableRegions(h home) []regionEngines {
	usable := make([]regionEngines, 0, len(a.regions[h.pool]))
	for _, region := range a.regions[h.pool] {
		if trie := a.allowedTrie(h, region); trie.size() > 0 {
			usable = append(usable, regionEngines{region, trie})
		}
	}
	return usable
}

// hasNodes reports whether a region is near the requesting node or has other nodes. One without may be cut off.
func (a *assignment) hasNodes(h home, region string) bool {
	return h.isNear(region) || a.nodeCounts[region] > 0
}

// regionsWithNodes returns those of the regions that have nodes; all if none has.
func (a *assignment) regionsWithNodes(h home, regions []regionEngines) []regionEngines {
	withNodes := slices.DeleteFunc(slices.Clone(regions), func(r regionEngines) bool { return !a.hasNodes(h, r.region) })
	if len(withNodes) == 0 {
		return regions
	}
	return withNodes
}

// orderRegions puts the near regions first and those without nodes last. The order of the others depends on the
// part, so that the requests of one full region do not all go to the same other one.
func (a *assignment) orderRegions(h home, regions []regionEngines) {
	rank := func(region string) uint64 {
		switch {
		case h.isNear(region):
			return math.MaxUint64
		case !a.hasNodes(h, region):
			return 0
		}
		return chiveplace.Weigh(chiveplace.HashID(region), h.part)
	}
	slices.SortStableFunc(regions, func(x, y regionEngines) int { return cmp.Compare(rank(y.region), rank(x.region)) })
}

// selectGroups returns the primary and the secondary group for a part among the engines of some regions, as far as there
// are any. A group is selected with a probability proportional to its size.
func (a *assignment) selectGroups(h home, regions []regionEngines) (groups []groupID) {
	total := 0
	for _, r := range regions {
		total += r.trie.size()
	}
	if total == 0 {
		return nil
	}
	for attempt := range uint64(maxGroupAttempts) {
		key := chiveplace.Weigh(h.part, attempt)
		selected := selectRegion(regions, total, key)
		_, prefix := selected.trie.selectLeaf(key)
		group := groupID{partition{h.pool, selected.region}, prefix}
		if slices.Contains(groups, group) {
			continue
		}
		if groups = append(groups, group); len(groups) == maxSelectedGroups {
			break
		}
	}
	return groups
}

// selectRegion returns the region that a key maps to, with a probability proportional to its size, so that one more engine
// remaps only about the share of keys that it receives.
func selectRegion(regions []regionEngines, total int, key uint64) regionEngines {
	last := len(regions) - 1
	for _, r := range regions[:last] {
		size := r.trie.size()
		if fraction(chiveplace.Weigh(key, chiveplace.HashID(r.region)))*float64(total) < float64(size) {
			return r
		}
		total -= size
	}
	return regions[last]
}

// allowedTrie returns the engines of a region that a request may use.
func (a *assignment) allowedTrie(h home, region string) *trieNode[engine] {
	root := a.tries[partition{h.pool, region}]
	if h.domains.IsLimited() {
		return filterByDomain(root, h.domains)
	}
	return root
}
