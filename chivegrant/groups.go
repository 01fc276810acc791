package chivegrant

import (
	"strconv"
	"strings"

	"chivedrift/chivedirectory"
	"chivedrift/chiveplace"
)

const (
	// maxBroadcastNodes is the largest fleet in which every node broadcasts its load to all others, a dozen peers every
	// 60 ms. In measurements, broadcasting was better than asking owners at 7 and 8 nodes and worse at 71 and 78.
	maxBroadcastNodes = 13
	// maxSelectedGroups is the number of groups selected for a part: the primary and the secondary one.
	maxSelectedGroups = 2
	// maxGroupAttempts is how many selections are made to find a secondary group that differs from the primary one.
	maxGroupAttempts = 16
	// maxOwnerAttempts is how many nodes are selected for a group before it goes to the node that owns the fewest
	// groups.
	maxOwnerAttempts = 32
	// maxRegionShare limits how many groups a node owns in its region, relative to an even share over all nodes. The other
	// groups of the region are owned by nodes of any region.
	maxRegionShare = 4
)

// engine is an endpoint of an engine pool, reduced to the fields that the groups depend on.
type engine struct {
	id            string
	failureDomain string
}

// partition identifies the engines of a pool in one region. The region is empty in a deployment that lies in one region,
// and for engines whose region is not known.
type partition struct {
	pool   string
	region string
}

// groupID identifies a group of engines by its partition and its position in the partition's trie.
type groupID struct {
	partition
	prefix hashPrefix
}

// noGroup is the zero groupID, used where there is no group.
var noGroup groupID

// String returns the group's name in placement requests, logs and state dumps.
func (id groupID) String() string {
	name := id.pool
	if id.region != "" {
		name += "/" + id.region
	}
	return name + "/" + strconv.FormatUint(uint64(id.prefix), 36)
}

// parseGroupID parses the result of groupID.String. It returns false for a malformed name, such as one from another
// release.
func parseGroupID(pool, name string) (groupID, bool) {
	encoded, ok := strings.CutPrefix(name, pool+"/")
	if !ok {
		return noGroup, false
	}
	region := ""
	if end := strings.LastIndex(encoded, "/"); end >= 0 {
		region, encoded = encoded[:end], encoded[end+1:]
	}
	prefix, err := strconv.ParseUint(encoded, 36, 64)
	if err != nil || prefix == 0 {
		return noGroup, false
	}
	return groupID{partition{pool, region}, hashPrefix(prefix)}, true
}

// hash returns the key by which the group's owner is selected.
func (id groupID) hash() uint64 {
	if id.region == "" {
		return chiveplace.Weigh(chiveplace.HashID(id.pool), uint64(id.prefix))
	}
	return chiveplace.Weigh(chiveplace.HashID(id.pool+"/"+id.region), uint64(id.prefix))
}

// assignment is an immutable snapshot of the split of the engines into groups and of the owners of the groups.
//
// The groups of a partition are the leaves of a trie of its engines. They depend only on the engine ids, so that nodes
// agree on them without communication, and adding or removing an engine changes, splits or merges one group.
type assignment struct {
	usesOwners bool
	engineTries
	owners map[groupID]string
	// nodeCounts is the number of nodes in each region.
	nodeCounts map[string]int
	// ownedElsewhere is the number of groups of each region that nodes of any region own, for lack of nodes there.
	ownedElsewhere map[string]int
	// owned lists the groups that this node owns.
	owned []groupID
}

// newAssignment assigns the groups of each partition to the nodes; self is the address of this node.
func newAssignment(tries engineTries, nodes nodeTries, self string) *assignment {
	a := &assignment{usesOwners: true, engineTries: tries, nodeCounts: nodes.countByRegion()}
	ids := a.groupIDs()
	a.owners, a.ownedElsewhere = assignOwners(ids, nodes)
	for _, id := range ids {
		if a.owners[id] == self {
			a.owned = append(a.owned, id)
		}
	}
	return a
}

// withEngines returns the assignment with changed engines and unchanged owners, or nil if owners were not used before
// or the set of groups differs.
func (a *assignment) withEngines(tries engineTries) *assignment {
	next := &assignment{usesOwners: a.usesOwners, engineTries: tries, owners: a.owners, nodeCounts: a.nodeCounts, ownedElsewhere: a.ownedElsewhere, owned: a.owned}
	if !a.usesOwners || !next.matchesOwners() {
		return nil
	}
	return next
}

// matchesOwners reports whether the groups are exactly those that have owners.
func (a *assignment) matchesOwners() bool {
	count := 0
	for in, root := range a.tries {
		for prefix := range root.leaves(rootPrefix) {
			if _, ok := a.owners[groupID{in, prefix}]; !ok {
				return false
			}
			count++
		}
	}
	return count == len(a.owners)
}

// assignOwners selects the address of the owner of each group: a node of the group's region, unless the region has no
// nodes or each of them owns maxRegionShare times its even share already. Other groups go to any nodes, of which none
// gets more than its even share, rounded up, as long as another one has less; elsewhere counts them by region.
func assignOwners(ids []groupID, nodes nodeTries) (owners map[groupID]string, elsewhere map[string]int) {
	owners, elsewhere = make(map[groupID]string, len(ids)), make(map[string]int)
	if nodes.all.size() == 0 {
		return owners, elsewhere
	}
	ownedCounts := make(map[string]int, nodes.all.size())
	assign := func(id groupID, among *trieNode[string], maxPerNode int) {
		owners[id] = selectOwner(id.hash(), among, ownedCounts, maxPerNode)
		ownedCounts[owners[id]]++
	}
	evenShare := shareOf(len(ids), nodes.all.size())
	groupCounts, assignedCounts := countByRegion(ids), make(map[string]int)
	var remaining []groupID
	for _, id := range ids {
		near := nodes.byRegion[id.region]
		maxPerNode := min(shareOf(groupCounts[id.region], near.size()), maxRegionShare*evenShare)
		if assignedCounts[id.region] >= maxPerNode*near.size() {
			remaining = append(remaining, id)
			continue
		}
		assign(id, near, maxPerNode)
		assignedCounts[id.region]++
	}
	for _, id := range remaining {
		assign(id, nodes.all, evenShare)
		if id.region != "" {
			elsewhere[id.region]++
		}
	}
	return owners, elsewhere
}

// countByRegion returns the number of groups in each region.
func countByRegion(ids []groupID) map[string]int {
	counts := make(map[string]int)
	for _, id := range ids {
		counts[id.region]++
	}
	return counts
}

// shareOf returns the even share of one of the nodes, rounded up.
func shareOf(groups, nodes int) int { return (groups + nodes - 1) / max(nodes, 1) }

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

// ownerOf returns the address of the node that owns the engine with an incarnation key, or an empty string if no node
// owns it.
func (a *assignment) ownerOf(incarnation string) string {
	if !a.usesOwners {
		return ""
	}
	return a.owners[a.groupOf(chivedirectory.IDOf(incarnation))]
}
