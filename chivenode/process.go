package chivenode

import (
	"context"
	"runtime"
	"runtime/metrics"
	"syscall"
	"time"
)

// processName is the service name of the process statistics, which is also their key in the state dump.
const processName = "process"

// ProcessState holds resource usage of the process; CPU time and allocations are totals since its start.
type ProcessState struct {
	CPUUs       int64  `json:"cpu_us"`
	UptimeMs    int64  `json:"uptime_ms"`
	HeapBytes   uint64 `json:"heap_bytes"`
	TotalBytes  uint64 `json:"total_bytes"`
	Allocations uint64 `json:"allocations"`
	Goroutines  int    `json:"goroutines"`
}

// process reports the resource usage of the node's own process, so that operators need no other tool to check it
// against its budget.
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

// Dump returns the current statistics.
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
