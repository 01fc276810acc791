package chivenode

import (
	"math"
	"runtime/debug"

	"chivedrift/chivecaller"
	"chivedrift/chivememory"
	"chivedrift/chivewire"

	"golang.org/x/sys/unix"
)

const (
	// requestMemoryShare is the share of the process's memory for the heads and bodies of callers' requests, connectionMemoryShare that for
	// their connections, each of which takes connectionBytes with the request on it, the connection to an endpoint, and what either has
	// received unread.
	requestMemoryShare    = 0.2
	connectionMemoryShare = 0.3
	connectionBytes       = 256 << 10
	// receiveDivisor is the part of the process's memory that sets the size of receive buffers, of callers and of endpoints each.
	receiveDivisor = 64
	// fileDescriptors are kept for files, and of the rest callers get callerDescriptorShare: endpoints, peers, the store and operators
	// need the others.
	fileDescriptors       = 200
	callerDescriptorShare = 0.5
	// mostTunnels is the number of connections that a node opens for peers, which take at most tunnelDescriptorShare of the descriptors.
	mostTunnels           = 256
	tunnelDescriptorShare = 0.125
	tunnelDescriptors     = 2
	// minCallerConnections is the least number of callers' connections.
	minCallerConnections = 16
)

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

// processDescriptors returns the number of descriptors of the process: as stated, or the system's limit if that is lower or none is stated.
func processDescriptors(stated int64) int64 {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		limit.Max = math.MaxInt32
	}
	system := int64(min(limit.Max, math.MaxInt32))
	if stated > 0 {
		return min(stated, system)
	}
	return system
}

// callerBounds returns what the connections of callers may take of a process with so much memory and so many descriptors.
func callerBounds(memoryBytes, descriptors int64) chivecaller.Bounds {
	byMemory := int64(connectionMemoryShare * float64(memoryBytes) / connectionBytes)
	byDescriptors := int64(callerDescriptorShare * float64(descriptors-fileDescriptors))
	return chivecaller.Bounds{
		Connections: int(max(minCallerConnections, min(byMemory, byDescriptors))),
		Memory:      chivememory.NewPool(int64(requestMemoryShare * float64(memoryBytes))),
		Receive:     chivewire.NewReceiveBuffers(memoryBytes / receiveDivisor),
	}
}

// maxTunnels returns the number of connections that a node with so many descriptors opens for peers.
func maxTunnels(descriptors int64) int {
	return int(max(1, min(mostTunnels, int64(tunnelDescriptorShare*float64(descriptors))/tunnelDescriptors)))
}
