package chivemember_test

import (
	"slices"
	"testing"
	"time"

	"chivedrift/chivemember"
)

// Guards against a node that starts and waits for its first tick before it contacts anybody.
func TestNodeThatStartsGreetsItsSeedsAtOnce(t *testing.T) {
	f := newFleet(20, 1)
	f.post("n001", f.views["n001"].Greet())
	f.deliver()
	if known := f.known("n001"); known < 2 {
		t.Errorf("the node knows %d members before its first tick, itself included", known)
	}
	if again := f.views["n001"].Greet(); len(again) > 0 {
		t.Errorf("a node that knows others sends %d greetings", len(again))
	}
}

// Guards against a cold start in which the seeds send their whole view to each node, the square of the fleet in all.
func TestColdStartDoesNotFillTheLinksOfTheSeeds(t *testing.T) {
	const (
		size = 600
		// updatesMost is what one node may send for each member, 70 bytes an update: 2 MB, less than a second of a link of 20 Mbit/s.
		updatesMost = 50
		joined      = 1500 * time.Millisecond
	)
	f := newFleet(size, 1)
	seeds := []chivemember.Member{f.views[f.names[0]].Self(), f.views[f.names[1]].Self(), f.views[f.names[2]].Self()}
	for _, name := range f.names {
		f.views[name].SetSeeds(seeds)
	}
	f.run(joined, nil)
	busiest := ""
	for _, name := range f.names {
		if f.sent[name] > f.sent[busiest] {
			busiest = name
		}
	}
	if f.leastKnown() < size || f.sent[busiest] > updatesMost*size {
		t.Errorf("after %v a node knows %d of %d, and %s has sent %d updates, at most %d expected", joined, f.leastKnown(), size, busiest, f.sent[busiest], updatesMost*size)
	}
	t.Logf("%s has sent %d updates", busiest, f.sent[busiest])
}

// Guards against a cold start whose membership traffic grows with the square of the fleet.
func TestColdStartOfALargeFleet(t *testing.T) {
	const (
		size = 300
		// joined is the time within which every node has to know all others: a node of the fleet has to be of use a second after its start.
		joined = 1500 * time.Millisecond
		// messagesMost is what one node may receive for it: two a member, a tenth of a fifth of a core at 100 us each.
		messagesMost = 2 * size
		// changesMost is how many times one node may place its members anew, at about half a millisecond each.
		changesMost = 40
	)
	f := newFleet(size, 1)
	seeds := f.views[f.names[0]].Members()
	for _, name := range f.names[1:3] {
		seeds = append(seeds, f.views[name].Self())
	}
	for _, name := range f.names {
		f.views[name].SetSeeds(seeds)
	}
	took := time.Duration(0)
	f.run(5*time.Second, func() {
		if took == 0 && f.leastKnown() == size {
			took = f.now.Sub(f.began)
		}
	})
	if took == 0 || took > joined {
		t.Errorf("after %v the last node knew all others, expected %v; it knows %d of %d now", took, joined, f.leastKnown(), size)
	}
	received := make([]int, 0, size)
	changes := make([]int, 0, size)
	for _, name := range f.names {
		received = append(received, f.received[name])
		changes = append(changes, int(f.views[name].Placed()))
	}
	slices.Sort(received)
	slices.Sort(changes)
	t.Logf("last node knew all after %v; messages received: middle %d, most %d; placements: middle %d, most %d; members told: middle %d, most %d",
		took, received[size/2], received[size-1], changes[size/2], changes[size-1], f.middleTold(), f.mostTold())
	if received[size/2] > messagesMost {
		t.Errorf("the middle node received %d messages, expected %d at most", received[size/2], messagesMost)
	}
	if changes[size/2] > changesMost {
		t.Errorf("the middle node placed its members %d times, expected %d at most", changes[size/2], changesMost)
	}
}
