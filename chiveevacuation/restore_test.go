//go:build !race

package chiveevacuation_test

import (
	"testing"
	"testing/synctest"
	"time"

	"chivedrift/chiveevacuation"
	"chivedrift/chivelog"
)

// inEra returns a record of a later era of the store.
func inEra(era int64, record chivelog.KeyedRecord) chivelog.KeyedRecord {
	record.Position = chivelog.NewPosition(era, int64(record.Position))
	return record
}

// snapshotOf returns a snapshot of a later era up to an offset.
func snapshotOf(era, next int64, records ...chivelog.KeyedRecord) chivelog.KeyedBatch {
	return chivelog.KeyedBatch{Records: records, Next: chivelog.NewPosition(era, next)}
}

// Guards against an evacuation that ends without an operator since the store came back from a copy of before it: at the
// nodes that read the store, at the others, at nodes that were cut off meanwhile and over a second such return.
func TestEvacuationOutlastsRestoreFromOlderCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 12)
		f.nodes[0].Apply([]chivelog.KeyedRecord{evacuated(5, "a"), evacuated(6, "b")})
		f.awaitDomains("a", "b")
		isCutOff := func(address string) bool { return address == f.nodes[11].address }
		f.network.Block(func(from, to string) bool { return isCutOff(from) != isCutOff(to) })
		f.nodes[1].Replace(snapshotOf(2, 6, inEra(2, evacuated(5, "a"))))
		time.Sleep(propagationLimit)
		f.awaitDomains("a", "b")
		f.nodes[3].Replace(snapshotOf(3, 6, inEra(3, evacuated(5, "a"))))
		f.network.Block(nil)
		time.Sleep(20 * time.Second)
		f.awaitDomains("a", "b")
		if d := f.nodes[11].Domains(); !d[1].Retained || d[0].Retained || d[1].Offset != 6 || d[1].Era != 1 || d[0].Era != 3 {
			t.Errorf("got %+v", d)
		}
	})
}

// Guards against an evacuation that an operator cannot end since the store has lost its record, and against nodes that
// were cut off and restore it.
func TestRetainedEvacuationIsEndedByRecordOfNewEra(t *testing.T) {
	for name, end := range map[string]func(n *node){
		"removed": func(n *node) { n.Apply([]chivelog.KeyedRecord{inEra(2, removed(9, "a"))}) },
		"written and removed": func(n *node) {
			n.Apply([]chivelog.KeyedRecord{inEra(2, evacuated(9, "a"))})
			time.Sleep(time.Second)
			n.Apply([]chivelog.KeyedRecord{inEra(2, removed(11, "a"))})
		},
		"written, then not in a snapshot": func(n *node) {
			n.Apply([]chivelog.KeyedRecord{inEra(2, evacuated(9, "a"))})
			time.Sleep(time.Second)
			n.Replace(snapshotOf(2, 14))
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 12)
				f.nodes[0].Apply([]chivelog.KeyedRecord{evacuated(5, "a")})
				f.awaitDomains("a")
				isCutOff := func(address string) bool { return address == f.nodes[11].address }
				f.network.Block(func(from, to string) bool { return isCutOff(from) != isCutOff(to) })
				f.nodes[1].Replace(snapshotOf(2, 3))
				time.Sleep(time.Second)
				end(f.nodes[2])
				time.Sleep(propagationLimit)
				f.network.Block(nil)
				f.awaitDomains()
				f.nodes[11].Replace(snapshotOf(3, 2))
				time.Sleep(20 * time.Second)
				f.awaitDomains()
			})
		})
	}
}

// Guards against a node that was cut off before operators ended an evacuation and restores it after the store came back
// from an older copy.
func TestEvacuationEndedBeforeRestoreStaysEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 12)
		f.nodes[0].Apply([]chivelog.KeyedRecord{evacuated(5, "a")})
		f.awaitDomains("a")
		isCutOff := func(address string) bool { return address == f.nodes[11].address }
		f.network.Block(func(from, to string) bool { return isCutOff(from) != isCutOff(to) })
		f.nodes[0].Apply([]chivelog.KeyedRecord{removed(8, "a")})
		time.Sleep(propagationLimit)
		f.nodes[1].Replace(snapshotOf(2, 4))
		time.Sleep(propagationLimit)
		f.network.Block(nil)
		f.awaitDomains()
		time.Sleep(20 * time.Second)
		f.awaitDomains()
	})
}

// Guards against a node of this release that drops what it retains because a peer of the release before sends the state of
// the new era, which does not list it.
func TestStateOfEarlierReleaseDoesNotEndRetainedEvacuation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2)
		f.nodes[0].Apply([]chivelog.KeyedRecord{evacuated(5, "a")})
		f.awaitDomains("a")
		earlier := chiveevacuation.State{Position: chivelog.NewPosition(2, 7)}
		if err := f.nodes[1].mesh.Send(f.nodes[0].address, 128, earlier); err != nil {
			t.Fatal(err)
		}
		time.Sleep(propagationLimit)
		f.awaitDomains("a")
	})
}

// Guards against a removal from before an evacuation that ends it since the store's copy is of the time between the two.
func TestRemovalInCopyDoesNotEndLaterEvacuation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		f.nodes[0].Replace(snapshotOf(1, 10, evacuated(9, "a")))
		f.awaitDomains("a")
		f.nodes[0].Replace(snapshotOf(2, 7, inEra(2, removed(5, "a"))))
		time.Sleep(propagationLimit)
		f.awaitDomains("a")
	})
}

// Guards against an evacuation that ended long ago and that a node which was cut off meanwhile brings back, to nodes that
// have started since its end, after the store came back from an older copy.
func TestEvacuationEndedBeforeStartOfOthersStaysEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 4)
		old := f.nodes[3]
		f.network.Block(func(from, to string) bool { return (from == old.address) != (to == old.address) })
		old.Apply([]chivelog.KeyedRecord{evacuated(5, "a")})
		for _, n := range f.nodes[:3] {
			n.Replace(snapshotOf(1, 21))
		}
		time.Sleep(time.Second)
		for _, n := range f.nodes[:3] {
			n.Replace(snapshotOf(2, 10))
		}
		f.network.Block(nil)
		time.Sleep(20 * time.Second)
		f.awaitDomains()
	})
}
