package chivenode

import (
	"context"
	"log/slog"
	"runtime/metrics"
	"sync/atomic"
	"time"

	"chivedrift/chiveevent"
	"chivedrift/chivekernel"
)

// memoryName is the name under which the guard of the memory registers.
const memoryName = "memory"

const (
	// memoryLook is how often the memory is looked at: at the 20 Mbit/s of a small VM's link bodies come at half a megabyte meanwhile.
	memoryLook = 200 * time.Millisecond
	// refuseAt and acceptAt are the shares of the process's memory at which new requests are refused and taken again. The collector
	// works to hold memoryShare, so only what is in use can be above it; what is between them keeps the answer from changing with each collection.
	refuseAt = 0.85
	acceptAt = 0.75
)

// memoryGuard has the node refuse new requests while its memory is nearly used up. Without it the kernel ends the process, and with it every
// request in flight; a refused caller comes back to another node.
type memoryGuard struct {
	limit  float64
	used   func() uint64
	logger *slog.Logger
	full   atomic.Bool
	// collector is nil where the node shares its process with others.
	collector *collector
	duties    chivekernel.Duties
}

// newMemoryGuard returns a guard of so many bytes that watches nothing yet.
func newMemoryGuard(limit int64, logger *slog.Logger) *memoryGuard {
	return &memoryGuard{limit: float64(limit), used: func() uint64 { return 0 }, logger: logger}
}

// HeldMemory returns the bytes that the runtime holds from the system.
func HeldMemory() uint64 {
	samples := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	metrics.Read(samples)
	return samples[0].Value.Uint64() - samples[1].Value.Uint64()
}

// Full reports whether new requests are to be refused.
func (g *memoryGuard) Full() bool { return g.full.Load() }

// watch takes what returns the bytes that the process holds, and has the collector's percentage follow the heap; it is called before Start.
func (g *memoryGuard) watch(used func() uint64) { g.used, g.collector = used, newCollector() }

// Start begins to look.
func (g *memoryGuard) Start(ctx context.Context) error {
	g.duties.Begin(ctx, func(ctx context.Context) {
		chivekernel.Every(ctx, memoryLook, func(time.Time) { g.look(ctx) })
	})
	return nil
}

// Stop ends that.
func (g *memoryGuard) Stop(context.Context) error {
	g.duties.End()
	return nil
}

// Dump returns the bytes held, the limit and whether requests are refused.
func (g *memoryGuard) Dump() any {
	return struct {
		Held  uint64 `json:"held_bytes"`
		Limit int64  `json:"limit_bytes"`
		Full  bool   `json:"full"`
	}{g.used(), int64(g.limit), g.Full()}
}

func (g *memoryGuard) look(ctx context.Context) {
	if g.collector != nil {
		g.collector.adjust()
	}
	used := float64(g.used())
	switch {
	case !g.Full() && used > refuseAt*g.limit:
		g.full.Store(true)
		chiveevent.MemoryFull.Log(ctx, g.logger, slog.Int64("held_bytes", int64(used)), slog.Int64("limit_bytes", int64(g.limit)))
	case g.Full() && used < acceptAt*g.limit:
		g.full.Store(false)
		chiveevent.MemoryFree.Log(ctx, g.logger, slog.Int64("held_bytes", int64(used)), slog.Int64("limit_bytes", int64(g.limit)))
	}
}
