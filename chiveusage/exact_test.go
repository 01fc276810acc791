//go:build !race

package chiveusage_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

const (
	// startSpacing is the time between the starts of nodes. It orders their ranks, and nodes send at different times
	// within a millisecond.
	startSpacing = 1100 * time.Microsecond
	// rowStep and rowHalf are the distance of the starts in a row around the end of a window and half its length.
	rowStep = 20 * time.Microsecond
	rowHalf = 20 * time.Millisecond
	// maxSlew is the rate at which time synchronization corrects a clock.
	maxSlew = 500
	// messageLag is the delay of messages on a slow network.
	messageLag = 10 * time.Millisecond
	// afterSettling is a time after the end of a window at which its report is settled and the next window is not.
	afterSettling = 2 * time.Second
	// drainTime is how long after the last start all windows with starts are settled.
	drainTime = 2*window + delay
)

// newClockFleet returns a fleet of nodes with the given clocks; the first one has rank 0.
func newClockFleet(t *testing.T, seed uint64, clocks ...bootClock) *fleet {
	t.Helper()
	f := newEmptyFleet(t, seed)
	for i, c := range clocks {
		n := &node{address: nodeAddress(i), clock: c}
		f.nodes = append(f.nodes, n)
		f.start(n)
		time.Sleep(startSpacing)
	}
	f.setMembers()
	return f
}

// shutDown stops a node like a planned stop does: the lease is released, and all starts are sent.
func (f *fleet) shutDown(n *node) {
	f.t.Helper()
	n.up = false
	for _, stop := range []func(context.Context) error{n.lease.Stop, n.usage.Stop, n.mesh.Stop} {
		if err := stop(context.Background()); err != nil {
			f.t.Fatal(err)
		}
	}
}

// restart stops a node and starts it as a new process.
func (f *fleet) restart(n *node) {
	f.t.Helper()
	f.shutDown(n)
	f.start(n)
	time.Sleep(startSpacing)
}

func (f *fleet) setLags(lag time.Duration, nodes ...*node) {
	for _, n := range nodes {
		f.network.setLag(n.address, lag)
	}
}

// awaitReport waits until a window has been reported, and returns the end of a window that has not begun.
func (f *fleet) awaitReport() time.Time {
	f.t.Helper()
	for deadline := time.Now().Add(time.Minute); len(f.platform.reports) == 0; time.Sleep(time.Second) {
		if time.Now().After(deadline) {
			f.t.Fatal("no window was reported")
		}
	}
	return time.Now().Truncate(window).Add(2 * window)
}

func sleepUntil(t time.Time) { time.Sleep(time.Until(t)) }

// recordRow records a dense row of starts around a time, on all nodes in turn, and returns their number.
func (f *fleet) recordRow(around time.Time) (recorded int64) {
	f.t.Helper()
	sleepUntil(around.Add(-rowHalf))
	for ; time.Now().Before(around.Add(rowHalf)); time.Sleep(rowStep) {
		f.nodes[int(recorded)%len(f.nodes)].usage.RecordStart("row")
		recorded++
	}
	return recorded
}

// checkRow verifies that the windows hold each start of a row once.
func (f *fleet) checkRow(recorded int64) {
	f.t.Helper()
	synctest.Wait()
	reported, byWindow := int64(0), make(map[int64]int64)
	for w, counts := range f.platform.reports {
		if counts["row"] > 0 {
			reported += counts["row"]
			byWindow[w] = counts["row"]
		}
	}
	if reported != recorded {
		f.t.Errorf("%d starts were recorded and %d reported (%+d), by window: %v", recorded, reported, reported-recorded, byWindow)
	}
}

// Guards against starts around the end of a window that are lost or counted twice when the estimate of the wall-clock
// time changes within one tenure.
func TestStartsAreCountedOnceWhenTheClockEstimateChanges(t *testing.T) {
	fast, slow, exact := bootClock{gain: maxSlew}, bootClock{gain: -maxSlew}, bootClock{}
	for _, c := range []struct {
		name  string
		clock bootClock
		// lag is the delay of all messages at the start.
		lag time.Duration
		// change runs after the window that ends within the row was settled, and before the next one is.
		change func(f *fleet)
	}{
		{name: "lost: clocks gain", clock: fast},
		{name: "twice: clocks lose", clock: slow},
		{name: "lost: most processes are replaced on a slow network", clock: exact, change: func(f *fleet) {
			f.setLags(messageLag, f.nodes[2:]...)
			for _, n := range f.nodes[2:] {
				f.restart(n)
			}
			f.setMembers()
		}},
		{name: "twice: slow network becomes fast", clock: exact, lag: messageLag, change: func(f *fleet) { f.setLags(0, f.nodes...) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newClockFleet(t, 1, c.clock, c.clock, c.clock, c.clock, c.clock)
				defer f.stop()
				f.setLags(c.lag, f.nodes...)
				end := f.awaitReport()
				token := f.platform.highestToken
				recorded := f.recordRow(end)
				sleepUntil(end.Add(afterSettling))
				if c.change != nil {
					c.change(f)
				}
				time.Sleep(drainTime)
				f.checkRow(recorded)
				if f.platform.highestToken != token {
					t.Errorf("the tenure changed from %d to %d", token, f.platform.highestToken)
				}
			})
		})
	}
}

// Guards against starts around the end of a window that are lost or counted twice when the next lease holder estimates
// the wall-clock time differently.
func TestStartsAreCountedOnceAcrossTenures(t *testing.T) {
	slow, exact := bootClock{gain: -maxSlew}, bootClock{}
	crash, shutDown := (*fleet).crash, (*fleet).shutDown
	for _, c := range []struct {
		name      string
		holder    bootClock
		successor bootClock
		leave     func(f *fleet, n *node)
	}{
		{"lost: planned stop", slow, exact, shutDown},
		{"twice: planned stop", exact, slow, shutDown},
		{"lost: crash", slow, exact, crash},
		{"twice: crash", exact, slow, crash},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newClockFleet(t, 1, c.holder, c.successor, exact, exact, exact)
				defer f.stop()
				end := f.awaitReport()
				recorded := f.recordRow(end)
				sleepUntil(end.Add(afterSettling))
				if f.holder() != f.nodes[0] {
					t.Fatal("the first node does not hold the lease")
				}
				c.leave(f, f.nodes[0])
				f.setMembers()
				time.Sleep(drainTime)
				f.checkRow(recorded)
				if f.holder() != f.nodes[1] {
					t.Error("the second node does not hold the lease")
				}
			})
		})
	}
}

// Guards against settled windows that are never reported because the platform was unavailable until after their deadline.
func TestWindowsAreReportedAfterALongOutageOfThePlatform(t *testing.T) {
	for _, outage := range []time.Duration{delay + 2*time.Second, 2*delay + window} {
		t.Run(outage.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newClockFleet(t, 1, bootClock{}, bootClock{}, bootClock{}, bootClock{}, bootClock{})
				defer f.stop()
				end := f.awaitReport()
				f.platform.down = true
				recorded := f.recordRow(end)
				sleepUntil(end.Add(outage))
				f.platform.down = false
				time.Sleep(drainTime)
				f.checkRow(recorded)
			})
		})
	}
}

// Guards against starts that are lost in a planned stop because they take more than one message.
func TestPlannedStopSendsAllStarts(t *testing.T) {
	const starts = 1200
	synctest.Test(t, func(t *testing.T) {
		f := newClockFleet(t, 1, bootClock{}, bootClock{}, bootClock{}, bootClock{}, bootClock{})
		defer f.stop()
		f.awaitReport()
		for range starts {
			f.nodes[4].usage.RecordStart("row")
		}
		f.shutDown(f.nodes[4])
		f.setMembers()
		time.Sleep(drainTime)
		f.checkRow(starts)
	})
}
