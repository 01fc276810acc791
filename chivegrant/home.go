package chivegrant

import (
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

// homeGroups returns the groups in which to place a request, in the order in which to ask their owners: the primary and
// the secondary group among all engines or, where groups are divided by region and the part has a home in each, among
// those of the requesting node's region, followed by a group of another region.
func (a *assignment) homeGroups(h home) []groupID {
	regions := a.regions[h.pool]
	if h.fleetWide || len(regions) <= 1 {
		return a.selectGroups(h, regions)
	}
	own, others := a.splitRegions(h, regions)
	groups := a.selectGroups(h, own)
	if spill := a.selectGroups(h, others); len(spill) > 0 {
		groups = append(groups, spill[0])
	}
	return groups
}

// splitRegions returns the requesting node's region and the one to spill to, which depends on the part, so that the
// requests of one full region do not all go to the same other one. If the own region has no engines, another one takes
// its place.
func (a *assignment) splitRegions(h home, regions []string) (own, spill []string) {
	ordered := slices.Clone(regions)
	rank := func(region string) uint64 { return chiveplace.Weigh(chiveplace.HashID(region), h.part) }
	slices.SortFunc(ordered, func(x, y string) int {
		switch {
		case x == y:
			return 0
		case x == h.region || y != h.region && rank(x) > rank(y):
			return -1
		}
		return 1
	})
	ordered = slices.DeleteFunc(ordered, func(region string) bool { return a.allowedTrie(h, region).size() == 0 })
	return ordered[:min(1, len(ordered))], ordered[min(1, len(ordered)):min(2, len(ordered))]
}

// selectGroups returns the primary and the secondary group for a part among the engines of some regions, as far as there
// are any. A group is selected with a probability proportional to its size.
func (a *assignment) selectGroups(h home, regions []string) (groups []groupID) {
	tries := make([]*trieNode[engine], 0, len(regions))
	total := 0
	for _, region := range regions {
		trie := a.allowedTrie(h, region)
		tries = append(tries, trie)
		total += trie.size()
	}
	if total == 0 {
		return nil
	}
	for attempt := range uint64(maxGroupAttempts) {
		key := chiveplace.Weigh(h.part, attempt)
		at := selectTrie(tries, regions, total, key)
		_, prefix := tries[at].selectLeaf(key)
		group := groupID{partition{h.pool, regions[at]}, prefix}
		if slices.Contains(groups, group) {
			continue
		}
		if groups = append(groups, group); len(groups) == maxSelectedGroups {
			break
		}
	}
	return groups
}

// selectTrie returns the index of the region that a key maps to, with a probability proportional to its size, so that one
// more engine remaps only about the share of keys that it receives.
func selectTrie(tries []*trieNode[engine], regions []string, total int, key uint64) int {
	last := len(tries) - 1
	for at := range last {
		size := tries[at].size()
		if fraction(chiveplace.Weigh(key, chiveplace.HashID(regions[at])))*float64(total) < float64(size) {
			return at
		}
		total -= size
	}
	return last
}

// allowedTrie returns the engines of a region that a request may use.
func (a *assignment) allowedTrie(h home, region string) *trieNode[engine] {
	root := a.tries[partition{h.pool, region}]
	if h.domains.IsLimited() {
		return filterByDomain(root, h.domains)
	}
	return root
}
