package chivemember

import (
	"math"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

func (v *View) touch(now time.Time) {
	v.changed = now
	v.version++
	v.moved = true
}

// arrange places the members on a ring of name hashes and finds whom this node watches and who watches it, when members have come or gone.
func (v *View) arrange(now time.Time) {
	if !v.moved {
		return
	}
	v.moved = false
	v.placed++
	v.ring = v.ring[:0]
	v.ring = append(v.ring, ringKey(v.self.Name))
	for _, e := range v.entries {
		if e.member.State != Dead {
			v.ring = append(v.ring, e.key)
		}
	}
	sort.Strings(v.ring)
	place := sort.SearchStrings(v.ring, ringKey(v.self.Name))
	before := make(map[string]bool, len(v.watched))
	for _, name := range v.watched {
		before[name] = true
	}
	v.watched, v.watchers = nil, nil
	for _, distance := range distances(len(v.ring)) {
		v.watched = append(v.watched, ringName(v.ring[wrap(place+distance, len(v.ring))]))
		v.watchers = append(v.watchers, ringName(v.ring[wrap(place-distance, len(v.ring))]))
	}
	v.watchExtra(now, place)
	for _, name := range v.watched {
		if !before[name] {
			v.entries[name].heard = v.grace(now)
		}
	}
}

// watchExtra widens the watch while this node itself finds members dead.
//
// A node cut off together with few others, or none, has nobody to tell it who else is gone. With four at a time it
// would take a fleet of 330 more than two minutes to see it; each death found adds to the next round.
func (v *View) watchExtra(now time.Time, place int) {
	v.recent, v.reported = since(v.recent, now.Add(-massLossFor)), since(v.reported, now.Add(-massLossFor))
	extra := min(len(v.recent)*extraPerDeath, extraMost)
	if v.isMassLoss() {
		extra = max(extra, extraInMassLoss)
	}
	known := make(map[string]bool, len(v.watched))
	for _, name := range v.watched {
		known[name] = true
	}
	for distance := 1; distance < len(v.ring) && extra > 0; distance++ {
		name := ringName(v.ring[wrap(place+distance, len(v.ring))])
		if !known[name] {
			v.watched = append(v.watched, name)
			extra--
		}
	}
}

// since returns the times that are not before a given one; times is in ascending order.
func since(times []time.Time, from time.Time) []time.Time {
	for len(times) > 0 && times[0].Before(from) {
		times = times[1:]
	}
	return times
}

// isMassLoss reports whether many members died recently, whichever nodes found it. The next ones on the ring are then likely to be dead too.
func (v *View) isMassLoss() bool {
	return len(v.recent)+len(v.reported) > max(massLossLeast, len(v.ring)*massLossPercent/100)
}

// grace is when a newly watched member counts as last heard: now, or earlier in the middle of a mass loss.
func (v *View) grace(now time.Time) time.Time {
	if len(v.recent) >= massLossDeaths || v.isMassLoss() {
		return now.Add(-suspectAfter)
	}
	return now
}

// distances spaces the watched members so that news crosses n members in few hops: 1, n^1/4, n^2/4, n^3/4.
func distances(n int) []int {
	var spaced []int
	last := 0
	for i := range watchedMembers {
		distance := max(last+1, int(math.Round(math.Pow(float64(n), float64(i)/watchedMembers))))
		if distance >= n {
			break
		}
		spaced = append(spaced, distance)
		last = distance
	}
	return spaced
}

// spread passes updates on: at once, or with the next round of news when one went out just now.
func (v *View) spread(now time.Time, members []Member, from string) []Envelope {
	for _, m := range members {
		v.unsent = append(v.unsent, update{m, from})
	}
	return v.Flush(now)
}

// NewsDue returns when Flush has something to send; false while there is no news.
func (v *View) NewsDue() (time.Time, bool) { return v.sent.Add(newsGap), len(v.unsent) > 0 }

// Flush returns the news that is due, one message for each neighbour.
func (v *View) Flush(now time.Time) []Envelope {
	if len(v.unsent) == 0 || now.Sub(v.sent) < newsGap {
		return nil
	}
	var out []Envelope
	for _, address := range v.neighbours(now) {
		var members []Member
		for _, w := range v.unsent {
			if w.from != address {
				members = append(members, w.member)
			}
		}
		if len(members) > 0 {
			out = append(out, Envelope{To: address, Message: News{Members: members}})
		}
	}
	v.unsent = nil
	v.sent = now
	return out
}

// neighbourNames returns the members that this node watches and those that watch it, without the ones it watches only during a mass loss.
func (v *View) neighbourNames() []string {
	return slices.Concat(v.watched[:min(len(v.watched), watchedMembers)], v.watchers)
}

// neighbours returns the addresses of the members with which this node exchanges updates.
func (v *View) neighbours(now time.Time) []string {
	v.arrange(now)
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

// around returns the members that follow a name on the ring, at most introduced of them.
func (v *View) around(name string) []Member {
	place := sort.SearchStrings(v.ring, ringKey(name))
	var near []Member
	for distance := 1; len(near) < introduced && distance < len(v.ring); distance++ {
		e, ok := v.entries[ringName(v.ring[wrap(place+distance, len(v.ring))])]
		if ok && e.member.Name != name {
			near = append(near, e.member)
		}
	}
	return near
}

const ringHashBytes = 8

// ringKey prefixes a name with its hash, so that sorting keys sorts by hash.
func ringKey(name string) string {
	hash := xxhash.Sum64String(name)
	key := make([]byte, ringHashBytes, ringHashBytes+len(name))
	for i := range ringHashBytes {
		key[i] = byte(hash >> (8 * (ringHashBytes - 1 - i)))
	}
	return string(append(key, name...))
}

func ringName(key string) string { return key[ringHashBytes:] }

func wrap(place, n int) int {
	return ((place % n) + n) % n
}
