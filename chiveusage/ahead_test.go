//go:build !race

package chiveusage_test

import (
	"testing"
	"testing/synctest"
	"time"
)

const (
	// farAhead is longer than the cut of a process without new starts is kept.
	farAhead      = time.Hour
	aheadDuration = 2 * window
)

// Guards against starts that are counted twice because wall-clock times jump, and the cuts of processes without new starts
// are taken for outdated.
func TestCountedStartsAreNotCountedAgainAfterWallClocksJump(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newClockFleet(t, 1, bootClock{})
		defer f.stop()
		end := f.awaitReport()
		recorded := f.recordRow(end.Add(window / 2))
		sleepUntil(end.Add(window + afterSettling))
		f.forgeWall(farAhead, aheadDuration, func() { time.Sleep(time.Second) })
		time.Sleep(2 * drainTime)
		f.checkRow(recorded)
	})
}

// Guards against two different counts for a window, or usage that is lost, after wall-clock times were ahead and all
// processes that knew which windows were reported have ended.
func TestSuccessorKnowsWindowsThatWereReportedAhead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newClockFleet(t, 1, bootClock{})
		defer f.stop()
		f.awaitReport()
		f.recordRequests(2 * window)
		f.forgeWall(farAhead, aheadDuration, func() { f.recordRequests(time.Second) })
		f.recordRequests(2 * window)
		f.crash(f.nodes[0])
		f.start(f.nodes[0])
		f.setMembers()
		f.recordRequests(delay)
		recorded := f.recordRow(time.Now().Truncate(window).Add(2 * window))
		time.Sleep(farAhead - 2*drainTime)
		f.recordRequests(4 * drainTime)
		f.checkRow(recorded)
		f.checkReportsGoOn()
	})
}

// Guards against usage that is lost after wall-clock times were ahead by more different amounts than a ledger has ranges.
func TestManyJumpsOfWallClocksLoseNoUsage(t *testing.T) {
	const jumps = 10
	synctest.Test(t, func(t *testing.T) {
		f := newClockFleet(t, 1, bootClock{})
		defer f.stop()
		f.awaitReport()
		for i := range jumps {
			f.recordRequests(2 * window)
			f.forgeWall(time.Duration(i+1)*farAhead, aheadDuration, func() { f.recordRequests(time.Second) })
			f.recordRequests(drainTime)
		}
		recorded := f.recordRow(time.Now().Truncate(window).Add(2 * window))
		time.Sleep(2 * drainTime)
		f.checkRow(recorded)
		f.checkReportsGoOn()
	})
}

// Guards against usage that is lost for as long as wall-clock times were ahead when the store was restored.
func TestRestoreWhileWallClocksAreAheadLosesNoUsage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newClockFleet(t, 1, make([]bootClock, lostLedgerFleet)...)
		defer f.stop()
		wall := newForgedWall(f, 0)
		defer wall.stop()
		f.awaitReport()
		f.recordRequests(2 * beforeRestore)
		wall.set(farAhead)
		f.recordRequests(4 * window)
		f.topic.Restore(90)
		f.recordRequests(4 * window)
		wall.set(0)
		f.recordRequests(12 * window)
		recorded := f.recordRow(time.Now().Truncate(window).Add(2 * window))
		time.Sleep(2 * drainTime)
		f.checkRow(recorded)
		f.checkReportsGoOn()
	})
}
