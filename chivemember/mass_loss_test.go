package chivemember_test

import (
	"testing"
	"time"
)

// Guards against a large fleet that takes longer and longer to notice the loss of half its nodes, and whose busiest node receives each of them again and
// again.
func TestLossOfMoreThanHalfIsSeenInTime(t *testing.T) {
	const (
		size = 300
		// seen is the time within which all that are left know who is.
		seen = 8 * time.Second
		// updatesMost is what one node may receive for each that died.
		updatesMost = 20
		killed      = 0.55
	)
	f := newFleet(size, 1)
	f.run(4*time.Second, nil)
	f.told = make(map[string]int)
	left := size
	for _, name := range f.names {
		if f.random.Float64() < killed {
			f.gone[name] = true
			left--
		}
	}
	took := f.until(t, seen, func(name string) bool { return f.known(name) == left })
	t.Logf("%d of %d are left, known after %v; the busiest received %d updates", left, size, took, f.mostTold())
	if most := f.mostTold(); most > updatesMost*(size-left) {
		t.Errorf("the busiest node received %d updates on %d deaths", most, size-left)
	}
}
