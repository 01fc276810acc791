package chivegrant

import (
	"maps"
	"slices"
	"strconv"
	"strings"

	"chivedrift/chivedirectory"
	"chivedrift/chiveplace"
	"chivedrift/chiveresidency"
)

const (
	// maxBroadcastNodes is the largest fleet in which every node broadcasts its load to all others, a dozen peers every
	// 60 ms. In measurements, broadcasting was better than asking owners at 7 and 8 nodes and worse at 71 and 78.
	maxBroadcastNodes = 13
	// maxGroupAttempts is how many selections are made to find a secondary group that differs from the primary one.
	maxGroupAttempts = 16
	// maxOwnerAttempts is how many nodes are selected for a group before it goes to the node that owns the fewest
	// groups.
	maxOwnerAttempts = 32
)

// engine is an endpoint of an engine pool, reduced to the fields that the groups depend on.
type engine struct {
	id            string
	failureDomain string
}

// groupID identifies a group of engines by its pool and its position in the pool's trie.
type groupID struct {
	pool   string
	prefix hashPrefix
}

// noGroup is the zero groupID, used where there is no group.
var noGroup groupID

// String returns the group's name in placement requests, logs and state dumps.
func (id groupID) String() string { return id.pool + "/" + strconv.FormatUint(uint64(id.prefix), 36) }

// parseGroupID parses the result of groupID.String. It returns false for a malformed name, such as one from another
// release.
func parseGroupID(pool, name string) (groupID, bool) {
	encoded, ok := strings.CutPrefix(name, pool+"/")
	if !ok {
		return noGroup, false
	}
	prefix, err := strconv.ParseUint(encoded, 36, 64)
	if err != nil || prefix == 0 {
		return noGroup, false
	}
	return groupID{pool, hashPrefix(prefix)}, true
}

// hash returns the key by which the group's owner is selected.
func (id groupID) hash() uint64 {
	return chiveplace.Weigh(chiveplace.HashID(id.pool), uint64(id.prefix))
}

// assignment is an immutable snapshot of the split of the engines into groups and of the owners of the groups.
//
// The groups of a pool are the leaves of a trie of its engines. They depend only on the engine ids, so that nodes agree
// on them without communication, and adding or removing an engine changes, splits or merges one group.
type assignment struct {
	usesOwners bool
	pools      map[string]*trieNode[engine]
	owners     map[groupID]string
	// owned lists the groups that this node owns.
	owned []groupID
}

// newAssignment assigns the groups of each pool to the nodes; self is the address of this node.
func newAssignment(pools map[string]*trieNode[engine], nodes *trieNode[string], self string) *assignment {
	a := &assignment{usesOwners: true, pools: pools}
	ids := a.groupIDs()
	a.owners = assignOwners(ids, nodes)
	for _, id := range ids {
		if a.owners[id] == self {
			a.owned = append(a.owned, id)
		}
	}
	return a
}

// withEngines returns the assignment with changed engines and unchanged owners, or nil if owners were not used before
// or the set of groups differs.
func (a *assignment) withEngines(pools map[string]*trieNode[engine]) *assignment {
	next := &assignment{usesOwners: a.usesOwners, pools: pools, owners: a.owners, owned: a.owned}
	if !a.usesOwners || !next.matchesOwners() {
		return nil
	}
	return next
}

// groupIDs returns all groups, ordered by pool and hash.
func (a *assignment) groupIDs() []groupID {
	var ids []groupID
	for _, pool := range slices.Sorted(maps.Keys(a.pools)) {
		for prefix := range a.pools[pool].leaves(rootPrefix) {
			ids = append(ids, groupID{pool, prefix})
		}
	}
	return ids
}

// matchesOwners reports whether the groups are exactly those that have owners.
func (a *assignment) matchesOwners() bool {
	count := 0
	for pool, root := range a.pools {
		for prefix := range root.leaves(rootPrefix) {
			if _, ok := a.owners[groupID{pool, prefix}]; !ok {
				return false
			}
			count++
		}
	}
	return count == len(a.owners)
}

// assignOwners selects the address of the owner of each group. No node gets more than its even share of the groups,
// rounded up.
func assignOwners(ids []groupID, nodes *trieNode[string]) map[groupID]string {
	owners := make(map[groupID]string, len(ids))
	if nodes.size() == 0 {
		return owners
	}
	maxPerNode := (len(ids) + nodes.size() - 1) / nodes.size()
	ownedCounts := make(map[string]int, nodes.size())
	for _, id := range ids {
		owner := selectOwner(id.hash(), nodes, ownedCounts, maxPerNode)
		owners[id] = owner
		ownedCounts[owner]++
	}
	return owners
}

// selectOwner returns the first selected node that owns fewer than maxPerNode groups or, after maxOwnerAttempts, the
// node that owns the fewest.
func selectOwner(hash uint64, nodes *trieNode[string], ownedCounts map[string]int, maxPerNode int) string {
	for attempt := range uint64(maxOwnerAttempts) {
		if node, ok := nodes.selectElement(chiveplace.Weigh(hash, attempt)); ok && ownedCounts[node] < maxPerNode {
			return node
		}
	}
	leastLoaded := ""
	for _, it := range nodes.all() {
		if leastLoaded == "" || ownedCounts[it.element] < ownedCounts[leastLoaded] {
			leastLoaded = it.element
		}
	}
	return leastLoaded
}

// homeGroups returns the primary and the secondary group for a prompt part among the engines of some failure domains;
// either is noGroup if there is none. A group is selected with a probability proportional to its size.
func (a *assignment) homeGroups(pool string, part uint64, domains chiveresidency.Domains) (primary, secondary groupID) {
	root := a.pools[pool]
	if domains.IsLimited() {
		root = filterByDomain(root, domains)
	}
	for attempt := range uint64(maxGroupAttempts) {
		_, prefix := root.selectLeaf(chiveplace.Weigh(part, attempt))
		switch {
		case root.size() == 0:
			return noGroup, noGroup
		case primary == noGroup:
			primary = groupID{pool, prefix}
		case primary.prefix != prefix:
			return primary, groupID{pool, prefix}
		}
	}
	return primary, noGroup
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

// engines returns the ids of the engines of a group. The group may come from a node whose assignment differs from this
// one, where the group is split or merged with others.
func (a *assignment) engines(id groupID) []string {
	if id == noGroup {
		return nil
	}
	items := a.pools[id.pool].subtree(id.prefix).all()
	ids := make([]string, 0, len(items))
	for _, it := range items {
		ids = append(ids, it.element.id)
	}
	return ids
}

// ownerOf returns the address of the node that owns the engine with an incarnation key, or an empty string if no node
// owns it.
func (a *assignment) ownerOf(incarnation string) string {
	if !a.usesOwners {
		return ""
	}
	hash := chiveplace.HashID(chivedirectory.IDOf(incarnation))
	for pool, root := range a.pools {
		leaf, prefix := root.leafFor(hash)
		if slices.ContainsFunc(leaf.all(), func(it item[engine]) bool { return it.hash == hash }) {
			return a.owners[groupID{pool, prefix}]
		}
	}
	return ""
}
