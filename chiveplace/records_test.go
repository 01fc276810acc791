package chiveplace_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"chivedrift/chivedirectory"
	"chivedrift/chiveplace"
)

// fleetPool returns a pool with many engines.
func fleetPool(engines int) *chiveplace.Pool {
	p := chiveplace.NewPool("a")
	p.SetEngine(engine)
	endpoints := make([]chivedirectory.Endpoint, engines)
	for i := range endpoints {
		endpoints[i] = chivedirectory.Endpoint{ID: fmt.Sprintf("engine-%d", i), Pool: "p", Address: fmt.Sprintf("10.0.%d.%d:1", i/250, i%250), Born: 1_700_000_000_000}
	}
	p.ApplyEndpoints(chivedirectory.Diff{Changed: endpoints})
	return p
}

// Guards against a node that holds a full record of each of ten thousand engines although it uses only a few.
func TestUnusedEnginesCostLittleMemory(t *testing.T) {
	const engines, most = 10_000, 320
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	p := fleetPool(engines)
	runtime.GC()
	runtime.ReadMemStats(&after)
	perEngine := (int64(after.HeapAlloc) - int64(before.HeapAlloc)) / engines
	t.Logf("%d bytes an engine, its address and id included", perEngine)
	if perEngine > most {
		t.Errorf("an unused engine takes %d bytes, at most %d expected", perEngine, most)
	}
	runtime.KeepAlive(p)
}

// Guards against changes to the record of one engine that show on all engines without a record of their own.
func TestRecordsAreNotShared(t *testing.T) {
	p := fleetPool(50)
	now := time.Now()
	place, err := p.Take(now, chiveplace.Ask{Prompt: longPrompt(1, 100)})
	if err != nil {
		t.Fatal(err)
	}
	p.Hear(now, "n1", &chiveplace.Report{Loads: []chiveplace.Load{{Endpoint: place.Endpoint().Incarnation().Key(), Requests: 3, Waiting: []int64{900}}}})
	place.Event(now, 0)
	place.Done(now, chiveplace.EndedBroken)
	place.Eject(now.Add(time.Minute))
	others := 0
	for _, s := range p.States(now) {
		if s.Endpoint == place.Endpoint().Incarnation().Key() {
			if !s.Down || s.Others != 3 {
				t.Errorf("the engine itself: %+v", s)
			}
			continue
		}
		if s.Down || s.Own != 0 || s.Others != 0 || s.Errors != 0 || s.Waiting != 0 {
			t.Errorf("another engine: %+v", s)
		}
		others++
	}
	if others != 49 {
		t.Errorf("%d other engines", others)
	}
}

// Guards against records that accumulate in a node that runs for long: idle ones are dropped, those in use are kept.
func TestIdleRecordsAreDropped(t *testing.T) {
	const engines = 2000
	p := fleetPool(engines)
	now := time.Now().Add(-time.Hour)
	for i := range engines {
		ask := chiveplace.Ask{Prompt: shortPrompt(i + 1), Among: []string{fmt.Sprintf("engine-%d", i)}}
		place, err := p.Take(now, ask)
		if err != nil {
			t.Fatal(err)
		}
		if i%100 != 0 {
			place.Done(now, chiveplace.EndedWell)
		}
	}
	p.Collect(&chiveplace.Report{}, true)
	p.Collect(&chiveplace.Report{}, true)
	if records := p.Records(); records < engines/100 || records > engines/50 {
		t.Errorf("%d records are kept, expected about the %d in use", records, engines/100)
	}
	if got := len(p.PassedOver(now)); got != 0 {
		t.Errorf("%d engines are ejected", got)
	}
}
