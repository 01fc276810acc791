//go:build !race

package chiveusage_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// ledgerValue is the lease key of the ledger.
const ledgerValue = "usage"

// earlierLedger is the ledger as releases without cuts store and read it.
type earlierLedger struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the encoder
	Era      int64
	Last     int64
	Reports  []earlierReport
}

type earlierReport struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the encoder
	Window   int64
	Counts   map[string]int64
}

func (f *fleet) earlierLedger(n *node) (l earlierLedger) {
	f.t.Helper()
	if err := msgpack.Unmarshal(n.lease.Value(ledgerValue), &l); err != nil {
		f.t.Fatal(err)
	}
	return l
}

// Guards against windows that a node of an earlier release omits because it cannot read the ledger of its predecessor.
func TestEarlierReleaseReadsLedger(t *testing.T) {
	runScenario(t, 4, func(f *fleet) {
		f.recordRequests(3 * window)
		if l := f.earlierLedger(f.holder()); l.Era != 1 || len(f.platform.reports[l.Last]) == 0 {
			t.Errorf("the ledger reads %+v, without the newest settled window", l)
		}
	})
}

// Guards against windows that are omitted or counted again after a lease holder of an earlier release, whose ledger has no
// cuts.
func TestSuccessorOfEarlierReleaseGoesOn(t *testing.T) {
	runScenario(t, 4, func(f *fleet) {
		f.recordRequests(3 * window)
		holder := f.holder()
		sleepUntil(time.Now().Truncate(window).Add(window + afterSettling))
		tenure, _ := holder.lease.Tenure()
		data, err := msgpack.Marshal(&[]any{f.earlierLedger(holder).Era, f.earlierLedger(holder).Last, []any{}})
		if err != nil {
			t.Fatal(err)
		}
		if err := holder.lease.Write(context.Background(), tenure.Token, ledgerValue, data); err != nil {
			t.Fatal(err)
		}
		f.crash(holder)
		f.setMembers()
		f.recordRequests(3 * window)
		f.checkReports(0)
	})
}

// Guards against starts that are never counted because their node was cut off until after their window was settled.
func TestLateStartsAreCountedInALaterWindow(t *testing.T) {
	const cutOff = 11 * time.Second
	synctest.Test(t, func(t *testing.T) {
		f := newClockFleet(t, 1, bootClock{}, bootClock{}, bootClock{}, bootClock{}, bootClock{})
		defer f.stop()
		end := f.awaitReport()
		isolated := f.nodes[4].address
		sleepUntil(end.Add(-window / 2))
		f.network.Block(func(from, to string) bool { return from == isolated || to == isolated })
		recorded := f.recordRow(end)
		sleepUntil(end.Add(cutOff))
		f.network.Block(nil)
		f.network.Cut(func(from, to string) bool { return from == isolated || to == isolated })
		time.Sleep(drainTime)
		f.checkRow(recorded)
	})
}

// Guards against a ledger that takes more of a node's network than the target allows for control: a candidate reads it,
// in base64, every second.
func TestLedgerStaysWithinControlBandwidth(t *testing.T) {
	const (
		targetNodes     = 330
		targetBytesPerS = 15_000
		small, large    = 20, 60
		maxBytesPerNode = float64(targetBytesPerS) / targetNodes * 3 / 4
	)
	sizeAt := func(size int) (bytes int) {
		synctest.Test(t, func(t *testing.T) {
			f := newEmptyFleet(t, 1)
			defer f.stop()
			for i := range size {
				n := &node{address: nodeAddress(i)}
				f.nodes = append(f.nodes, n)
				f.start(n)
				time.Sleep(time.Duration(f.random.Int64N(int64(time.Second))))
			}
			f.setMembers()
			f.recordRequests(10 * window)
			bytes = len(f.holder().lease.Value(ledgerValue))
		})
		return bytes
	}
	smallBytes, largeBytes := sizeAt(small), sizeAt(large)
	perNode := float64(largeBytes-smallBytes) / (large - small)
	t.Logf("%d bytes for %d processes, %d for %d: %.1f each", smallBytes, small, largeBytes, large, perNode)
	if perNode > maxBytesPerNode {
		t.Errorf("the ledger takes %.1f bytes a node, expected at most %.1f", perNode, maxBytesPerNode)
	}
}
