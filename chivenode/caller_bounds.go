package chivenode

import (
	"math"
	"runtime/debug"

	"chivedrift/chivecaller"
	"chivedrift/chivememory"

	"golang.org/x/sys/unix"
)

// requestMemoryShare is the share of the process's memory for the heads and bodies of callers' requests.
const requestMemoryShare = 0.2

// processMemory returns the memory of the process in bytes: as stated in megabytes or, if that is zero, the runtime's own limit or, without
// one, the machine's memory.
func processMemory(statedMB int64) int64 {
	if statedMB > 0 {
		return statedMB * megabyte
	}
	if limit := debug.SetMemoryLimit(-1); limit < math.MaxInt64 {
		return limit
	}
	var info unix.Sysinfo_t
	if err := unix.Sysinfo(&info); err != nil {
		return math.MaxInt64
	}
	return int64(info.Totalram) * int64(info.Unit)
}

// callerBounds returns what callers may take of a process with so much memory.
func callerBounds(memoryBytes int64) chivecaller.Bounds {
	return chivecaller.Bounds{Memory: chivememory.NewPool(int64(requestMemoryShare * float64(memoryBytes)))}
}
