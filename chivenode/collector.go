package chivenode

import (
	"runtime/debug"
	"runtime/metrics"
)

const (
	// maxGCPercent is used while the live heap is small. Collections count as the node's own CPU time, and a high
	// percentage makes them rare.
	maxGCPercent = 400
	// minGCPercent is the lower bound for large heaps, so that collections do not run back to back.
	minGCPercent = 50
	// maxGarbageBytes is the heap growth allowed between collections, unless minGCPercent allows more. A node's state
	// grows with the fleet; with a fixed percentage, the garbage of each process in a large fleet would take several
	// times the memory of that state.
	maxGarbageBytes = 12 * megabyte
	// minGCPercentChange is the smallest change that is applied, since debug.SetGCPercent stops all goroutines.
	minGCPercentChange = 20
)

// CollectPercent returns the garbage collector's GOGC percentage for the given number of live heap bytes.
func CollectPercent(live uint64) int {
	if live == 0 {
		return maxGCPercent
	}
	return max(minGCPercent, min(maxGCPercent, int(100*maxGarbageBytes/live)))
}

// gcTuner adjusts the garbage collector's GOGC percentage to the size of the live heap.
type gcTuner struct {
	percent int
	samples []metrics.Sample
}

func newGCTuner() *gcTuner {
	t := &gcTuner{percent: maxGCPercent, samples: []metrics.Sample{{Name: "/gc/heap/live:bytes"}}}
	debug.SetGCPercent(t.percent)
	return t
}

// adjust sets the percentage for the live heap of the last collection.
func (t *gcTuner) adjust() {
	metrics.Read(t.samples)
	percent := CollectPercent(t.samples[0].Value.Uint64())
	if max(percent-t.percent, t.percent-percent) < minGCPercentChange {
		return
	}
	t.percent = percent
	debug.SetGCPercent(percent)
}
