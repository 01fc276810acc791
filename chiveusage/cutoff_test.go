//go:build !race

package chiveusage_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a node whose starts are never counted again after it was cut off for longer than starts are retained.
func TestNodeIsCountedAgainAfterALongCutOff(t *testing.T) {
	const recovery = 10 * time.Second
	for cutOff := 18 * time.Second; cutOff <= 25*time.Second; cutOff += time.Second {
		t.Run(fmt.Sprint(cutOff), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newClockFleet(t, 1, bootClock{}, bootClock{}, bootClock{}, bootClock{}, bootClock{})
				defer f.stop()
				f.awaitReport()
				isolated := f.nodes[4].address
				f.recordRequests(2 * window)
				f.network.Block(func(from, to string) bool { return from == isolated || to == isolated })
				f.recordRequests(cutOff)
				f.network.Block(nil)
				f.network.Cut(func(from, to string) bool { return from == isolated || to == isolated })
				f.recordRequests(recovery)
				first := time.Now().Truncate(window).Add(window)
				f.recordRequests(6 * window)
				var recorded, reported int64
				for w, counts := range f.expected {
					end := time.Unix(0, (w+1)*int64(window))
					if end.Before(first.Add(window)) || time.Since(end) < delay {
						continue
					}
					for team, n := range counts {
						recorded, reported = recorded+n, reported+f.platform.reports[w][team]
					}
				}
				if recorded == 0 || float64(recorded-reported) > tolerance*float64(recorded) {
					t.Errorf("of %d starts long after the cut-off %d were reported", recorded, reported)
				}
			})
		})
	}
}
