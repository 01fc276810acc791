package chivedirectory_test

import (
	"testing"
	"time"

	"chivedrift/chivedirectory"
)

// Guards against a removal that is lost between nodes when it is the last record before a snapshot.
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
