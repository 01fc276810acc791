package chivemember_test

import (
	"slices"
	"testing"
	"time"

	"chivedrift/chivemember"
)

// Guards against a node that waits for its first tick before it contacts a seed.
func TestStartingNodeContactsSeedsImmediately(t *testing.T) {
	f := newFleet(20, 1)
	f.send("n001", f.views["n001"].Greet())
	f.deliver()
	if count := f.memberCount("n001"); count < 2 {
		t.Errorf("the node knows %d members before its first tick, including itself", count)
	}
	if again := f.views["n001"].Greet(); len(again) > 0 {
		t.Errorf("a node that knows other members sends %d messages to seeds", len(again))
	}
}

// Guards against seeds that send their whole view to each node in a cold start, the square of the fleet in total.
func TestColdStartBoundsTheTrafficOfSeeds(t *testing.T) {
	const (
		size = 600
		// maxUpdatesPerMember is what one node may send for each member. At 70 bytes an update this is 2 MB, less than
		// a second of a link of 20 Mbit/s.
		maxUpdatesPerMember = 50
		joinTimeout         = 1500 * time.Millisecond
	)
	f := newFleet(size, 1)
	seeds := []chivemember.Member{f.views[f.names[0]].Self(), f.views[f.names[1]].Self(), f.views[f.names[2]].Self()}
	for _, name := range f.names {
		f.views[name].SetSeeds(seeds)
	}
	f.run(joinTimeout, nil)
	busiest := ""
	for _, name := range f.names {
		if f.updatesSent[name] > f.updatesSent[busiest] {
			busiest = name
		}
	}
	if f.minKnown() < size || f.updatesSent[busiest] > maxUpdatesPerMember*size {
		t.Errorf("after %v a node knows %d of %d members, and %s has sent %d updates, want at most %d", joinTimeout, f.minKnown(), size, busiest, f.updatesSent[busiest], maxUpdatesPerMember*size)
	}
	t.Logf("%s has sent %d updates", busiest, f.updatesSent[busiest])
}

// Guards against membership traffic in a cold start that grows with the square of the fleet.
func TestColdStartBoundsTrafficPerNode(t *testing.T) {
	const (
		size = 300
		// joinTimeout is the time within which every node has to know all others: a node has to be of use a second
		// after its start.
		joinTimeout = 1500 * time.Millisecond
		// maxMessages is what one node may receive until then: two messages per member, a tenth of a fifth of a core at
		// 100 us each.
		maxMessages = 2 * size
		// maxRingBuilds is how many times one node may rebuild its ring, at about half a millisecond each.
		maxRingBuilds = 40
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
		if took == 0 && f.minKnown() == size {
			took = f.now.Sub(f.startedAt)
		}
	})
	if took == 0 || took > joinTimeout {
		t.Errorf("last node knew all members after %v, want %v; now every node knows at least %d of %d", took, joinTimeout, f.minKnown(), size)
	}
	received := make([]int, 0, size)
	ringBuilds := make([]int, 0, size)
	for _, name := range f.names {
		received = append(received, f.messagesReceived[name])
		ringBuilds = append(ringBuilds, int(f.views[name].Placed()))
	}
	slices.Sort(received)
	slices.Sort(ringBuilds)
	t.Logf("last node knew all members after %v; messages received: median %d, max %d; ring builds: median %d, max %d; updates received: median %d, max %d",
		took, received[size/2], received[size-1], ringBuilds[size/2], ringBuilds[size-1], f.medianUpdatesReceived(), f.maxUpdatesReceived())
	if received[size/2] > maxMessages {
		t.Errorf("the median node received %d messages, want at most %d", received[size/2], maxMessages)
	}
	if ringBuilds[size/2] > maxRingBuilds {
		t.Errorf("the median node built its ring %d times, want at most %d", ringBuilds[size/2], maxRingBuilds)
	}
}
