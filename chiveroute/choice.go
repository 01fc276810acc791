package chiveroute

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Choice picks a shard for each request from prefix affinity and the loads that came back on earlier replies.
type Choice struct {
	pick  func(n int) int
	mu    sync.Mutex
	loads map[string]seenLoad
}

type seenLoad struct {
	percent int
	at      time.Time
}

const (
	loadBelieved  = 5 * time.Second
	loadedPercent = 100
	worthMoving   = 20
)

// NewChoice returns a choice that has seen no load yet; pick returns a random number below n, rand.IntN outside of tests.
func NewChoice(pick func(n int) int) *Choice {
	return &Choice{pick: pick, loads: make(map[string]seenLoad)}
}

// Observe notes a shard's load as its scheduler told it, in percent of the capacity.
func (c *Choice) Observe(now time.Time, shard string, percent int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.loads[shard] = seenLoad{percent: percent, at: now}
}

// Pick returns the shard that the prefix prefers, or the better one of two when that shard has a queue; excluded ones are left out.
func (c *Choice) Pick(now time.Time, prefix uint64, shards []Shard, excluded map[string]bool) (Shard, bool) {
	usable := make([]Shard, 0, len(shards))
	for _, s := range shards {
		if !excluded[s.id] {
			usable = append(usable, s)
		}
	}
	if len(usable) == 0 {
		return Shard{}, false
	}
	preferred := preferredShard(prefix, usable)
	if len(usable) == 1 {
		return usable[0], true
	}
	other := usable[c.pick(len(usable))]
	c.mu.Lock()
	defer c.mu.Unlock()
	here, there := c.load(now, preferred.id), c.load(now, other.id)
	if here > loadedPercent && there+worthMoving < here {
		return other, true
	}
	return preferred, true
}

// load returns what a shard last told; what it told long ago says nothing.
func (c *Choice) load(now time.Time, shard string) int {
	seen, ok := c.loads[shard]
	if !ok || now.Sub(seen.at) > loadBelieved {
		return 0
	}
	return seen.percent
}

func preferredShard(prefix uint64, shards []Shard) Shard {
	best, weight := shards[0], uint64(0)
	for _, s := range shards {
		if w := xxhash.Sum64String(s.id) ^ prefix; mix(w) >= weight {
			best, weight = s, mix(w)
		}
	}
	return best
}

// mix spreads the bits of a hash, so that combining two hashes by exclusive or still orders shards at random.
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}
