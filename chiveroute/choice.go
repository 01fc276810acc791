package chiveroute

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Choice picks a shard for each request by prefix affinity and by the loads that schedulers reported with earlier
// replies.
type Choice struct {
	pick  func(n int) int
	mu    sync.Mutex
	loads map[string]loadReport
}

type loadReport struct {
	percent    int
	receivedAt time.Time
}

const (
	maxLoadAge        = 5 * time.Second
	fullLoadPercent   = 100
	minLoadDifference = 20
)

// NewChoice returns a choice without any load reports; pick returns a random number below n (rand.IntN except in
// tests).
func NewChoice(pick func(n int) int) *Choice {
	return &Choice{pick: pick, loads: make(map[string]loadReport)}
}

// Observe records a shard's load as reported by its scheduler, in percent of its capacity.
func (c *Choice) Observe(now time.Time, shard string, percent int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.loads[shard] = loadReport{percent: percent, receivedAt: now}
}

// Pick returns the shard preferred for the prefix. If the load of that shard exceeds its capacity, so that requests
// queue there, Pick draws another shard at random and returns it if its load is lower by more than minLoadDifference.
// Excluded shards are never returned.
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
	preferredLoad, otherLoad := c.load(now, preferred.id), c.load(now, other.id)
	if preferredLoad > fullLoadPercent && otherLoad+minLoadDifference < preferredLoad {
		return other, true
	}
	return preferred, true
}

// load returns the last reported load of a shard, or 0 if there is no recent report.
func (c *Choice) load(now time.Time, shard string) int {
	report, ok := c.loads[shard]
	if !ok || now.Sub(report.receivedAt) > maxLoadAge {
		return 0
	}
	return report.percent
}

func preferredShard(prefix uint64, shards []Shard) Shard {
	best, weight := shards[0], uint64(0)
	for _, s := range shards {
		if w := xxhash.Sum64String(s.id) ^ prefix; mixBits(w) >= weight {
			best, weight = s, mixBits(w)
		}
	}
	return best
}

// mixBits spreads the bits of a hash, so that the exclusive or of two hashes still ranks shards at random.
func mixBits(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}
