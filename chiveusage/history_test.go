//go:build !race

package chiveusage_test

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"chivedrift/chivestand"
)

// usageHistories is the number of random histories that TestEachStartIsCountedOnce runs; usageSeed is the first seed.
var (
	usageHistories = flag.Uint64("usage.histories", 8, "number of random histories in TestEachStartIsCountedOnce")
	usageSeed      = flag.Uint64("usage.seed", 0, "first seed of TestEachStartIsCountedOnce")
)

const (
	historySize  = 6
	historySteps = 8
	// maxGain is the maximum rate difference of the clocks, in parts per million; maxLag is the maximum delay of messages.
	maxGain = 100
	maxLag  = 15 * time.Millisecond
	// minOffset and maxOffset limit the differences of the clocks since boot.
	minOffset = time.Microsecond
	maxOffset = 5 * time.Second
	// Around the ends of windows starts are recorded every edgeStep, otherwise every plainStep.
	plainStep = 20 * time.Millisecond
	edgeStep  = 100 * time.Microsecond
	edgeHalf  = 20 * time.Millisecond
	// networkRecovery is the minimum time between faults of the network. A node needs it to find that a connection is
	// silent, to connect again and to resend its starts.
	networkRecovery = 7 * time.Second
	// departureInterval is the minimum time between two nodes that leave. Collectors retain starts for less.
	departureInterval = 20 * time.Second
	// drainBeforeStop is how long a node gets no requests before it stops.
	drainBeforeStop = time.Second
	// crashLoss is the maximum age of a start that is lost in a crash.
	crashLoss = networkRecovery
	// omissionSlack is the maximum error of the time at which a window ends.
	omissionSlack = 200 * time.Millisecond
)

// recordedStart is a start in a history. Each has a team of its own, so that a report shows which starts it counts.
type recordedStart struct {
	at      time.Time
	process string
}

// history is a random sequence of faults in a fleet, with the starts that it has recorded.
type history struct {
	*fleet
	// rough allows faults that may lose starts: crashes, long outages and restores of the store.
	rough  bool
	starts map[string]recordedStart
	// crashedAt holds the time of each crash, by process.
	crashedAt map[string]time.Time
	// stopped is a node that is down; draining is one that gets no more requests.
	stopped  *node
	draining *node
	// lastDeparture and lastNetworkFault are the times of the last faults of these kinds.
	lastDeparture    time.Time
	lastNetworkFault time.Time
	// events describes the faults.
	events []string
}

func newHistory(t *testing.T, seed uint64) *history {
	t.Helper()
	random := rand.New(rand.NewPCG(seed, 2))
	clocks := make([]bootClock, historySize)
	for i := range clocks {
		offset := time.Duration(float64(minOffset) * math.Pow(float64(maxOffset/minOffset), random.Float64()))
		if random.IntN(2) == 0 {
			offset = -offset
		}
		clocks[i] = bootClock{offset: offset, gain: random.Int64N(2*maxGain+1) - maxGain}
	}
	return &history{
		fleet: newClockFleet(t, seed, clocks...), rough: seed%2 == 1, starts: make(map[string]recordedStart), crashedAt: make(map[string]time.Time),
	}
}

func (n *node) process() string { return fmt.Sprintf("%s/%d", n.address, n.incarnation) }

// record records starts on random nodes.
func (h *history) record(duration time.Duration) {
	for end := time.Now().Add(duration); time.Now().Before(end); {
		if n := h.nodes[h.random.IntN(len(h.nodes))]; n.up && n != h.draining {
			team := fmt.Sprintf("start-%d", len(h.starts))
			h.starts[team] = recordedStart{time.Now(), n.process()}
			n.usage.RecordStart(team)
		}
		if intoWindow := time.Now().Add(edgeHalf).Sub(time.Now().Add(edgeHalf).Truncate(window)); intoWindow < 2*edgeHalf {
			time.Sleep(edgeStep)
		} else {
			time.Sleep(plainStep)
		}
	}
}

func (h *history) logf(format string, arguments ...any) {
	h.events = append(h.events, fmt.Sprintf("%.1fs ", time.Since(h.startedAt).Seconds())+fmt.Sprintf(format, arguments...))
}

// step injects a random fault, records starts while it lasts, and ends it.
func (h *history) step() {
	h.restartStopped()
	for _, n := range h.nodes {
		if h.random.IntN(3) == 0 {
			h.setLags(time.Duration(h.random.Int64N(int64(maxLag))), n)
		}
	}
	kinds := 6
	if h.rough {
		kinds = 9
	}
	short := 2*time.Second + time.Duration(h.random.Int64N(int64(2*time.Second)))
	long := short + time.Duration(h.random.Int64N(int64(12*time.Second)))
	switch h.random.IntN(kinds) {
	case 0:
		h.leave(h.pick(), h.shutDown, "stops")
	case 1:
		h.loseLease()
	case 2:
		h.logf("platform down for %v", short)
		h.platformDown(short)
	case 3:
		h.logf("store unreliable for %v", short)
		h.topic.SetFaults(chivestand.TopicFaults{LostShare: 0.5, LateShare: 0.5})
		h.record(short)
		h.topic.SetFaults(chivestand.TopicFaults{})
	case 4, 5:
		h.disturbNetwork()
	case 6:
		h.leave(h.pick(), h.crashAt, "crashes")
	case 7:
		h.logf("platform down for %v", long)
		h.platformDown(long)
	case 8:
		lost := h.random.IntN(12)
		h.logf("store restored without %d records", lost)
		h.topic.Restore(lost)
	}
	h.record(short)
}

// pick returns the lease holder or a random node.
func (h *history) pick() *node {
	if n, ok := h.currentHolder(); ok && h.random.IntN(2) == 0 {
		return n
	}
	return h.nodes[h.random.IntN(len(h.nodes))]
}

func (h *history) currentHolder() (*node, bool) {
	for _, n := range h.nodes {
		if _, ok := n.lease.Tenure(); ok && n.up {
			return n, true
		}
	}
	return nil, false
}

// leave takes a node out of the fleet, unless another one left recently or the network was disturbed.
func (h *history) leave(n *node, take func(*node), verb string) {
	if time.Since(h.lastDeparture) < departureInterval || time.Since(h.lastNetworkFault) < networkRecovery {
		return
	}
	h.draining = n
	h.record(drainBeforeStop)
	h.draining = nil
	h.logf("%s %s", n.process(), verb)
	take(n)
	h.stopped, h.lastDeparture = n, time.Now()
	if h.random.IntN(2) == 0 {
		h.restartStopped()
	}
	h.setMembers()
}

// crashAt crashes a node soon after its last start.
func (h *history) crashAt(n *node) {
	h.record(time.Duration(h.random.Int64N(int64(time.Second))))
	h.crashedAt[n.process()] = time.Now()
	h.crash(n)
}

// restartStopped starts the node that is down as a new process.
func (h *history) restartStopped() {
	if h.stopped == nil {
		return
	}
	time.Sleep(startSpacing)
	h.start(h.stopped)
	h.logf("%s starts", h.stopped.process())
	h.stopped = nil
	h.setMembers()
}

// loseLease ends the tenure of the holder: it loses access to the store, or the platform refuses its token.
func (h *history) loseLease() {
	n, ok := h.currentHolder()
	if !ok {
		return
	}
	if tenure, ok := n.lease.Tenure(); ok && h.random.IntN(2) == 0 {
		h.logf("%s is fenced", n.process())
		n.lease.Fenced(tenure.Token)
		return
	}
	h.logf("%s loses the store", n.process())
	h.topic.SetNodeFaults(func(name string) chivestand.TopicFaults {
		return chivestand.TopicFaults{Down: name == n.address, Silent: true}
	})
	h.record(term + time.Second)
	h.topic.SetNodeFaults(nil)
}

func (h *history) platformDown(duration time.Duration) {
	h.platform.down = true
	h.record(duration)
	h.platform.down = false
}

// disturbNetwork blocks, silences or cuts connections of a node in one or both directions, so that messages are lost
// and sent again.
func (h *history) disturbNetwork() {
	if time.Since(h.lastNetworkFault) < networkRecovery {
		return
	}
	n := h.nodes[h.random.IntN(len(h.nodes))]
	direction := h.random.IntN(3)
	match := func(from, to string) bool {
		return direction != 0 && from == n.address || direction != 1 && to == n.address
	}
	kind := h.random.IntN(3)
	h.logf("%s: network fault %d, direction %d", n.process(), kind, direction)
	switch kind {
	case 0:
		h.network.Block(match)
		h.record(time.Duration(h.random.Int64N(int64(2 * time.Second))))
		h.network.Block(nil)
	case 1:
		h.network.Silence(match)
	case 2:
		h.network.Cut(match)
	}
	h.lastNetworkFault = time.Now()
}

// drain ends all faults and waits until the windows of all starts are settled.
func (h *history) drain() {
	h.restartStopped()
	h.record(networkRecovery)
	time.Sleep(drainTime)
	synctest.Wait()
}

// isOmitted reports whether a start may belong to a window without a report.
func (h *history) isOmitted(s recordedStart) bool {
	for _, at := range []time.Time{s.at.Add(-omissionSlack), s.at, s.at.Add(omissionSlack)} {
		if _, ok := h.platform.reports[at.UnixNano()/int64(window)]; !ok {
			return true
		}
	}
	return false
}

// isLostInCrash reports whether a start may have been lost in a crash of its process.
func (h *history) isLostInCrash(s recordedStart) bool {
	at, ok := h.crashedAt[s.process]
	return ok && at.Sub(s.at) <= crashLoss
}

// outcome is the result of the check of a history.
type outcome struct {
	recorded, lost, twice, omitted, crashed int
	// far is the number of starts lost or counted twice that are not near the end of a window.
	far int
	// first describes the first start that was lost or counted twice.
	first string
}

// check looks for starts that were counted twice, or lost without an omitted window or a crash that accounts for it.
func (h *history) check() (o outcome) {
	windows := make(map[string][]int64)
	for w, counts := range h.platform.reports {
		for team, n := range counts {
			for range n {
				windows[team] = append(windows[team], w)
			}
		}
	}
	o.recorded = len(h.starts)
	for i := range len(h.starts) {
		team := fmt.Sprintf("start-%d", i)
		s, counted := h.starts[team], windows[team]
		switch {
		case len(counted) == 1:
			continue
		case len(counted) > 1:
			o.twice++
		case h.isOmitted(s):
			o.omitted++
			continue
		case h.isLostInCrash(s):
			o.crashed++
			continue
		default:
			o.lost++
		}
		edge := s.at.Add(window / 2).Truncate(window)
		if s.at.Sub(edge).Abs() > edgeHalf {
			o.far++
		}
		if o.first == "" {
			o.first = fmt.Sprintf("%s of %s, %v after the end of window %d, counted in %v", team, s.process, s.at.Sub(edge), edge.UnixNano()/int64(window)-1, counted)
		}
	}
	return o
}

// Guards against starts that are lost or counted twice under random changes of the lease holder, restarts, clocks that
// differ, delayed, lost and repeated messages, and outages of the platform and the store.
func TestEachStartIsCountedOnce(t *testing.T) {
	calm, complete, failed := 0, 0, 0
	for seed := *usageSeed; seed < *usageSeed+*usageHistories; seed++ {
		passed := t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHistory(t, seed)
				defer h.stop()
				h.awaitReport()
				for range historySteps {
					h.step()
				}
				h.drain()
				o := h.check()
				if o.lost > 0 || o.twice > 0 {
					t.Errorf("of %d starts %d were lost and %d counted twice, %d of them far from the end of a window; the first is %s; events: %q",
						o.recorded, o.lost, o.twice, o.far, o.first, h.events)
				}
				if !h.rough {
					calm++
					if o.omitted == 0 {
						complete++
					}
				}
			})
		})
		if !passed {
			failed++
		}
	}
	if 2*complete < calm {
		t.Errorf("only %d of %d histories without long outages have all windows", complete, calm)
	}
	if failed > 0 {
		t.Errorf("%d of %d histories failed", failed, *usageHistories)
	}
}
