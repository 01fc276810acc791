//go:build !race

package chiveusage_test

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"chivedrift/chiveusage"
	"chivedrift/chivewire"
)

const (
	lostLedgerFleet = 5
	// forgedClocks is a majority over a fleet, offClocks how long the clocks are off at least.
	forgedClocks = lostLedgerFleet + 2
	offClocks    = 16 * time.Second
	// beforeRestore is longer than any clock is behind.
	beforeRestore = 50 * time.Second
	forgedFirst   = 100
	// forgedInterval is shorter than a start of a tenure takes.
	forgedInterval = 250 * time.Millisecond
)

// forgedWall sends all nodes heartbeats of a majority of processes whose wall-clock times are off.
type forgedWall struct {
	fleet   *fleet
	senders []*chivewire.Mesh
	cancel  context.CancelFunc
	done    chan struct{}
	// off is how far the wall-clock times are off, in nanoseconds.
	off atomic.Int64
}

func newForgedWall(f *fleet, off time.Duration) *forgedWall {
	f.t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	w := &forgedWall{fleet: f, cancel: cancel, done: make(chan struct{})}
	w.set(off)
	for i := range forgedClocks {
		mesh := chivewire.NewMesh(nodeAddress(forgedFirst+i), f.network)
		if err := mesh.Start(context.Background()); err != nil {
			f.t.Fatal(err)
		}
		w.senders = append(w.senders, mesh)
	}
	go w.run(ctx, time.Now().UnixMilli())
	return w
}

func (w *forgedWall) set(off time.Duration) { w.off.Store(int64(off)) }

func (w *forgedWall) run(ctx context.Context, incarnation int64) {
	defer close(w.done)
	for ; ctx.Err() == nil; time.Sleep(forgedInterval) {
		for _, mesh := range w.senders {
			for _, n := range w.fleet.nodes {
				_ = mesh.Send(n.address, chivewire.KindStarts, chiveusage.Starts{
					Incarnation: incarnation, ClockMs: time.Since(w.fleet.startedAt).Milliseconds(), WallMs: time.Now().Add(time.Duration(w.off.Load())).UnixMilli(),
				})
			}
		}
	}
}

func (w *forgedWall) stop() {
	w.fleet.t.Helper()
	w.cancel()
	<-w.done
	for _, mesh := range w.senders {
		if err := mesh.Stop(context.Background()); err != nil {
			w.fleet.t.Fatal(err)
		}
	}
}

// crashCollectors crashes all nodes that collect starts.
func (f *fleet) crashCollectors() {
	for _, n := range f.nodes {
		if _, ok := n.usage.Rank(); ok && n.up {
			f.crash(n)
		}
	}
}

// restartAll replaces all nodes, one after the other.
func (f *fleet) restartAll() {
	for _, n := range f.nodes {
		f.restart(n)
		f.setMembers()
		f.recordRequests(time.Second)
	}
}

// Guards against two different counts for a window after a restore that lost the ledger, whoever holds the lease after it.
func TestLostLedgerDoesNotChangeReportsOfAnySuccessor(t *testing.T) {
	const seeds = 3
	for _, c := range []struct {
		name string
		// ahead is how far most clocks are ahead before the restore, behind how far they are behind after it.
		ahead, behind time.Duration
		// before runs before the restore, crash at the restore.
		before func(f *fleet)
		crash  func(f *fleet)
	}{
		{name: "clocks behind", behind: 12 * time.Second},
		{name: "clocks far behind", behind: 40 * time.Second},
		{name: "holder crashes", behind: 12 * time.Second, crash: func(f *fleet) { f.crash(f.holder()) }},
		{name: "all collectors crash", behind: 12 * time.Second, crash: (*fleet).crashCollectors},
		{name: "holder stops", behind: 12 * time.Second, crash: func(f *fleet) { f.shutDown(f.holder()) }},
		{name: "all restarted in turn before", behind: 20 * time.Second, before: (*fleet).restartAll},
		{name: "all crashed before", behind: 20 * time.Second, before: func(f *fleet) {
			for _, n := range f.nodes {
				f.crash(n)
			}
			for _, n := range f.nodes {
				f.start(n)
				time.Sleep(startSpacing)
			}
			f.setMembers()
			f.recordRequests(2 * term)
		}},
		{name: "clocks ahead before", ahead: 20 * time.Second},
		{name: "clocks ahead before, holder crashes", ahead: 20 * time.Second, crash: func(f *fleet) { f.crash(f.holder()) }},
	} {
		for seed := range uint64(seeds) {
			for _, lost := range []int{1, 3, 12} {
				t.Run(fmt.Sprintf("%s, %d records lost, seed %d", c.name, lost, seed), func(t *testing.T) {
					t.Parallel()
					synctest.Test(t, func(t *testing.T) {
						f := newClockFleet(t, seed, make([]bootClock, lostLedgerFleet)...)
						defer f.stop()
						wall := newForgedWall(f, 0)
						defer wall.stop()
						f.awaitReport()
						f.recordRequests(beforeRestore)
						wall.set(c.ahead)
						f.recordRequests(4*window + time.Duration(seed)*1300*time.Millisecond)
						if c.before != nil {
							c.before(f)
						}
						wall.set(-c.behind)
						f.topic.Restore(lost)
						if c.crash != nil {
							c.crash(f)
							f.setMembers()
						}
						f.recordRequests(offClocks + c.behind)
						wall.set(0)
						f.recordRequests(6 * window)
						f.checkReportsGoOn()
					})
				})
			}
		}
	}
}

// checkReportsGoOn verifies that windows of the recent past have been reported.
func (f *fleet) checkReportsGoOn() {
	f.t.Helper()
	f.recordRequests(delay)
	newest := int64(0)
	for w := range f.platform.reports {
		newest = max(newest, w)
	}
	if current := time.Now().UnixNano() / int64(window); newest < current-int64(delay/window)-1 {
		f.t.Errorf("the newest reported window is %d, the present one %d", newest, current)
	}
}

// Guards against two different counts for a window that the holder settled while its messages to all other nodes were lost.
func TestReportOfAHolderWithoutConfirmationIsNotChanged(t *testing.T) {
	const (
		cutOff = 2500 * time.Millisecond
		behind = 12 * time.Second
	)
	for cutBefore := time.Duration(0); cutBefore < cutOff; cutBefore += 500 * time.Millisecond {
		t.Run(fmt.Sprintf("messages lost from %v before the window is settled", cutBefore), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				f := newClockFleet(t, 1, make([]bootClock, lostLedgerFleet)...)
				defer f.stop()
				wall := newForgedWall(f, 0)
				defer wall.stop()
				f.awaitReport()
				f.recordRequests(beforeRestore)
				holder := f.holder()
				f.recordRequests(time.Until(time.Now().Truncate(window).Add(window + time.Second - cutBefore)))
				f.network.Block(func(from, _ string) bool { return from == holder.address })
				f.recordRequests(cutOff)
				wall.set(-behind)
				f.topic.Restore(1)
				f.crash(holder)
				f.network.Block(nil)
				f.setMembers()
				f.recordRequests(offClocks + behind)
				wall.set(0)
				f.recordRequests(6 * window)
				f.checkReportsGoOn()
			})
		})
	}
}

// Guards against two different counts for a window after one restore follows another, and against usage that is not reported for
// as long as clocks were ahead before a restore.
func TestRestoresInARowDoNotChangeReports(t *testing.T) {
	const lost = 90
	for _, ahead := range []time.Duration{0, 20 * time.Second, time.Hour} {
		t.Run(fmt.Sprintf("clocks %v ahead", ahead), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				f := newClockFleet(t, 1, make([]bootClock, lostLedgerFleet)...)
				defer f.stop()
				wall := newForgedWall(f, 0)
				defer wall.stop()
				f.awaitReport()
				f.recordRequests(2 * beforeRestore)
				wall.set(ahead)
				f.recordRequests(4 * window)
				wall.set(0)
				f.topic.Restore(lost)
				f.recordRequests(4 * window)
				f.topic.Restore(lost / 3)
				time.Sleep(ahead)
				f.recordRequests(6 * window)
				f.checkReportsGoOn()
			})
		})
	}
}

// Guards against windows that a node forgets or makes up from what its peers state, with bounds of any form.
func TestStatedWindowsAreMerged(t *testing.T) {
	for _, c := range []struct {
		name   string
		stated [][]int64
		want   []int64
	}{
		{"nothing", [][]int64{nil}, []int64{}},
		{"neighbours", [][]int64{{4, 6}, {7, 9}, {1, 3}}, []int64{1, 9}},
		{"overlap", [][]int64{{4, 8}, {6, 12, 20, 21}, {2, 4}}, []int64{2, 12, 20, 21}},
		{"gap", [][]int64{{4, 5}, {7, 8}}, []int64{4, 5, 7, 8}},
		{"not a range", [][]int64{{9, 3}, {5}, {4, 4, 2}}, []int64{4, 4}},
		{"too many ranges", [][]int64{{1, 1, 11, 11, 21, 21, 31, 31, 41, 41, 51, 51, 61, 61, 71, 71, 81, 81}}, []int64{1, 11, 21, 21, 31, 31, 41, 41, 51, 51, 61, 61, 71, 71, 81, 81}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 1)
				defer f.stop()
				peer := chivewire.NewMesh(nodeAddress(forgedFirst), f.network)
				if err := peer.Start(t.Context()); err != nil {
					t.Fatal(err)
				}
				defer peer.Stop(context.Background())
				for _, bounds := range c.stated {
					if err := peer.Send(f.nodes[0].address, chivewire.KindSettledWindows, chiveusage.SettledWindows{Incarnation: 1, Bounds: bounds}); err != nil {
						t.Fatal(err)
					}
				}
				time.Sleep(time.Second)
				dump, err := json.Marshal(f.nodes[0].usage.Dump())
				if err != nil {
					t.Fatal(err)
				}
				var known struct{ Settled []int64 }
				if err := json.Unmarshal(dump, &known); err != nil {
					t.Fatal(err)
				}
				if !slices.Equal(known.Settled, c.want) {
					t.Errorf("the node knows %v, want %v", known.Settled, c.want)
				}
			})
		})
	}
}

// Guards against usage that is not reported, because the holder waits for a collector that has crashed and is still a member.
func TestUsageGoesOnBesideACrashedMember(t *testing.T) {
	for _, restored := range []bool{false, true} {
		t.Run(fmt.Sprintf("restored %v", restored), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 2)
				defer f.stop()
				f.awaitReport()
				f.crash(f.holder())
				if restored {
					f.topic.Restore(1)
				}
				f.recordRequests(8 * window)
				f.checkReportsGoOn()
			})
		})
	}
}

// Guards against usage that is not reported after a restore, because the holder waits for the answer of a node that has left.
func TestUsageGoesOnAfterAMessageOfANodeThatIsNoMember(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1)
		defer f.stop()
		f.awaitReport()
		left := chivewire.NewMesh(nodeAddress(forgedFirst), f.network)
		if err := left.Start(t.Context()); err != nil {
			t.Fatal(err)
		}
		if err := left.Send(f.nodes[0].address, chivewire.KindSettledWindows, chiveusage.SettledWindows{Incarnation: 1}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		if err := left.Stop(context.Background()); err != nil {
			t.Fatal(err)
		}
		f.topic.Restore(1)
		f.recordRequests(6 * window)
		f.checkReportsGoOn()
	})
}

// Guards against control traffic for settled windows that takes more than a quarter of what the target allows a node.
func TestSettledWindowsStayWithinControlBandwidth(t *testing.T) {
	const (
		targetNodes     = 330
		targetBytesPerS = 15_000
		small, large    = 10, 40
		duration        = 20 * window
	)
	bytesAt := func(size int) (perS float64) {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, size)
			defer f.stop()
			f.recordRequests(4 * window)
			bytes := func() int64 {
				sent, received := f.holder().mesh.Traffic()
				kind := chivewire.KindSettledWindows.String()
				return sent[kind].Bytes + received[kind].Bytes
			}
			before := bytes()
			f.recordRequests(duration)
			perS = float64(bytes()-before) / duration.Seconds()
		})
		return perS
	}
	atSmall, atLarge := bytesAt(small), bytesAt(large)
	atTarget := atLarge + (atLarge-atSmall)/(large-small)*(targetNodes-large)
	t.Logf("the holder sends and receives %.0f bytes/s at %d nodes, %.0f at %d, by that slope %.0f at %d", atSmall, small, atLarge, large, atTarget, targetNodes)
	if atTarget > targetBytesPerS/4 {
		t.Errorf("settled windows take %.0f bytes/s at %d nodes, expected at most %d", atTarget, targetNodes, targetBytesPerS/4)
	}
}
