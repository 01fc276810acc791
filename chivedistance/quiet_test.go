//go:build !race

package chivedistance_test

import (
	"bytes"
	"context"
	"log/slog"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"chivedrift/chivedistance"
	"chivedrift/chivemember"
	"chivedrift/chiveresidency"

	"github.com/uber-go/tally/v4"
)

// Guards against probes for the distance in a deployment without one.
func TestNothingIsObservedWithinOneRegion(t *testing.T) {
	for name, c := range map[string]struct {
		regions  chiveresidency.Map
		observed bool
	}{"three regions": {threeRegions, true}, "one region": {chiveresidency.Map{"s1": "south"}, false}, "none": {nil, false}} {
		if observed := fleet(c.regions).Observer() != nil; observed != c.observed {
			t.Errorf("%s: replies are observed: %v, want %v", name, observed, c.observed)
		}
	}
}

// readingHandler reads the table whenever something is logged.
type readingHandler struct {
	slog.Handler
	table   *chivedistance.Table
	blocked *int
}

// Handle counts the records during which the table cannot be read.
func (h readingHandler) Handle(context.Context, slog.Record) error {
	read := make(chan struct{})
	go func() {
		h.table.Regions()
		close(read)
	}()
	// A goroutine that waits for a lock stops the clock of the bubble.
	for range 100_000 {
		select {
		case <-read:
			return nil
		default:
			runtime.Gosched()
		}
	}
	*h.blocked++
	return nil
}

// Guards against a slow log that holds up whatever asks for a distance.
func TestTableIsReadWhileItLogs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, blocked := fleet(threeRegions), 0
		table.Instrument(slog.New(readingHandler{slog.NewTextHandler(&bytes.Buffer{}, nil), table, &blocked}), tally.NoopScope)
		calls := chivedistance.NewCalls[string](table)
		table.Observe("south0", farTrip)
		for range 12 {
			_, _ = calls.Call(context.Background(), "south0", nearWait, func(uint64) error { return nil })
			time.Sleep(time.Second)
		}
		if blocked > 0 {
			t.Errorf("the table was locked while %d events were logged", blocked)
		}
	})
}

// Guards against the distance of peers that have left.
func TestDistanceOfPeersThatLeftDoesNotCount(t *testing.T) {
	table := fleet(threeRegions)
	var seen []time.Duration
	for peer, roundTrip := range map[string]time.Duration{"mid0": farTrip, "mid1": farTrip, "mid2": 3 * farTrip} {
		table.Observe(peer, roundTrip)
	}
	table.OnChange(func(m chivedistance.Map) { seen = append(seen, m.ToRegion("mid")) })
	table.SetMembers([]chivemember.Member{{Address: "mid2", Region: "mid"}, {Address: "south0", Region: "south"}})
	if got := table.RoundTrip("mid2"); got != 3*farTrip || len(seen) != 1 || seen[0] != got {
		t.Errorf("round trip %v, listeners got %v, want %v", got, seen, 3*farTrip)
	}
}

// Guards against a region that is near and far in turn.
func TestRegionAtTheLimitOfNearStaysNear(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, changes := fleet(threeRegions), 0
		table.OnChange(func(chivedistance.Map) { changes++ })
		for range 10 {
			reply(table, "mid0", 4900*time.Microsecond, 20*time.Second)
			reply(table, "mid0", 5100*time.Microsecond, 20*time.Second)
		}
		if got := table.RoundTrip("mid0"); got != 0 || changes > 1 {
			t.Errorf("round trip %v, %d changes", got, changes)
		}
		reply(table, "mid0", 6100*time.Microsecond, 20*time.Second)
		if got := table.RoundTrip("mid0"); got != 6100*time.Microsecond {
			t.Errorf("round trip %v, want 6.1ms", got)
		}
	})
}

// Guards against a request that waits for a new connection to a far peer for most of its target.
func TestShortTargetsDoNotWaitForConnections(t *testing.T) {
	table := fleet(threeRegions)
	table.Observe("south0", 2*farTrip)
	for _, connected := range []bool{true, false} {
		table.SetConnected(func(string) bool { return connected })
		if got := table.CanWait("south0", nearWait, 400*time.Millisecond); got != connected {
			t.Errorf("connected %v: may a request with a target of 400ms wait %v: %v", connected, table.Wait("south0", nearWait), got)
		}
	}
}
