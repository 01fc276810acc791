//go:build !race

package chivedistance_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"regexp"
	"testing"
	"testing/synctest"
	"time"

	"chivedrift/chivedistance"
	"chivedrift/chivewire"

	"github.com/uber-go/tally/v4"
)

// Guards against silent peers that cost another wait than that to their region, or that no operator gets to see.
func TestCallsToSilentRegion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var log bytes.Buffer
		table := fleet(threeRegions)
		table.Instrument(slog.New(slog.NewTextHandler(&log, nil)), tally.NoopScope)
		calls := chivedistance.NewCalls[string](table)
		answers := func(number uint64) error {
			time.AfterFunc(farTrip, func() { calls.Deliver(number, "") })
			return nil
		}
		silent := func(uint64) error { return nil }
		ask := func(peer string, send func(uint64) error) (took time.Duration, err error) {
			sentAt := time.Now()
			_, err = calls.Call(context.Background(), peer, nearWait, send)
			return time.Since(sentAt), err
		}
		if _, err := ask("south0", answers); err != nil {
			t.Fatal(err)
		}
		for peer, want := range map[string]time.Duration{"north0": nearWait, "south1": nearWait + farTrip*9/8} {
			if took, err := ask(peer, silent); took != want || !errors.Is(err, chivewire.ErrNoReply) {
				t.Errorf("%s: waited %v for a silent peer, want %v: %v", peer, took, want, err)
			}
		}
		for _, send := range []func(uint64) error{silent, answers} {
			for range 30 {
				_, _ = ask("south0", send)
				time.Sleep(500 * time.Millisecond)
			}
		}
		events := regexp.MustCompile(`event=\d+`).FindAllString(log.String(), -1)
		if want := "[event=810 event=811 event=812]"; fmt.Sprint(events) != want {
			t.Errorf("logged %v, want %s:\n%s", events, want, log.String())
		}
		if got := table.Regions()["south"].Counts; got != (chivedistance.Counts{Asked: 62, Answered: 31, TimedOut: 31}) {
			t.Errorf("counted %+v", got)
		}
	})
}

// Guards against the time to establish a connection that is not awaited, or that counts as distance.
func TestCallsOverNewConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, connected := fleet(threeRegions), true
		table.SetConnected(func(string) bool { return connected })
		table.Observe("south0", farTrip)
		connected = false
		calls := chivedistance.NewCalls[string](table)
		for range 20 {
			if _, err := calls.Call(context.Background(), "south1", nearWait, func(number uint64) error {
				time.AfterFunc(2*farTrip, func() { calls.Deliver(number, "") })
				return nil
			}); err != nil {
				t.Fatal(err)
			}
			time.Sleep(time.Second)
		}
		if got := table.RoundTrip("south0"); got != farTrip {
			t.Errorf("round trip %v, want %v", got, farTrip)
		}
	})
}
