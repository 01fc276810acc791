package chivenode

import (
	"context"
	"log/slog"
	"runtime/metrics"
	"sync/atomic"
	"time"

	"chivedrift/chiveevent"
	"chivedrift/chivekernel"
	"chivedrift/chivememory"
)

// memoryName is the service name of the memory guard.
const memoryName = "memory"

const (
	// memoryCheckInterval is the time between two checks of the memory in use. On the 20 Mbit/s link of a small VM,
	// half a megabyte of request bodies can arrive within it.
	memoryCheckInterval = 200 * time.Millisecond
	// refuseAbove and acceptBelow are shares of the process's memory: new requests are refused above the first and
	// accepted again below the second. Both are above memoryLimitShare, which the garbage collector works to stay
	// under, so memory beyond that share is in use and not garbage. The distance between the two keeps the state from
	// changing with every collection.
	refuseAbove = 0.85
	acceptBelow = 0.75
)

// memoryGuard makes the node refuse new requests while its memory is nearly used up. Without it, the operating system
// kills the process together with all requests in flight, while a refused caller can retry at another node.
type memoryGuard struct {
	limit float64
	// requests is the part that callers' requests take.
	requests *chivememory.Pool
	used     func() uint64
	logger   *slog.Logger
	full     atomic.Bool
	// tuner is nil if the process runs more than one node.
	tuner *gcTuner
	tasks chivekernel.Duties
}

// newMemoryGuard returns a guard with a limit in bytes. It never refuses requests until setUsageFunc is called.
func newMemoryGuard(limit int64, requests *chivememory.Pool, logger *slog.Logger) *memoryGuard {
	return &memoryGuard{limit: float64(limit), requests: requests, used: func() uint64 { return 0 }, logger: logger}
}

// HeldMemory returns the bytes that the Go runtime has obtained from the operating system and not returned.
func HeldMemory() uint64 {
	samples := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	metrics.Read(samples)
	return samples[0].Value.Uint64() - samples[1].Value.Uint64()
}

// Full reports whether new requests must be refused.
func (g *memoryGuard) Full() bool { return g.full.Load() }

// setUsageFunc sets the function that returns the bytes held by the process, and turns on the tuning of the garbage
// collector. It must be called before Start.
func (g *memoryGuard) setUsageFunc(used func() uint64) { g.used, g.tuner = used, newGCTuner() }

// Start begins the periodic checks.
func (g *memoryGuard) Start(ctx context.Context) error {
	g.tasks.Begin(ctx, func(ctx context.Context) {
		chivekernel.Every(ctx, memoryCheckInterval, func(time.Time) { g.check(ctx) })
	})
	return nil
}

// Stop ends the periodic checks.
func (g *memoryGuard) Stop(context.Context) error {
	g.tasks.End()
	return nil
}

// Dump returns the bytes held, the limit, whether new requests are refused, and the memory of callers' requests.
func (g *memoryGuard) Dump() any {
	return struct {
		Held     uint64             `json:"held_bytes"`
		Limit    int64              `json:"limit_bytes"`
		Full     bool               `json:"full"`
		Requests chivememory.Counts `json:"requests"`
	}{g.used(), int64(g.limit), g.Full(), g.requests.Counts()}
}

func (g *memoryGuard) check(ctx context.Context) {
	if g.tuner != nil {
		g.tuner.adjust()
	}
	used := float64(g.used())
	switch {
	case !g.Full() && used > refuseAbove*g.limit:
		g.full.Store(true)
		chiveevent.MemoryFull.Log(ctx, g.logger, slog.Int64("held_bytes", int64(used)), slog.Int64("limit_bytes", int64(g.limit)))
	case g.Full() && used < acceptBelow*g.limit:
		g.full.Store(false)
		chiveevent.MemoryFree.Log(ctx, g.logger, slog.Int64("held_bytes", int64(used)), slog.Int64("limit_bytes", int64(g.limit)))
	}
	if g.Full() {
		// Requests that bring nothing would keep the memory, and others be refused for their sake.
		g.requests.EndStalled()
	}
}
