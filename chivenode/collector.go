package chivenode

import (
	"runtime/debug"
	"runtime/metrics"
)

const (
	// collectAtPercent is by how much of the live heap it grows until the next collection, whose time counts as the node's own processor time.
	collectAtPercent = 400
	// collectAtLeast is the same for the largest heaps, so that collections do not follow each other at once.
	collectAtLeast = 50
	// garbageMost bounds the growth in bytes. What a node knows grows with the fleet, and garbage in proportion to it would take several times
	// that memory in each process of a large one.
	garbageMost = 12 * megabyte
	// percentStep is the least change of the percentage that is worth the stop of all goroutines that it takes.
	percentStep = 20
)

// CollectPercent returns by how much of the live bytes the heap may grow until the next collection, in percent.
func CollectPercent(live uint64) int {
	if live == 0 {
		return collectAtPercent
	}
	return max(collectAtLeast, min(collectAtPercent, int(100*garbageMost/live)))
}

// collector sets the garbage collector's percentage by the live heap.
type collector struct {
	percent int
	sample  []metrics.Sample
}

func newCollector() *collector {
	c := &collector{percent: collectAtPercent, sample: []metrics.Sample{{Name: "/gc/heap/live:bytes"}}}
	debug.SetGCPercent(c.percent)
	return c
}

// adjust sets the percentage for the heap that was live after the last collection.
func (c *collector) adjust() {
	metrics.Read(c.sample)
	percent := CollectPercent(c.sample[0].Value.Uint64())
	if max(percent-c.percent, c.percent-percent) < percentStep {
		return
	}
	c.percent = percent
	debug.SetGCPercent(percent)
}
