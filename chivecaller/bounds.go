package chivecaller

import (
	"sync/atomic"

	"chivedrift/chivememory"
)

// Bounds limit what the connections of callers take of a process and of its machine. The zero value limits nothing.
type Bounds struct {
	// Memory holds the heads of requests; nil means no limit.
	Memory *chivememory.Pool
}

// BoundCounts are totals of what the bounds made the node do.
type BoundCounts struct {
	// Heads is the number of requests whose head was too large or found no memory.
	Heads int64 `json:"heads"`
}

type boundCounters struct {
	heads atomic.Int64
}

// Bound sets the bounds. It must be called before the server starts.
func (c *Conns) Bound(bounds Bounds) { c.bounds = bounds }

// BoundCounts returns what the bounds made the node do.
func (c *Conns) BoundCounts() BoundCounts {
	return BoundCounts{Heads: c.counters.heads.Load()}
}
