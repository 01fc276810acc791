package chivemember

import (
	"math"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

func (v *View) markChanged(now time.Time) {
	v.changedAt = now
	v.version++
	v.ringOutdated = true
}

// rebuildRing sorts the live members into a ring by the hash of their names and determines whom this node probes and
// who probes it, if the members have changed.
func (v *View) rebuildRing(now time.Time) {
	if !v.ringOutdated {
		return
	}
	v.ringOutdated = false
	v.ringBuilds++
	v.ring = v.ring[:0]
	v.ring = append(v.ring, ringKey(v.self.Name))
	for _, e := range v.entries {
		if e.member.State != Dead {
			v.ring = append(v.ring, e.key)
		}
	}
	sort.Strings(v.ring)
	index := sort.SearchStrings(v.ring, ringKey(v.self.Name))
	previous := make(map[string]bool, len(v.probeTargets))
	for _, name := range v.probeTargets {
		previous[name] = true
	}
	v.probeTargets, v.probers = nil, nil
	for _, distance := range ringDistances(len(v.ring)) {
		v.probeTargets = append(v.probeTargets, ringName(v.ring[wrap(index+distance, len(v.ring))]))
		v.probers = append(v.probers, ringName(v.ring[wrap(index-distance, len(v.ring))]))
	}
	v.addExtraTargets(now, index)
	for _, name := range v.probeTargets {
		if !previous[name] {
			v.entries[name].lastHeard = v.initialLastHeard(now)
		}
	}
}

// addExtraTargets adds probe targets after this node itself found members dead, and during a mass loss.
//
// A node that is cut off alone or with few others hears from nobody who else is gone. With four targets at a time it
// would take more than two minutes to see that in a fleet of 330; so each death found adds targets to the next round.
func (v *View) addExtraTargets(now time.Time, index int) {
	v.ownDeaths, v.reportedDeaths = dropBefore(v.ownDeaths, now.Add(-massLossWindow)), dropBefore(v.reportedDeaths, now.Add(-massLossWindow))
	extra := min(len(v.ownDeaths)*extraTargetsPerDeath, maxExtraTargets)
	if v.isMassLoss() {
		extra = max(extra, massLossExtraTargets)
	}
	known := make(map[string]bool, len(v.probeTargets))
	for _, name := range v.probeTargets {
		known[name] = true
	}
	for distance := 1; distance < len(v.ring) && extra > 0; distance++ {
		name := ringName(v.ring[wrap(index+distance, len(v.ring))])
		if !known[name] {
			v.probeTargets = append(v.probeTargets, name)
			extra--
		}
	}
}

// dropBefore returns the times that are not before a given one; times is in ascending order.
func dropBefore(times []time.Time, from time.Time) []time.Time {
	for len(times) > 0 && times[0].Before(from) {
		times = times[1:]
	}
	return times
}

// isMassLoss reports whether many members died recently, whichever nodes found it. The next members on the ring are
// then likely to be dead too.
func (v *View) isMassLoss() bool {
	return len(v.ownDeaths)+len(v.reportedDeaths) > max(massLossMinDeaths, len(v.ring)*massLossPercent/100)
}

// initialLastHeard returns when a new probe target counts as last heard: now, or during a mass loss so long ago that it
// is suspect at once.
func (v *View) initialLastHeard(now time.Time) time.Time {
	if len(v.ownDeaths) >= massLossOwnDeaths || v.isMassLoss() {
		return now.Add(-suspectAfter)
	}
	return now
}

// ringDistances returns the distances to the probe targets on a ring of n members: 1, n^1/4, n^2/4, n^3/4, so that
// updates reach all members in few hops.
func ringDistances(n int) []int {
	var distances []int
	last := 0
	for i := range probeTargetCount {
		distance := max(last+1, int(math.Round(math.Pow(float64(n), float64(i)/probeTargetCount))))
		if distance >= n {
			break
		}
		distances = append(distances, distance)
		last = distance
	}
	return distances
}

// queueUpdates queues updates for the neighbours and returns the messages that are due: at once, or with the next round
// if one was sent just now.
func (v *View) queueUpdates(now time.Time, members []Member, from string) []Envelope {
	for _, m := range members {
		v.pendingUpdates = append(v.pendingUpdates, update{m, from})
	}
	return v.Flush(now)
}

// NewsDue returns when Flush has updates to send; false if there are none.
func (v *View) NewsDue() (time.Time, bool) {
	return v.flushedAt.Add(minUpdateInterval), len(v.pendingUpdates) > 0
}

// Flush returns the updates that are due, in one message per neighbour.
func (v *View) Flush(now time.Time) []Envelope {
	if len(v.pendingUpdates) == 0 || now.Sub(v.flushedAt) < minUpdateInterval {
		return nil
	}
	var out []Envelope
	for _, address := range v.neighbourAddresses(now) {
		var members []Member
		for _, u := range v.pendingUpdates {
			if u.from != address {
				members = append(members, u.member)
			}
		}
		if len(members) > 0 {
			out = append(out, Envelope{To: address, Message: News{Members: members}})
		}
	}
	v.pendingUpdates = nil
	v.flushedAt = now
	return out
}

// neighbourNames returns the members that this node probes and those that probe it, without the extra targets of a mass
// loss.
func (v *View) neighbourNames() []string {
	return slices.Concat(v.probeTargets[:min(len(v.probeTargets), probeTargetCount)], v.probers)
}

// neighbourAddresses returns the addresses of the members with which this node exchanges updates.
func (v *View) neighbourAddresses(now time.Time) []string {
	v.rebuildRing(now)
	var addresses []string
	seen := make(map[string]bool)
	for _, name := range v.neighbourNames() {
		e := v.entries[name]
		if e == nil || seen[name] {
			continue
		}
		seen[name] = true
		addresses = append(addresses, e.member.Address)
	}
	return addresses
}

// successors returns the members that follow a name on the ring, at most introducedMembers of them.
func (v *View) successors(name string) []Member {
	index := sort.SearchStrings(v.ring, ringKey(name))
	var successors []Member
	for distance := 1; len(successors) < introducedMembers && distance < len(v.ring); distance++ {
		e, ok := v.entries[ringName(v.ring[wrap(index+distance, len(v.ring))])]
		if ok && e.member.Name != name {
			successors = append(successors, e.member)
		}
	}
	return successors
}

const ringHashBytes = 8

// ringKey prefixes a name with its hash, so that sorting by key sorts by hash.
func ringKey(name string) string {
	hash := xxhash.Sum64String(name)
	key := make([]byte, ringHashBytes, ringHashBytes+len(name))
	for i := range ringHashBytes {
		key[i] = byte(hash >> (8 * (ringHashBytes - 1 - i)))
	}
	return string(append(key, name...))
}

func ringName(key string) string { return key[ringHashBytes:] }

func wrap(index, n int) int {
	return ((index % n) + n) % n
}
