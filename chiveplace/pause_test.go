package chiveplace_test

import (
	"testing"
	"testing/synctest"
	"time"

	"chivedrift/chiveplace"
)

// runSlowStream runs a stream with one second between events, and returns its engine.
func runSlowStream(t *testing.T, p *chiveplace.Pool) string {
	t.Helper()
	place := take(t, p, time.Now(), shortPrompt(1))
	for range 5 {
		time.Sleep(time.Second)
		place.Event(time.Now(), time.Second)
	}
	return place.Endpoint().ID
}

// countChosen returns how often an endpoint is chosen for ten short prompts that keep running, with ids starting at
// from.
func countChosen(t *testing.T, p *chiveplace.Pool, endpoint string, from int) (count int) {
	t.Helper()
	for i := range 10 {
		if take(t, p, time.Now(), shortPrompt(from+i)).Endpoint().ID == endpoint {
			count++
		}
	}
	return count
}

// Guards against new streams on an engine whose streams have become slow.
func TestEngineWithSlowStreamsIsAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		measuring, informed := newPool(3, engine), newPool(3, engine)
		slow := runSlowStream(t, measuring)
		var report chiveplace.Report
		measuring.Collect(&report, false)
		informed.Hear(time.Now(), "n1", &report)
		if got := countChosen(t, measuring, slow, 1000); got != 0 {
			t.Errorf("the node that measured the pauses sent %d of 10 requests there", got)
		}
		if got := countChosen(t, informed, slow, 2000); got != 0 {
			t.Errorf("the node that got the report sent %d of 10 requests there", got)
		}
		time.Sleep(8 * time.Second)
		if got := countChosen(t, informed, slow, 3000); got == 0 {
			t.Error("the engine is not tried again")
		}
	})
}
