package chivedirectory_test

import (
	"testing"
	"time"

	"chivedrift/chivedirectory"
)

// Guards against a removal that is not forwarded between nodes because it is the last record before a snapshot.
func TestRemovalAtEndOfSnapshotIsForwarded(t *testing.T) {
	now := time.Unix(1000, 0)
	first, second, third := chivedirectory.New(time.Second), chivedirectory.New(time.Second), chivedirectory.New(time.Second)
	for _, d := range []*chivedirectory.Directory{second, third} {
		d.Apply(now, change(0, "stays"))
		d.Apply(now, change(1, "goes"))
	}
	first.Replace(now, []chivedirectory.Change{change(0, "stays")}, 3)
	for _, pair := range [][2]*chivedirectory.Directory{{first, second}, {second, third}} {
		if pair[1].Newest() < pair[0].Newest() {
			pair[1].Learn(now, pair[0].Update(now, pair[1].Newest()))
		}
	}
	if known := third.Endpoints(); len(known) != 1 || known[0].ID != "stays" {
		t.Errorf("third node knows %v, want only the endpoint that stays", known)
	}
}
