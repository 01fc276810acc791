package chivestream_test

import (
	"fmt"
	"testing"
	"time"

	"chivedrift/chiverequest"
	"chivedrift/chivestream"
)

// maxRecords is the number of records that a node keeps at most.
const maxRecords = 32_768

// Guards against records that grow without bound, and against losing new ones while old ones are kept.
func TestOldestRecordsGoFirst(t *testing.T) {
	now := time.Now()
	r := chivestream.NewRecords(now)
	key := func(i int) chivestream.Key { return chivestream.KeyOf("red", fmt.Sprint(i)) }
	for i := range 3 * maxRecords {
		r.Add(now, key(i), chiverequest.Origin{Pool: "p", Version: "v1"})
	}
	if r.Len() > maxRecords {
		t.Errorf("%d records, want at most %d", r.Len(), maxRecords)
	}
	for i := 3*maxRecords - maxRecords/2; i < 3*maxRecords; i++ {
		if r.Find(key(i)) == nil {
			t.Fatalf("record %d of %d is lost", i, 3*maxRecords)
		}
	}
}

// Guards against a record that changes once a caller may have events of the stream.
func TestFirstOriginOfAPoolStays(t *testing.T) {
	now := time.Now()
	r, key := chivestream.NewRecords(now), chivestream.KeyOf("red", "t1")
	for _, o := range []chiverequest.Origin{{Pool: "p", Version: "v1"}, {Pool: "p", Version: "v2"}, {Pool: "q", Version: "v3"}} {
		r.Add(now, key, o)
		now = now.Add(4 * time.Minute)
	}
	want := []chiverequest.Origin{{Pool: "p", Version: "v1"}, {Pool: "q", Version: "v3"}}
	if origins := r.Find(key); len(origins) != 2 || origins[0] != want[0] || origins[1] != want[1] {
		t.Errorf("origins %v, want %v", origins, want)
	}
}

// Guards against a team that names the stream of another one.
func TestTeamsDoNotShareStreams(t *testing.T) {
	if chivestream.KeyOf("red", "1blue") == chivestream.KeyOf("red1", "blue") || chivestream.KeyOf("red", "t") == chivestream.KeyOf("blue", "t") {
		t.Error("streams of two teams have the same key")
	}
}
