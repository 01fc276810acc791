package chivemember_test

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"chivedrift/chivemember"
)

// fleet drives many views over a fake network that loses and delays messages, on virtual time.
type fleet struct {
	now      time.Time
	random   *rand.Rand
	views    map[string]*chivemember.View
	names    []string
	paused   map[string]time.Time
	gone     map[string]bool
	side     map[string]bool
	loss     float64
	queue    []parcel
	messages int
	began    time.Time
	// received and told count the messages, and the updates on members in them, by receiver; sent counts the updates by sender.
	received map[string]int
	told     map[string]int
	sent     map[string]int
}

type parcel struct {
	at       time.Time
	from, to string
	message  any
}

const (
	delivery  = time.Millisecond
	fleetStep = 50 * time.Millisecond
)

func newFleet(size int, seed uint64) *fleet {
	f := &fleet{
		now: time.Unix(1_700_000_000, 0), random: rand.New(rand.NewPCG(seed, 1)), views: make(map[string]*chivemember.View),
		paused: make(map[string]time.Time), gone: make(map[string]bool), received: make(map[string]int), told: make(map[string]int), sent: make(map[string]int),
	}
	f.began = f.now
	var seeds []chivemember.Member
	for i := range size {
		name := fmt.Sprintf("n%03d", i)
		f.names = append(f.names, name)
		seeds = append(seeds, chivemember.Member{Name: name, Address: name, Incarnation: 1})
	}
	for i, name := range f.names {
		f.views[name] = chivemember.NewView(seeds[i], f.now)
		f.views[name].SetSeeds(seeds)
	}
	return f
}

func (f *fleet) post(from string, out []chivemember.Envelope) {
	for _, e := range out {
		f.messages++
		f.sent[from] += updatesIn(e.Message)
		crosses := f.side != nil && f.side[from] != f.side[e.To]
		if !crosses && f.random.Float64() >= f.loss {
			f.queue = append(f.queue, parcel{f.now.Add(delivery), from, e.To, e.Message})
		}
	}
}

// deliver hands over everything due; a paused node reads it when it wakes, a node that is gone never.
func (f *fleet) deliver() {
	for len(f.queue) > 0 {
		due := f.queue
		f.queue = nil
		for _, p := range due {
			if f.gone[p.to] || f.gone[p.from] {
				continue
			}
			if f.now.Before(f.paused[p.to]) {
				f.queue = append(f.queue, p)
				continue
			}
			f.count(p)
			f.post(p.to, f.views[p.to].Receive(f.now, p.from, p.message))
		}
		if allPaused(f, f.queue) {
			return
		}
	}
}

func (f *fleet) count(p parcel) {
	f.received[p.to]++
	f.told[p.to] += updatesIn(p.message)
}

// updatesIn returns how many updates on members a message holds.
func updatesIn(message any) int {
	switch m := message.(type) {
	case chivemember.News:
		return len(m.Members)
	case chivemember.Sync:
		return len(m.Members)
	}
	return 0
}

// leastKnown returns how many members the node knows that knows the fewest.
func (f *fleet) leastKnown() int {
	least := len(f.names)
	for _, name := range f.names {
		least = min(least, f.known(name))
	}
	return least
}

// middleTold and mostTold return how many updates on members the middle and the busiest node received.
func (f *fleet) middleTold() int { return f.sortedTold()[len(f.names)/2] }

func (f *fleet) mostTold() int { return f.sortedTold()[len(f.names)-1] }

func (f *fleet) sortedTold() []int {
	told := make([]int, 0, len(f.names))
	for _, name := range f.names {
		told = append(told, f.told[name])
	}
	sort.Ints(told)
	return told
}

func allPaused(f *fleet, queue []parcel) bool {
	for _, p := range queue {
		if !f.now.Before(f.paused[p.to]) {
			return false
		}
	}
	return true
}

// greet has the nodes that know no other greet their seeds.
func (f *fleet) greet() {
	if f.now.Sub(f.began)%chivemember.GreetEvery != 0 {
		return
	}
	for _, name := range f.names {
		if !f.gone[name] && !f.now.Before(f.paused[name]) {
			f.post(name, f.views[name].Greet())
		}
	}
}

// run advances the fleet; each node ticks at its own phase.
func (f *fleet) run(d time.Duration, each func()) {
	end := f.now.Add(d)
	for f.now.Before(end) {
		f.now = f.now.Add(fleetStep)
		phase := int(f.now.UnixMilli()/fleetStep.Milliseconds()) % int(chivemember.TickEvery/fleetStep)
		for i, name := range f.names {
			if i%int(chivemember.TickEvery/fleetStep) == phase && !f.gone[name] && !f.now.Before(f.paused[name]) {
				f.post(name, f.views[name].Tick(f.now))
			}
		}
		f.greet()
		f.deliver()
		f.flush()
		if each != nil {
			each()
		}
	}
}

// flush sends the news that is due; what it brings about is delivered with the next step.
func (f *fleet) flush() {
	for _, name := range f.names {
		if !f.gone[name] && !f.now.Before(f.paused[name]) {
			f.post(name, f.views[name].Flush(f.now))
		}
	}
}

func (f *fleet) known(by string) int { return len(f.views[by].Members()) }

func (f *fleet) deaths() int64 {
	total := int64(0)
	for _, name := range f.names {
		total += f.views[name].Deaths()
	}
	return total
}

// until runs until a condition holds on every live node and returns how long that took.
func (f *fleet) until(t *testing.T, limit time.Duration, holds func(name string) bool) time.Duration {
	t.Helper()
	started := f.now
	for f.now.Sub(started) < limit {
		all := true
		for _, name := range f.names {
			if !f.gone[name] && !holds(name) {
				all = false
				break
			}
		}
		if all {
			return f.now.Sub(started)
		}
		f.run(fleetStep, nil)
	}
	t.Errorf("not on every node within %s", limit)
	return limit
}

// Guards against healthy members declared dead because of packet loss or pauses.
func TestNoFalseDeathInAnHourOfLossAndPauses(t *testing.T) {
	f := newFleet(24, 1)
	f.run(10*time.Second, nil)
	f.loss = 0.05
	before := f.deaths()
	f.run(time.Hour, func() {
		if f.random.IntN(20) == 0 {
			f.paused[f.names[f.random.IntN(len(f.names))]] = f.now.Add(500 * time.Millisecond)
		}
	})
	if wrong := f.deaths() - before; wrong != 0 {
		t.Errorf("%d false deaths", wrong)
	}
}

// Guards against a dead node that stays in use for more than three seconds.
func TestDeadNodeIsOutOfUseWithinThreeSeconds(t *testing.T) {
	for _, size := range []int{8, 64} {
		worst := time.Duration(0)
		for seed := range 10 {
			f := newFleet(size, uint64(seed))
			f.run(10*time.Second, nil)
			f.gone[f.names[seed%size]] = true
			worst = max(worst, f.until(t, 10*time.Second, func(name string) bool { return f.known(name) == size-1 }))
		}
		if worst > 3*time.Second {
			t.Errorf("%d nodes: out of use after %s", size, worst)
		}
		t.Logf("%d nodes: out of every view after at most %s in 10 runs", size, worst)
	}
}

// Guards against routing to a partitioned region for minutes, and partitions that never heal.
func TestRegionCutIsSeenAndHealed(t *testing.T) {
	const size = 64
	for name, cut := range map[string]int{"half": size / 2, "one node": 1} {
		f := newFleet(size, 3)
		f.run(10*time.Second, nil)
		side := make(map[string]bool)
		for _, n := range f.names[:cut] {
			side[n] = true
		}
		took := f.withCut(side, func() time.Duration {
			return f.until(t, 30*time.Second, func(n string) bool {
				return f.known(n) == map[bool]int{true: cut, false: size - cut}[side[n]]
			})
		})
		healed := f.until(t, 60*time.Second, func(n string) bool { return f.known(n) == size })
		t.Logf("%s of %d cut off: seen everywhere after %s, healed after %s", name, size, took, healed)
	}
}

// withCut drops what crosses between the sides while during runs.
func (f *fleet) withCut(side map[string]bool, during func() time.Duration) time.Duration {
	f.queue, f.side = nil, side
	took := during()
	f.side = nil
	return took
}

// TestControlCostIsFlat measures messages a node a second at several sizes.
func TestControlCostIsFlat(t *testing.T) {
	var rates []float64
	for _, size := range []int{8, 32, 128} {
		f := newFleet(size, 1)
		f.run(20*time.Second, nil)
		before := f.messages
		f.run(20*time.Second, nil)
		rates = append(rates, float64(f.messages-before)/20/float64(size))
	}
	sort.Float64s(rates)
	t.Logf("messages a node a second at 8, 32 and 128 nodes: %.1f", rates)
	if rates[2] > 1.5*rates[0] {
		t.Errorf("the cost a node grows with the fleet: %.1f", rates)
	}
}
