//go:build !race

package chiveusage_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"chivedrift/chivestand"
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

// Guards against late starts of a reported window that are dropped because a window between it and the next settled one was
// omitted.
func TestLateStartsAreCountedAfterAnOmittedWindow(t *testing.T) {
	const (
		beforeEnd   = 100 * time.Millisecond
		networkBack = 11 * time.Second
		storeDown   = 7 * time.Second
	)
	for storeBack := 14 * time.Second; storeBack <= 15*time.Second+600*time.Millisecond; storeBack += 200 * time.Millisecond {
		t.Run(fmt.Sprint(storeBack), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newClockFleet(t, 1, bootClock{}, bootClock{}, bootClock{}, bootClock{}, bootClock{})
				defer f.stop()
				end := f.awaitReport()
				own := end.UnixNano()/int64(window) - 1
				isolated := f.nodes[4].address
				sleepUntil(end.Add(-window / 2))
				f.network.Block(func(from, to string) bool { return from == isolated || to == isolated })
				recorded := f.recordRow(end.Add(-beforeEnd))
				sleepUntil(end.Add(storeDown))
				f.topic.SetFaults(chivestand.TopicFaults{Down: true, Silent: true})
				time.AfterFunc(time.Until(end.Add(networkBack)), func() {
					f.network.Block(nil)
					f.network.Cut(func(from, to string) bool { return from == isolated || to == isolated })
				})
				sleepUntil(end.Add(storeBack))
				f.topic.SetFaults(chivestand.TopicFaults{})
				time.Sleep(drainTime)
				_, isReported := f.platform.reports[own]
				_, nextIsReported := f.platform.reports[own+1]
				t.Logf("window %d reported: %v, the next one: %v", own, isReported, nextIsReported)
				f.checkRow(recorded)
			})
		})
	}
}
