package chivedirectory_test

import (
	"testing"
	"time"

	"chivedrift/chivedirectory"
)

// Symptom: a node that reads nothing itself kept an endpoint that was gone, until something else changed.
// Sequence: the removal is the last record of the log. A node starts from a snapshot behind it and tells a second node all that there is; the
// third one hears of everything from the second.
// Cause: the second node went by the newest change that it was told, and a removal before the snapshot is none; so it seemed to know no
// more than the third, and told it nothing. Found by the histories of a store that loses its tail (seed 45).
func TestRemovalThatASnapshotEndsWithIsToldOn(t *testing.T) {
	now := time.Unix(1000, 0)
	first, second, third := chivedirectory.New(time.Second), chivedirectory.New(time.Second), chivedirectory.New(time.Second)
	for _, d := range []*chivedirectory.Directory{second, third} {
		d.Apply(now, change(0, "stays"))
		d.Apply(now, change(1, "goes"))
	}
	first.Replace(now, []chivedirectory.Change{change(0, "stays")}, 3)
	for _, tells := range [][2]*chivedirectory.Directory{{first, second}, {second, third}} {
		if tells[1].Newest() < tells[0].Newest() {
			tells[1].Learn(now, tells[0].Update(now, tells[1].Newest()))
		}
	}
	if known := third.Endpoints(); len(known) != 1 || known[0].ID != "stays" {
		t.Errorf("the third node knows %v", known)
	}
}
