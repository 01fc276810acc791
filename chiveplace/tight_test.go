package chiveplace_test

import (
	"testing"
	"time"

	"chivedrift/chiveplace"
)

// Guards against latency-sensitive streams spread so widely that no engine is left for long prompts.
func TestLatencySensitiveStreamsShareEngines(t *testing.T) {
	p := newPool(6, engine)
	now := time.Now()
	used := make(map[string]bool)
	for i := range 12 {
		place := take(t, p, now, shortPrompt(i))
		place.Event(now.Add(30*time.Millisecond), 30*time.Millisecond)
		used[place.Endpoint().ID] = true
	}
	if len(used) > 2 {
		t.Errorf("twelve latency-sensitive streams run on %d of 6 engines", len(used))
	}
	for i := range 4 {
		if place := take(t, p, now, longPrompt(100+i, 1000+i)); used[place.Endpoint().ID] {
			t.Errorf("long prefill %d went to an engine with latency-sensitive streams, while %d have none", i, 6-len(used))
		}
	}
}

// Guards against separating streams from long prefills on engines that are so fast that long prefills make no stream
// late. The pause of streams beside long prefills is learnt.
func TestFastEnginesNeedNoSeparation(t *testing.T) {
	p := newPool(2, engine)
	now := time.Now()
	for i := range 200 {
		long := take(t, p, now, longPrompt(i, 1000+i))
		stream := take(t, p, now, shortPrompt(5000+i))
		for _, place := range []*chiveplace.Place{long, stream} {
			for range 3 {
				now = now.Add(20 * time.Millisecond)
				place.Event(now, 20*time.Millisecond)
			}
			place.Done(now, chiveplace.EndedWell)
		}
		now = now.Add(time.Second)
	}
	stream := take(t, p, now, shortPrompt(9000))
	stream.Event(now, 20*time.Millisecond)
	other := take(t, p, now, longPrompt(9001, 9002))
	busy := take(t, p, now, longPrompt(9001, 9003))
	if other.Endpoint().ID != busy.Endpoint().ID {
		t.Errorf("a shared part was prefilled on both %s and %s, only to avoid a stream", other.Endpoint().ID, busy.Endpoint().ID)
	}
}
