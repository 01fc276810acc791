package chivegrant

import (
	"maps"
	"slices"
	"strings"

	"chivedrift/chiveplace"
	"chivedrift/chiveresidency"
)

// engineTries holds the engines of each partition and, by pool, the regions that have engines in alphabetical order.
type engineTries struct {
	tries   map[partition]*trieNode[engine]
	regions map[string][]string
}

// newEngineTries returns the partitions of the pools that isEnginePool accepts and that have engines.
func newEngineTries(endpoints map[partition]*trieNode[engine], isEnginePool func(pool string) bool) engineTries {
	t := engineTries{tries: make(map[partition]*trieNode[engine]), regions: make(map[string][]string)}
	for in, root := range endpoints {
		if root.size() > 0 && isEnginePool(in.pool) {
			t.tries[in] = root
			t.regions[in.pool] = append(t.regions[in.pool], in.region)
		}
	}
	for _, regions := range t.regions {
		slices.Sort(regions)
	}
	return t
}

// groupIDs returns all groups, ordered by pool, region and hash.
func (t engineTries) groupIDs() []groupID {
	var ids []groupID
	for _, in := range slices.SortedFunc(maps.Keys(t.tries), comparePartitions) {
		for prefix := range t.tries[in].leaves(rootPrefix) {
			ids = append(ids, groupID{in, prefix})
		}
	}
	return ids
}

func comparePartitions(a, b partition) int {
	if c := strings.Compare(a.pool, b.pool); c != 0 {
		return c
	}
	return strings.Compare(a.region, b.region)
}

// engines returns the ids of the engines of a group. The group may come from a node whose assignment differs from these,
// where the group is split or merged with others.
func (t engineTries) engines(id groupID) []string {
	if id == noGroup {
		return nil
	}
	items := t.tries[id.partition].subtree(id.prefix).all()
	ids := make([]string, 0, len(items))
	for _, it := range items {
		ids = append(ids, it.element.id)
	}
	return ids
}

// groupOf returns the group of the engine with an id, or noGroup if it is not known.
func (t engineTries) groupOf(engineID string) groupID {
	hash := chiveplace.HashID(engineID)
	for in, root := range t.tries {
		leaf, prefix := root.leafFor(hash)
		if slices.ContainsFunc(leaf.all(), func(it item[engine]) bool { return it.hash == hash }) {
			return groupID{in, prefix}
		}
	}
	return noGroup
}

// filterByDomain returns the trie restricted to the engines in some failure domains. The remaining leaves keep their
// prefixes.
func filterByDomain(root *trieNode[engine], domains chiveresidency.Domains) *trieNode[engine] {
	switch {
	case root == nil:
		return nil
	case root.isLeaf():
		items := slices.DeleteFunc(slices.Clone(root.items), func(it item[engine]) bool { return !domains.Contains(it.element.failureDomain) })
		if len(items) == 0 {
			return nil
		}
		return &trieNode[engine]{count: len(items), items: items}
	}
	low, high := filterByDomain(root.low, domains), filterByDomain(root.high, domains)
	if low == nil && high == nil {
		return nil
	}
	return &trieNode[engine]{count: low.size() + high.size(), low: low, high: high}
}

// nodeTries holds the addresses of the alive nodes by their hashes, of all regions and of each.
type nodeTries struct {
	all      *trieNode[string]
	byRegion map[string]*trieNode[string]
}

// countByRegion returns the number of nodes in each region.
func (t nodeTries) countByRegion() map[string]int {
	counts := make(map[string]int, len(t.byRegion))
	for region, nodes := range t.byRegion {
		counts[region] = nodes.size()
	}
	return counts
}

// insert adds a node or moves it to another region.
func (t *nodeTries) insert(address, region string) {
	t.remove(address)
	hash := chiveplace.HashID(address)
	t.all = t.all.insert(hash, address, 0)
	if region != "" {
		t.byRegion[region] = t.byRegion[region].insert(hash, address, 0)
	}
}

// remove removes a node.
func (t *nodeTries) remove(address string) {
	hash := chiveplace.HashID(address)
	t.all = t.all.remove(hash, 0)
	for region, nodes := range t.byRegion {
		if _, known := nodes.find(hash); known {
			t.byRegion[region] = nodes.remove(hash, 0)
		}
	}
}

// contains reports whether a node is known in a region.
func (t *nodeTries) contains(address, region string) bool {
	hash := chiveplace.HashID(address)
	if region == "" {
		_, known := t.all.find(hash)
		return known
	}
	_, known := t.byRegion[region].find(hash)
	return known
}
