//go:build !race

package chivedirectory_test

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"chivedrift/chivedirectory"
	"chivedrift/chivelog"
)

const (
	heartbeat = 1200 * time.Millisecond
	// keep is how long an endpoint with an unusable record is kept.
	keep = 4 * time.Second
)

// runService runs a service of a simulated node with a log.
func runService(t *testing.T, log *bytes.Buffer, test func(s *chivedirectory.Service)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := chivedirectory.NewService(decodeText, grace, slog.New(slog.NewTextHandler(log, nil)))
		if err := s.Start(context.Background()); err != nil {
			t.Fatal(err)
		}
		test(s)
		if err := s.Stop(context.Background()); err != nil {
			t.Error(err)
		}
	})
}

// Guards against requests to the previous address of an endpoint whose record stays unusable, and against the removal of a
// live endpoint because of a record that it has not written.
func TestEndpointWithUnusableRecordIsKeptUntilItsNextHeartbeat(t *testing.T) {
	runService(t, &bytes.Buffer{}, func(s *chivedirectory.Service) {
		expect := func(when, want string) {
			t.Helper()
			if got := endpointIDs(s); got != want {
				t.Errorf("%s: %q, want %q", when, got, want)
			}
		}
		s.Replace(chivelog.KeyedBatch{Next: 5, Records: []chivelog.KeyedRecord{
			record(1, "a", "p 10.0.0.1:1"), record(2, "b", "?"), record(3, "c", "p 10.0.0.3:1"), record(4, "", "?"),
		}})
		expect("after the snapshot", "a c")
		s.Apply([]chivelog.KeyedRecord{record(5, "a", "?"), record(6, "", "no key"), record(7, "b", "p 10.0.0.2:1")})
		expect("after an unusable record of a", "a b c")
		time.Sleep(heartbeat)
		s.Apply([]chivelog.KeyedRecord{record(8, "a", "?"), record(9, "c", "?"), record(10, "c", "p 10.0.0.3:1")})
		time.Sleep(keep - heartbeat - 100*time.Millisecond)
		expect("before the end of the time for which a is kept", "a b c")
		time.Sleep(500 * time.Millisecond)
		expect("after that time", "b c")
		s.Apply([]chivelog.KeyedRecord{record(11, "a", "p 10.0.0.1:1")})
		expect("after a usable record of a", "a b c")
		s.Apply([]chivelog.KeyedRecord{record(12, "a", "?"), record(13, "a", "")})
		expect("after the removal of a", "b c")
		s.Apply([]chivelog.KeyedRecord{record(14, "b", "?")})
		s.Replace(chivelog.KeyedBatch{Next: 15, Records: []chivelog.KeyedRecord{record(10, "c", "p 10.0.0.3:1"), record(14, "b", "?")}})
		expect("after a snapshot with the unusable record of b", "b c")
	})
}

// Guards against peers that use an endpoint with an unusable record for longer than the reader of the record, and against
// ones that drop it.
func TestPeersKeepEndpointWithUnusableRecordForAsLong(t *testing.T) {
	runService(t, &bytes.Buffer{}, func(reader *chivedirectory.Service) {
		peer := chivedirectory.NewService(decodeText, grace, slog.New(slog.DiscardHandler))
		if err := peer.Start(context.Background()); err != nil {
			t.Fatal(err)
		}
		reader.Replace(chivelog.KeyedBatch{Next: 3, Records: []chivelog.KeyedRecord{record(1, "a", "p 10.0.0.1:1"), record(2, "b", "p 10.0.0.2:1")}})
		peer.Learn(reader.Update(-1), "peer")
		reader.Apply([]chivelog.KeyedRecord{record(3, "a", "?"), record(4, "c", "p 10.0.0.3:1")})
		peer.Learn(reader.Update(peer.Newest()), "peer")
		if got := endpointIDs(peer); got != "a b c" {
			t.Errorf("after the unusable record: %q", got)
		}
		time.Sleep(heartbeat)
		reader.Apply([]chivelog.KeyedRecord{record(5, "b", "?"), record(6, "b", "p 10.0.0.2:1")})
		peer.Learn(reader.Update(peer.Newest()), "peer")
		time.Sleep(keep)
		if got, want := endpointIDs(peer), "b c"; got != want || endpointIDs(reader) != want {
			t.Errorf("after the time for which a is kept: reader %q, peer %q, want %q", endpointIDs(reader), got, want)
		}
		if err := peer.Stop(context.Background()); err != nil {
			t.Error(err)
		}
	})
}

// Guards against a peer that drops an endpoint, because each update that it is sent shows the endpoint with an unusable record,
// although its own records came in between.
func TestPeerKeepsEndpointThatIsConfirmedBetweenUpdates(t *testing.T) {
	runService(t, &bytes.Buffer{}, func(reader *chivedirectory.Service) {
		peer := chivedirectory.NewService(decodeText, grace, slog.New(slog.DiscardHandler))
		if err := peer.Start(context.Background()); err != nil {
			t.Fatal(err)
		}
		reader.Replace(chivelog.KeyedBatch{Next: 1, Records: []chivelog.KeyedRecord{record(0, "a", "p 10.0.0.1:1"), record(0, "b", "p 10.0.0.2:1")}})
		for i := range int64(10) {
			reader.Apply([]chivelog.KeyedRecord{record(3*i+1, "a", "p 10.0.0.1:1"), record(3*i+2, "a", "?"), record(3*i+3, "b", "?")})
			peer.Learn(reader.Update(peer.Newest()), "peer")
			time.Sleep(heartbeat)
		}
		if got, want := endpointIDs(peer), "a"; got != want || endpointIDs(reader) != want {
			t.Errorf("reader %q, peer %q, want %q", endpointIDs(reader), got, want)
		}
		if err := peer.Stop(context.Background()); err != nil {
			t.Error(err)
		}
	})
}

// Guards against a started node that doesn't use an endpoint that its peers keep, also after the endpoint's next record.
func TestStartedNodeUsesEndpointThatItsPeersKeep(t *testing.T) {
	runService(t, &bytes.Buffer{}, func(reader *chivedirectory.Service) {
		started, used := chivedirectory.NewService(decodeText, grace, slog.New(slog.DiscardHandler)), 0
		started.OnChange(func(d chivedirectory.Diff) { used += len(d.Changed) - len(d.Gone) })
		reader.Replace(chivelog.KeyedBatch{Next: 2, Records: []chivelog.KeyedRecord{record(1, "a", "p 10.0.0.1:1")}})
		reader.Apply([]chivelog.KeyedRecord{record(2, "a", "?")})
		started.Learn(reader.Update(-1), "peer")
		if used != 1 {
			t.Errorf("%d endpoints are in use at the started node, want 1", used)
		}
		reader.Apply([]chivelog.KeyedRecord{record(3, "a", "p 10.0.0.1:1")})
		started.Learn(reader.Update(started.Newest()), "peer")
		if used != 1 || endpointIDs(started) != "a" {
			t.Errorf("after the next record: %d in use, %q known", used, endpointIDs(started))
		}
	})
}

// Guards against an unusable record that removes an endpoint around an outage of the store, or keeps one that has left.
func TestUnusableRecordsDuringOutage(t *testing.T) {
	runService(t, &bytes.Buffer{}, func(s *chivedirectory.Service) {
		s.Answered()
		s.Replace(chivelog.KeyedBatch{Next: 4, Records: []chivelog.KeyedRecord{
			record(1, "a", "p 10.0.0.1:1"), record(2, "b", "p 10.0.0.2:1"), record(3, "c", "p 10.0.0.3:1"),
		}})
		s.Lost(fmt.Errorf("down"))
		time.Sleep(10 * time.Second)
		s.Answered()
		s.Back()
		s.Apply([]chivelog.KeyedRecord{record(4, "a", "?"), record(5, "b", ""), record(6, "c", "?"), record(7, "d", "p 10.0.0.4:1")})
		if got := endpointIDs(s); got != "a b c d" {
			t.Errorf("at the store's return: %q", got)
		}
		time.Sleep(heartbeat)
		s.Apply([]chivelog.KeyedRecord{record(8, "a", "p 10.0.0.1:1")})
		time.Sleep(keep)
		if got := endpointIDs(s); got != "a d" {
			t.Errorf("after the grace period: %q", got)
		}
	})
}
