package chiveplace_test

import (
	"runtime"
	"testing"
	"time"

	"chivedrift/chiveplace"
	"chivedrift/chiverequest"
)

// Guards against a node whose memory is used up by prompt parts that are said to take no room in an engine.
func TestPartsWithoutTokensAreForgotten(t *testing.T) {
	const (
		prompts, parts = 500, 1000
		mostBytes      = 16 << 20
	)
	p := newPool(1, engine)
	before := heapBytes()
	for i := range prompts {
		read := chiveplace.Read{Endpoint: "e0"}
		for j := range parts {
			read.Parts = append(read.Parts, chiverequest.Part{ID: uint64(i*parts + j)})
		}
		p.Hear(time.Now(), "n", &chiveplace.Report{Reads: []chiveplace.Read{read}})
	}
	if more := heapBytes() - before; more > mostBytes {
		t.Errorf("%d prompts of %d parts take %d bytes", prompts, parts, more)
	}
	runtime.KeepAlive(p)
}

func heapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
