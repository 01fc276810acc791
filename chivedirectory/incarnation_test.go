package chivedirectory_test

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"chivedrift/chivedirectory"
	"chivedrift/chivelog"

	"pgregory.net/rapid"
)

// start is the change of an endpoint that says when its process started.
func start(offset int64, id string, born int64) chivedirectory.Change {
	w := change(offset, id)
	w.Endpoint.Born = born
	w.Endpoint.Address = fmt.Sprintf("127.0.0.1:%d", 1000+born)
	return w
}

// Guards against requests to the former address of an endpoint that has restarted elsewhere.
func TestLaterStartWinsInAnyOrder(t *testing.T) {
	now := time.Now()
	d := chivedirectory.New(grace)
	d.Apply(now, start(1, "a", 10))
	d.Apply(now, start(5, "a", 20))
	if d.Apply(now, start(6, "a", 10)) || d.Endpoints()[0].Born != 20 {
		t.Error("a late write of the first start undid the second")
	}
	if d.Apply(now, start(3, "a", 10)) || d.Endpoints()[0].Born != 20 {
		t.Error("a peer that knows only the first start undid the second")
	}
	behind := chivedirectory.New(grace)
	behind.Apply(now, start(6, "a", 10))
	if !behind.Apply(now, start(5, "a", 20)) || behind.Endpoints()[0].Born != 20 {
		t.Error("the second start does not win where a late write of the first was read before")
	}
	if !d.Apply(now, start(7, "a", 30)) || d.Endpoints()[0].Born != 30 {
		t.Error("a third start is not taken")
	}
}

// Guards against a delayed write that brings a crashed endpoint back.
func TestLateWriteBringsNothingBack(t *testing.T) {
	now := time.Now()
	d := chivedirectory.New(grace)
	d.Apply(now, start(1, "a", 10))
	d.Apply(now, start(2, "a", 20))
	d.Apply(now, gone(3, "a"))
	if d.Apply(now, start(4, "a", 10)) || len(d.Endpoints()) != 0 {
		t.Error("a late write of the start before the last brought the endpoint back")
	}
	if !d.Apply(now, start(5, "a", 30)) {
		t.Error("a new start is not taken")
	}
}

// Guards against ignoring an endpoint for good after its clock was set back.
func TestClockThatWentBack(t *testing.T) {
	for _, removed := range []bool{false, true} {
		now := time.Now()
		d := chivedirectory.New(grace)
		d.Apply(now, start(1, "a", 20))
		if removed {
			d.Apply(now, gone(2, "a"))
		}
		d.Apply(now, start(3, "a", 10))
		d.Expire(now.Add(7 * time.Second))
		if all := d.Endpoints(); len(all) == 1 && all[0].Born == 10 {
			t.Errorf("removed %v: the change is believed while it may be a late write", removed)
		}
		if !d.Expire(now.Add(9 * time.Second)) {
			t.Errorf("removed %v: nothing changed after nine seconds", removed)
		}
		if all := d.Endpoints(); len(all) != 1 || all[0].Born != 10 {
			t.Errorf("removed %v: %+v after nine seconds", removed, all)
		}
	}
}

// A late write is over with the next change of the process that lives, however long it takes until somebody looks.
func TestLateWriteIsOverWithTheNextWord(t *testing.T) {
	now := time.Now()
	d := chivedirectory.New(grace)
	d.Apply(now, start(1, "a", 20))
	d.Apply(now, start(2, "a", 10))
	d.Apply(now.Add(1200*time.Millisecond), start(3, "a", 20))
	if d.Expire(now.Add(time.Minute)) || d.Endpoints()[0].Born != 20 {
		t.Errorf("got %+v", d.Endpoints())
	}
}

func TestEndpointsThatDoNotTellTheirStartAreTakenByPosition(t *testing.T) {
	now := time.Now()
	d := chivedirectory.New(grace)
	d.Apply(now, start(2, "a", 0))
	if d.Apply(now, start(1, "a", 0)) || !d.Apply(now, start(3, "a", 7)) || !d.Apply(now, start(4, "a", 0)) {
		t.Errorf("got %+v", d.Endpoints())
	}
	if key := (chivedirectory.Incarnation{ID: "a"}).Key(); key != "a" {
		t.Errorf("the incarnation of an endpoint that does not tell its start is called %q", key)
	}
}

// TestStartsMovesAndLateWritesInAnyOrder plays histories of one endpoint that starts again, moves, lapses and is written late, to two nodes:
// one reads the log in order, the other hears the same changes in any order, some of them twice. Once the last start has written, neither
// believes in another, and both agree.
func TestStartsMovesAndLateWritesInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Now()
		born, offset := int64(1), int64(0)
		var changes []chivedirectory.Change
		for range rapid.IntRange(1, 25).Draw(t, "changes") {
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0:
				born++
			case 1:
				changes = append(changes, gone(offset, "a"))
			case 2:
				changes = append(changes, start(offset, "a", rapid.Int64Range(1, born).Draw(t, "late")))
			default:
				changes = append(changes, start(offset, "a", born))
			}
			offset++
		}
		changes = append(changes, start(offset, "a", born))
		reader, hearer := chivedirectory.New(grace), chivedirectory.New(grace)
		for _, w := range changes {
			reader.Apply(now, w)
			checkBelief(t, reader, born)
		}
		for _, w := range rapid.Permutation(append(changes, changes...)).Draw(t, "order") {
			hearer.Apply(now, w)
			checkBelief(t, hearer, born)
		}
		for _, d := range []*chivedirectory.Directory{reader, hearer} {
			if all := d.Endpoints(); len(all) != 1 || all[0].Born != born {
				t.Fatalf("%+v in the end, want the start at %d alone", all, born)
			}
		}
	})
}

// checkBelief reports an endpoint that never was.
func checkBelief(t *rapid.T, d *chivedirectory.Directory, born int64) {
	t.Helper()
	for _, e := range d.Endpoints() {
		if e.Born > born || e.Address != fmt.Sprintf("127.0.0.1:%d", 1000+e.Born) {
			t.Fatalf("believes in %+v", e)
		}
	}
}

// decodeWord takes "pool address" for an endpoint.
func decodeWord(id string, data []byte) (chivedirectory.Endpoint, error) {
	pool, address, ok := strings.Cut(string(data), " ")
	if !ok {
		return chivedirectory.Endpoint{}, fmt.Errorf("registration of endpoint %q: address: is missing", id)
	}
	return chivedirectory.Endpoint{ID: id, Pool: pool, Address: address}, nil
}

func record(offset int64, key, value string) chivelog.KeyedRecord {
	return chivelog.KeyedRecord{Position: chivelog.Position(offset), Key: key, Value: []byte(value)}
}

func ids(s *chivedirectory.Service) string {
	data, err := json.Marshal(s.Dump())
	if err != nil {
		return err.Error()
	}
	var dump struct {
		Endpoints []chivedirectory.Endpoint `json:"endpoints"`
	}
	if err := json.Unmarshal(data, &dump); err != nil {
		return err.Error()
	}
	var all []string
	for _, e := range dump.Endpoints {
		all = append(all, e.ID)
	}
	return strings.Join(all, " ")
}

// Guards against requests to the previous address of an endpoint whose entry has become unreadable.
func TestUnreadableEntryTakesItsEndpointOut(t *testing.T) {
	s := chivedirectory.NewService(decodeWord, grace, slog.New(slog.DiscardHandler))
	s.Replace(chivelog.KeyedBatch{Next: 5, Records: []chivelog.KeyedRecord{
		record(1, "a", "p 10.0.0.1:1"), record(2, "b", "?"), record(3, "c", "p 10.0.0.3:1"), record(4, "", "?"),
	}})
	if got := ids(s); got != "a c" {
		t.Errorf("after the snapshot: %q", got)
	}
	s.Apply([]chivelog.KeyedRecord{record(5, "a", "?"), record(6, "", "no key"), record(7, "b", "p 10.0.0.2:1")})
	if got := ids(s); got != "b c" {
		t.Errorf("after an unreadable entry of a: %q", got)
	}
	s.Apply([]chivelog.KeyedRecord{record(8, "a", "p 10.0.0.1:1"), record(9, "c", "?"), record(10, "c", "p 10.0.0.3:1")})
	if got := ids(s); got != "a b c" {
		t.Errorf("after they can be read again: %q", got)
	}
}
