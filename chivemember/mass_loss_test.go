package chivemember_test

import (
	"testing"
	"time"
)

// Guards against a large fleet that is slow to notice the loss of half of its nodes, and whose busiest node receives
// each death many times.
func TestMassLossIsDetectedInTime(t *testing.T) {
	const (
		size = 300
		// detectionTimeout is the time within which every surviving node has to know the survivors.
		detectionTimeout = 8 * time.Second
		// maxUpdatesPerDeath is how many updates one node may receive for each death.
		maxUpdatesPerDeath = 20
		killedShare        = 0.55
	)
	f := newFleet(size, 1)
	f.run(4*time.Second, nil)
	f.updatesReceived = make(map[string]int)
	survivors := size
	for _, name := range f.names {
		if f.random.Float64() < killedShare {
			f.stopped[name] = true
			survivors--
		}
	}
	took := f.runUntil(t, detectionTimeout, func(name string) bool { return f.memberCount(name) == survivors })
	t.Logf("%d of %d nodes survive, known to all after %v; the busiest node received %d updates", survivors, size, took, f.maxUpdatesReceived())
	if updates := f.maxUpdatesReceived(); updates > maxUpdatesPerDeath*(size-survivors) {
		t.Errorf("the busiest node received %d updates for %d deaths", updates, size-survivors)
	}
}
