package chivemember_test

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"chivedrift/chivemember"
)

// fleet runs many views on virtual time, over a simulated network that loses messages and holds back those to paused
// nodes.
type fleet struct {
	now         time.Time
	random      *rand.Rand
	views       map[string]*chivemember.View
	names       []string
	pausedUntil map[string]time.Time
	stopped     map[string]bool
	partition   map[string]bool
	loss        float64
	queue       []packet
	messages    int
	startedAt   time.Time
	// messagesReceived and updatesReceived count the messages and the updates on members in them, by receiver;
	// updatesSent counts the updates by sender.
	messagesReceived map[string]int
	updatesReceived  map[string]int
	updatesSent      map[string]int
}

type packet struct {
	at       time.Time
	from, to string
	message  any
}

const (
	networkDelay = time.Millisecond
	timeStep     = 50 * time.Millisecond
)

func newFleet(size int, seed uint64) *fleet {
	f := &fleet{
		now: time.Unix(1_700_000_000, 0), random: rand.New(rand.NewPCG(seed, 1)), views: make(map[string]*chivemember.View),
		pausedUntil: make(map[string]time.Time), stopped: make(map[string]bool), messagesReceived: make(map[string]int), updatesReceived: make(map[string]int), updatesSent: make(map[string]int),
	}
	f.startedAt = f.now
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

func (f *fleet) send(from string, out []chivemember.Envelope) {
	for _, e := range out {
		f.messages++
		f.updatesSent[from] += updateCount(e.Message)
		crossesPartition := f.partition != nil && f.partition[from] != f.partition[e.To]
		if !crossesPartition && f.random.Float64() >= f.loss {
			f.queue = append(f.queue, packet{f.now.Add(networkDelay), from, e.To, e.Message})
		}
	}
}

// deliver delivers the queued messages. A paused node receives them when it resumes, a stopped node never.
func (f *fleet) deliver() {
	for len(f.queue) > 0 {
		due := f.queue
		f.queue = nil
		for _, p := range due {
			if f.stopped[p.to] || f.stopped[p.from] {
				continue
			}
			if f.now.Before(f.pausedUntil[p.to]) {
				f.queue = append(f.queue, p)
				continue
			}
			f.countReceived(p)
			f.send(p.to, f.views[p.to].Receive(f.now, p.from, p.message))
		}
		if allPaused(f, f.queue) {
			return
		}
	}
}

func (f *fleet) countReceived(p packet) {
	f.messagesReceived[p.to]++
	f.updatesReceived[p.to] += updateCount(p.message)
}

// updateCount returns how many updates on members a message holds.
func updateCount(message any) int {
	switch m := message.(type) {
	case chivemember.News:
		return len(m.Members)
	case chivemember.Sync:
		return len(m.Members)
	}
	return 0
}

// minKnown returns the smallest number of members that any node knows.
func (f *fleet) minKnown() int {
	fewest := len(f.names)
	for _, name := range f.names {
		fewest = min(fewest, f.memberCount(name))
	}
	return fewest
}

// medianUpdatesReceived and maxUpdatesReceived return how many updates on members the median and the busiest node
// received.
func (f *fleet) medianUpdatesReceived() int { return f.sortedUpdatesReceived()[len(f.names)/2] }

func (f *fleet) maxUpdatesReceived() int { return f.sortedUpdatesReceived()[len(f.names)-1] }

func (f *fleet) sortedUpdatesReceived() []int {
	counts := make([]int, 0, len(f.names))
	for _, name := range f.names {
		counts = append(counts, f.updatesReceived[name])
	}
	sort.Ints(counts)
	return counts
}

func allPaused(f *fleet, queue []packet) bool {
	for _, p := range queue {
		if !f.now.Before(f.pausedUntil[p.to]) {
			return false
		}
	}
	return true
}

// contactSeeds lets the nodes that know no other contact their seeds.
func (f *fleet) contactSeeds() {
	if f.now.Sub(f.startedAt)%chivemember.GreetEvery != 0 {
		return
	}
	for _, name := range f.names {
		if !f.stopped[name] && !f.now.Before(f.pausedUntil[name]) {
			f.send(name, f.views[name].Greet())
		}
	}
}

// run advances the fleet; the nodes tick at different phases.
func (f *fleet) run(d time.Duration, afterStep func()) {
	end := f.now.Add(d)
	for f.now.Before(end) {
		f.now = f.now.Add(timeStep)
		phase := int(f.now.UnixMilli()/timeStep.Milliseconds()) % int(chivemember.TickEvery/timeStep)
		for i, name := range f.names {
			if i%int(chivemember.TickEvery/timeStep) == phase && !f.stopped[name] && !f.now.Before(f.pausedUntil[name]) {
				f.send(name, f.views[name].Tick(f.now))
			}
		}
		f.contactSeeds()
		f.deliver()
		f.flush()
		if afterStep != nil {
			afterStep()
		}
	}
}

// flush sends the updates that are due; they are delivered with the next step.
func (f *fleet) flush() {
	for _, name := range f.names {
		if !f.stopped[name] && !f.now.Before(f.pausedUntil[name]) {
			f.send(name, f.views[name].Flush(f.now))
		}
	}
}

func (f *fleet) memberCount(name string) int { return len(f.views[name].Members()) }

func (f *fleet) deaths() int64 {
	total := int64(0)
	for _, name := range f.names {
		total += f.views[name].Deaths()
	}
	return total
}

// runUntil runs the fleet until a condition holds on every live node, and returns how long that took.
func (f *fleet) runUntil(t *testing.T, limit time.Duration, condition func(name string) bool) time.Duration {
	t.Helper()
	started := f.now
	for f.now.Sub(started) < limit {
		all := true
		for _, name := range f.names {
			if !f.stopped[name] && !condition(name) {
				all = false
				break
			}
		}
		if all {
			return f.now.Sub(started)
		}
		f.run(timeStep, nil)
	}
	t.Errorf("condition not met on every node within %s", limit)
	return limit
}

// Guards against live members declared dead because of packet loss or pauses.
func TestLossAndPausesCauseNoFalseDeaths(t *testing.T) {
	f := newFleet(24, 1)
	f.run(10*time.Second, nil)
	f.loss = 0.05
	before := f.deaths()
	f.run(time.Hour, func() {
		if f.random.IntN(20) == 0 {
			f.pausedUntil[f.names[f.random.IntN(len(f.names))]] = f.now.Add(500 * time.Millisecond)
		}
	})
	if wrong := f.deaths() - before; wrong != 0 {
		t.Errorf("%d false deaths", wrong)
	}
}

// Guards against a dead node that stays in use for more than three seconds.
func TestDeadNodeIsDetectedWithinThreeSeconds(t *testing.T) {
	for _, size := range []int{8, 64} {
		worst := time.Duration(0)
		for seed := range 10 {
			f := newFleet(size, uint64(seed))
			f.run(10*time.Second, nil)
			f.stopped[f.names[seed%size]] = true
			worst = max(worst, f.runUntil(t, 10*time.Second, func(name string) bool { return f.memberCount(name) == size-1 }))
		}
		if worst > 3*time.Second {
			t.Errorf("%d nodes: dead node in use for %s", size, worst)
		}
		t.Logf("%d nodes: dead node out of every view after at most %s in 10 runs", size, worst)
	}
}

// Guards against partitions that go unnoticed for minutes, during which requests are routed to an unreachable region,
// and against partitions that never heal.
func TestPartitionIsDetectedAndHeals(t *testing.T) {
	const size = 64
	for name, cutOff := range map[string]int{"half": size / 2, "one node": 1} {
		f := newFleet(size, 3)
		f.run(10*time.Second, nil)
		partition := make(map[string]bool)
		for _, n := range f.names[:cutOff] {
			partition[n] = true
		}
		took := f.withPartition(partition, func() time.Duration {
			return f.runUntil(t, 30*time.Second, func(n string) bool {
				return f.memberCount(n) == map[bool]int{true: cutOff, false: size - cutOff}[partition[n]]
			})
		})
		healed := f.runUntil(t, 60*time.Second, func(n string) bool { return f.memberCount(n) == size })
		t.Logf("%s of %d nodes cut off: detected on every node after %s, healed after %s", name, size, took, healed)
	}
}

// withPartition runs a function while messages between the two sides are dropped.
func (f *fleet) withPartition(partition map[string]bool, run func() time.Duration) time.Duration {
	f.queue, f.partition = nil, partition
	took := run()
	f.partition = nil
	return took
}

// Guards against a message rate per node that grows with the fleet.
func TestMessageRatePerNodeIsBounded(t *testing.T) {
	var rates []float64
	for _, size := range []int{8, 32, 128} {
		f := newFleet(size, 1)
		f.run(20*time.Second, nil)
		before := f.messages
		f.run(20*time.Second, nil)
		rates = append(rates, float64(f.messages-before)/20/float64(size))
	}
	sort.Float64s(rates)
	t.Logf("messages per node and second with 8, 32 and 128 nodes: %.1f", rates)
	if rates[2] > 1.5*rates[0] {
		t.Errorf("the message rate per node grows with the fleet: %.1f", rates)
	}
}
