//go:build !race

package chivedistance_test

import (
	"testing"

	"chivedrift/chiveresidency"
)

// Guards against probes for the distance in a deployment without one.
func TestNothingIsObservedWithinOneRegion(t *testing.T) {
	for name, c := range map[string]struct {
		regions  chiveresidency.Map
		observed bool
	}{"three regions": {threeRegions, true}, "one region": {chiveresidency.Map{"s1": "south"}, false}, "none": {nil, false}} {
		if observed := fleet(c.regions).Observer() != nil; observed != c.observed {
			t.Errorf("%s: replies are observed: %v, want %v", name, observed, c.observed)
		}
	}
}
