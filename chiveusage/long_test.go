//go:build !race

package chiveusage_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"chivedrift/chiveusage"
	"chivedrift/chivewire"
)

// Guards against starts of a new fleet that are never counted because a window ended before the first lease was claimed.
func TestStartsBeforeTheFirstTenureAreCounted(t *testing.T) {
	const intoWindow = 3 * time.Second
	synctest.Test(t, func(t *testing.T) {
		time.Sleep(intoWindow)
		f := newClockFleet(t, 1, bootClock{}, bootClock{}, bootClock{})
		defer f.stop()
		recorded := f.recordRow(time.Now().Truncate(window).Add(window))
		time.Sleep(drainTime)
		f.checkRow(recorded)
	})
}

// Guards against starts that are never counted, or windows that are omitted, because a process has been up for so long
// that clocks have drifted apart. The drift of 12 hours at maxSlew happens within one hour.
func TestStartsAreCountedAfterClocksHaveDrifted(t *testing.T) {
	const (
		uptime = time.Hour
		drift  = 12 * maxSlew
	)
	for _, c := range []struct {
		name             string
		holder, follower bootClock
	}{
		{"sender loses", bootClock{}, bootClock{gain: -drift}},
		{"holder gains", bootClock{gain: drift}, bootClock{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newClockFleet(t, 1, c.holder, c.follower, c.follower)
				defer f.stop()
				f.awaitReport()
				time.Sleep(uptime)
				recorded := f.recordRow(time.Now().Truncate(window).Add(2 * window))
				time.Sleep(drainTime)
				f.checkRow(recorded)
			})
		})
	}
}

// forgeWall sends the fleet's first node heartbeats of two processes whose wall-clock times are off, for a time.
func (f *fleet) forgeWall(off, duration time.Duration, meanwhile func()) {
	f.t.Helper()
	var senders []*chivewire.Mesh
	for i := 1; i <= 2; i++ {
		mesh := chivewire.NewMesh(nodeAddress(i), f.network)
		if err := mesh.Start(context.Background()); err != nil {
			f.t.Fatal(err)
		}
		senders = append(senders, mesh)
	}
	incarnation := time.Now().UnixMilli()
	for end := time.Now().Add(duration); time.Now().Before(end); {
		for _, mesh := range senders {
			_ = mesh.Send(f.nodes[0].address, chivewire.KindStarts, chiveusage.Starts{
				Incarnation: incarnation, ClockMs: time.Since(f.startedAt).Milliseconds(), WallMs: time.Now().Add(off).UnixMilli(),
			})
		}
		meanwhile()
	}
	for _, mesh := range senders {
		if err := mesh.Stop(context.Background()); err != nil {
			f.t.Fatal(err)
		}
	}
}

// Guards against usage that is lost for as long as wall-clock times were ahead, after they have been corrected.
func TestUsageGoesOnAfterWallClocksWereAhead(t *testing.T) {
	const (
		ahead    = time.Hour
		duration = 10 * time.Second
		recovery = time.Minute
	)
	synctest.Test(t, func(t *testing.T) {
		f := newClockFleet(t, 1, bootClock{})
		defer f.stop()
		f.awaitReport()
		f.forgeWall(ahead, duration, func() { time.Sleep(time.Second) })
		time.Sleep(recovery)
		recorded := f.recordRow(time.Now().Truncate(window).Add(2 * window))
		time.Sleep(drainTime)
		f.checkRow(recorded)
	})
}

// Guards against collected starts that are dropped because the wall-clock times of most nodes jump past the deadline of
// their window.
func TestStartsAreCountedWhenWallClocksJump(t *testing.T) {
	const duration = 30 * time.Second
	for _, jump := range []time.Duration{-12 * time.Second, -8 * time.Second, -4 * time.Second, 4 * time.Second, 12 * time.Second, 20 * time.Second} {
		t.Run(jump.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newClockFleet(t, 1, bootClock{})
				defer f.stop()
				recorded := f.recordRow(f.awaitReport().Add(window / 2))
				f.forgeWall(jump, duration, func() { time.Sleep(time.Second) })
				time.Sleep(2 * drainTime)
				f.checkRow(recorded)
			})
		})
	}
}

// Guards against two different counts for a window when the store has lost the ledger and the holder's estimate of the
// wall-clock time is behind that of the tenure before.
func TestLostLedgerWithWallClocksBehindDoesNotChangeReports(t *testing.T) {
	const (
		behind      = 12 * time.Second
		duration    = 15 * time.Second
		lostRecords = 12
	)
	synctest.Test(t, func(t *testing.T) {
		f := newClockFleet(t, 1, bootClock{})
		defer f.stop()
		f.awaitReport()
		f.recordRequests(5 * window)
		sleepUntil(time.Now().Truncate(window).Add(window + afterSettling))
		f.topic.Restore(lostRecords)
		f.forgeWall(-behind, duration, func() { f.recordRequests(time.Second) })
		f.recordRequests(delay)
	})
}
