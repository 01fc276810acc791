//go:build !race

package chivedistance_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"chivedrift/chivedistance"
	"chivedrift/chivemember"
	"chivedrift/chiveresidency"
)

const (
	nearWait = 40 * time.Millisecond
	farTrip  = 60 * time.Millisecond
)

var threeRegions = chiveresidency.Map{"n1": "north", "n2": "north", "m1": "mid", "s1": "south"}

// fleet returns a table of a node in the region north, with three peers in each region.
func fleet(regions chiveresidency.Map) *chivedistance.Table {
	t := chivedistance.New("north", regions)
	var members []chivemember.Member
	for _, region := range []string{"north", "mid", "south"} {
		for i := range 3 {
			members = append(members, chivemember.Member{Address: fmt.Sprintf("%s%d", region, i), Region: region})
		}
	}
	t.SetMembers(members)
	return t
}

// reply makes a peer reply as often as it is probed, for a while.
func reply(t *chivedistance.Table, peer string, roundTrip, duration time.Duration) {
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		t.Observe(peer, roundTrip)
	}
}

// Guards against a wait for peers of the same region, or in a deployment of one region, that differs from the caller's.
func TestWaitsWithinOneRegionAreTheCallers(t *testing.T) {
	for name, c := range map[string]struct {
		table *chivedistance.Table
		peer  string
	}{
		"same region":            {fleet(threeRegions), "north1"},
		"unknown peer":           {fleet(threeRegions), "unknown"},
		"regions not configured": {fleet(nil), "south1"},
		"one region configured":  {fleet(chiveresidency.Map{"s1": "south"}), "south1"},
		"no table":               {nil, "south1"},
	} {
		c.table.Observe(c.peer, farTrip)
		if got := c.table.Wait(c.peer, nearWait); got != nearWait {
			t.Errorf("%s: wait %v, want %v", name, got, nearWait)
		}
		if !c.table.CanWait(c.peer, nearWait, time.Millisecond) {
			t.Errorf("%s: a request with a short target may not ask", name)
		}
	}
}

// Guards against waits that end before a reply from a region that has not been measured, or that stay as long after it.
func TestFirstReplyReplacesTheAssumedRoundTrip(t *testing.T) {
	table := fleet(threeRegions)
	if got := table.Wait("south0", nearWait); got < nearWait+160*time.Millisecond {
		t.Errorf("wait %v before the first reply", got)
	}
	table.Observe("south1", farTrip)
	if got := table.Wait("south0", nearWait); got < nearWait+farTrip || got > nearWait+farTrip*5/4 {
		t.Errorf("wait %v for a peer of a region whose round trip is %v", got, farTrip)
	}
}

// Guards against a slow peer, or one whose replies vary, that makes its region far.
func TestEstimateResistsSlowPeersAndJitter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := fleet(threeRegions)
		for i := range 100 {
			table.Observe("mid0", farTrip+time.Duration(i%7)*10*time.Millisecond)
			table.Observe("mid1", farTrip+time.Duration(i%5)*10*time.Millisecond)
			table.Observe("mid2", 350*time.Millisecond)
			time.Sleep(500 * time.Millisecond)
			if got := table.RoundTrip("mid2"); i > 0 && got != farTrip {
				t.Fatalf("round trip %v after %d replies, want %v", got, i, farTrip)
			}
		}
		table.Observe("south0", time.Second)
		if table.Regions()["south"].Measured {
			t.Error("the reply of an overloaded process counts as a distance")
		}
	})
}

// Guards against an estimate that stays when the way to a region changes, or that is lost while the region is cut off.
func TestEstimateFollowsTheWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := fleet(threeRegions)
		reply(table, "mid0", farTrip, 20*time.Second)
		time.Sleep(time.Minute)
		if got := table.RoundTrip("mid1"); got != farTrip {
			t.Errorf("round trip %v after the region was cut off, want %v", got, farTrip)
		}
		reply(table, "mid0", 2*farTrip, 15*time.Second)
		if got := table.RoundTrip("mid1"); got != 2*farTrip {
			t.Errorf("round trip %v after the way became longer, want %v", got, 2*farTrip)
		}
		table.Observe("mid0", farTrip)
		if got := table.RoundTrip("mid1"); got != farTrip {
			t.Errorf("round trip %v after the way became shorter, want %v", got, farTrip)
		}
	})
}

// Guards against round trips that count for the region that a peer was in before.
func TestPeerThatMovesToAnotherRegion(t *testing.T) {
	table := fleet(threeRegions)
	table.Observe("mid0", 2*farTrip)
	table.SetMembers([]chivemember.Member{{Address: "mid0", Region: "south"}, {Address: "mid1", Region: "mid"}})
	table.Observe("mid0", farTrip)
	if got := [2]time.Duration{table.RoundTrip("mid0"), table.RoundTrip("mid1")}; got != [2]time.Duration{farTrip, 2 * farTrip} {
		t.Errorf("round trips %v, want %v to the region that it is in now and %v to the one before", got, farTrip, 2*farTrip)
	}
}

// Guards against listeners that miss a region's first measurement or a change, or are called for changes without effect.
func TestListenersAreCalledOnNoticeableChanges(t *testing.T) {
	table := fleet(threeRegions)
	var seen []time.Duration
	table.OnChange(func(m chivedistance.Map) {
		// A listener may use the table.
		seen = append(seen, m.ToDomain("m1"), table.RoundTrip("mid0"))
	})
	for _, roundTrip := range []time.Duration{farTrip, farTrip - time.Millisecond, farTrip - 2*time.Millisecond, farTrip / 2} {
		table.Observe("mid0", roundTrip)
	}
	table.Observe("north0", farTrip)
	if want := fmt.Sprint([]time.Duration{farTrip, farTrip, farTrip / 2, farTrip / 2}); fmt.Sprint(seen) != want {
		t.Errorf("listeners got %v, want %v", seen, want)
	}
}

// Guards against a request that waits for a far peer for most of its target.
func TestShortTargetsDoNotWaitForFarPeers(t *testing.T) {
	table := fleet(threeRegions)
	table.Observe("south0", farTrip)
	for target, want := range map[time.Duration]bool{120 * time.Millisecond: false, 500 * time.Millisecond: true, 0: true} {
		if got := table.CanWait("south0", nearWait, target); got != want {
			t.Errorf("may a request with a target of %v wait: %v, want %v", target, got, want)
		}
	}
}
