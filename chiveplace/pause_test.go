package chiveplace_test

import (
	"testing"
	"testing/synctest"
	"time"

	"chivedrift/chiveplace"
)

// slowStream runs a stream on an engine whose events are a second apart.
func slowStream(t *testing.T, p *chiveplace.Pool) string {
	t.Helper()
	place := take(t, p, time.Now(), shortPrompt(1))
	for range 5 {
		time.Sleep(time.Second)
		place.Event(time.Now(), time.Second)
	}
	return place.Endpoint().ID
}

// chosen counts how often an endpoint is chosen for ten short prompts that stay, numbered from a number.
func chosen(t *testing.T, p *chiveplace.Pool, endpoint string, from int) (count int) {
	t.Helper()
	for i := range 10 {
		if take(t, p, time.Now(), shortPrompt(from+i)).Endpoint().ID == endpoint {
			count++
		}
	}
	return count
}

// Guards against new streams for an engine whose streams have become slow.
func TestEngineWhoseStreamsPauseIsPassedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		seeing, hearing := newPool(3, engine), newPool(3, engine)
		slow := slowStream(t, seeing)
		var report chiveplace.Report
		seeing.Collect(&report, false)
		hearing.Hear(time.Now(), "n1", &report)
		if got := chosen(t, seeing, slow, 1000); got != 0 {
			t.Errorf("the node that saw the pauses sent %d of 10 requests there", got)
		}
		if got := chosen(t, hearing, slow, 2000); got != 0 {
			t.Errorf("the node that was told sent %d of 10 requests there", got)
		}
		time.Sleep(8 * time.Second)
		if got := chosen(t, hearing, slow, 3000); got == 0 {
			t.Error("the engine is not tried again")
		}
	})
}
