package chivenode_test

import (
	"testing"

	"chivedrift/chivenode"
)

// Guards against garbage that grows in proportion to the state of a node, which is large in a large fleet.
func TestGarbageIsBounded(t *testing.T) {
	const megabyte, most = 1 << 20, 12
	for _, live := range []uint64{0, 1, 2, 3, 5, 8, 16, 24} {
		percent := chivenode.CollectPercent(live * megabyte)
		if garbage := live * uint64(percent) / 100; garbage > most {
			t.Errorf("%d MB live: %d percent, %d MB of garbage, at most %d expected", live, percent, garbage, most)
		}
	}
	if small, large := chivenode.CollectPercent(2*megabyte), chivenode.CollectPercent(200*megabyte); small != 400 || large != 50 {
		t.Errorf("percentages %d for a small heap and %d for a large one, want 400 and 50", small, large)
	}
}
