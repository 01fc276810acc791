package chivenode

import (
	"context"
	"runtime"
	"runtime/metrics"
	"syscall"
	"time"
)

// processName is the name under which the process's own figures appear in the dump.
const processName = "process"

// ProcessState is what the process spent since its start.
type ProcessState struct {
	CPUUs       int64  `json:"cpu_us"`
	UptimeMs    int64  `json:"uptime_ms"`
	HeapBytes   uint64 `json:"heap_bytes"`
	TotalBytes  uint64 `json:"total_bytes"`
	Allocations uint64 `json:"allocations"`
	Goroutines  int    `json:"goroutines"`
}

// process reports what the node itself costs, so that operators need no other tool to hold it to its budget.
type process struct {
	started time.Time
}

func newProcess() *process {
	return &process{started: time.Now()}
}

// Start does nothing.
func (p *process) Start(context.Context) error { return nil }

// Stop does nothing.
func (p *process) Stop(context.Context) error { return nil }

// Dump returns the figures of now.
func (p *process) Dump() any { return p.state() }

func (p *process) state() ProcessState {
	samples := []metrics.Sample{
		{Name: "/memory/classes/heap/objects:bytes"},
		{Name: "/memory/classes/total:bytes"},
		{Name: "/gc/heap/allocs:objects"},
	}
	metrics.Read(samples)
	state := ProcessState{
		UptimeMs: time.Since(p.started).Milliseconds(), Goroutines: runtime.NumGoroutine(),
		HeapBytes: samples[0].Value.Uint64(), TotalBytes: samples[1].Value.Uint64(), Allocations: samples[2].Value.Uint64(),
	}
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err == nil {
		state.CPUUs = time.Duration(usage.Utime.Nano() + usage.Stime.Nano()).Microseconds()
	}
	return state
}
