package chivefeed_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"chivedrift/chivefeed"
	"chivedrift/chivelog"
)

// fakeTopic is a topic in memory whose answers a test can take away.
type fakeTopic struct {
	mu       sync.Mutex
	records  []chivelog.KeyedRecord
	first    chivelog.Position
	down     bool
	silent   bool
	reads    int
	snapshot int
}

func (f *fakeTopic) add(key string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.records = append(f.records, chivelog.KeyedRecord{Position: chivelog.Position(len(f.records)), Key: key, Value: []byte("v")})
}

func (f *fakeTopic) set(down, silent bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down, f.silent = down, silent
}

func (f *fakeTopic) counts() (reads, snapshots int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reads, f.snapshot
}

func (f *fakeTopic) answer(ctx context.Context) error {
	f.mu.Lock()
	down, silent := f.down, f.silent
	f.mu.Unlock()
	if silent {
		<-ctx.Done()
		return ctx.Err()
	}
	if down {
		return fmt.Errorf("%w: down", chivelog.ErrUnavailable)
	}
	return nil
}

func (f *fakeTopic) Snapshot(ctx context.Context) (chivelog.KeyedBatch, error) {
	if err := f.answer(ctx); err != nil {
		return chivelog.KeyedBatch{}, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.snapshot++
	return chivelog.KeyedBatch{Records: append([]chivelog.KeyedRecord(nil), f.records...), Next: chivelog.Position(len(f.records))}, nil
}

func (f *fakeTopic) Read(ctx context.Context, from chivelog.Position, wait time.Duration) (chivelog.KeyedBatch, error) {
	for until := time.Now().Add(wait); ; {
		if err := f.answer(ctx); err != nil {
			return chivelog.KeyedBatch{}, err
		}
		f.mu.Lock()
		f.reads++
		if from < f.first {
			f.mu.Unlock()
			return chivelog.KeyedBatch{}, chivelog.ErrExpired
		}
		if from < chivelog.Position(len(f.records)) || !time.Now().Before(until) {
			defer f.mu.Unlock()
			return chivelog.KeyedBatch{Records: append([]chivelog.KeyedRecord(nil), f.records[from:]...), Next: chivelog.Position(len(f.records))}, nil
		}
		f.mu.Unlock()
		time.Sleep(10 * time.Millisecond)
	}
}

func (f *fakeTopic) Put(context.Context, string, []byte) error { return errors.New("not here") }

// heard keeps what a listener was told.
type heard struct {
	mu    sync.Mutex
	keys  []string
	words []string
}

func (h *heard) note(word string, records []chivelog.KeyedRecord) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.words = append(h.words, word)
	for _, r := range records {
		h.keys = append(h.keys, r.Key)
	}
}

func (h *heard) Replace(snapshot chivelog.KeyedBatch) { h.note("replace", snapshot.Records) }
func (h *heard) Apply(records []chivelog.KeyedRecord) { h.note("apply", records) }
func (h *heard) Lost(error)                           { h.note("lost", nil) }
func (h *heard) Back()                                { h.note("back", nil) }

func (h *heard) last() (key, word string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.keys[len(h.keys)-1], h.words[len(h.words)-1]
}

func follow(t *testing.T, topic *fakeTopic, held func() bool) *heard {
	t.Helper()
	h := &heard{}
	f := chivefeed.New(chivefeed.Options{Topic: topic, Wait: func(bool) time.Duration { return 5 * time.Second }, Listener: h, Held: held})
	if err := f.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { f.Stop(context.Background()) })
	return h
}

func TestFollowerTellsEachRecordOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		topic := &fakeTopic{}
		topic.add("a")
		h := follow(t, topic, nil)
		time.Sleep(time.Second)
		topic.add("b")
		time.Sleep(100 * time.Millisecond)
		if key, word := h.last(); key != "b" || word != "apply" || len(h.keys) != 2 {
			t.Errorf("heard %v by %v", h.keys, h.words)
		}
	})
}

// Guards against a change in force only many seconds after a store outage because a silent read was still waiting.
func TestFollowerOverASilentStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		topic := &fakeTopic{}
		topic.add("a")
		h := follow(t, topic, nil)
		time.Sleep(time.Second)
		topic.set(false, true)
		time.Sleep(12 * time.Second)
		if _, word := h.last(); word != "lost" {
			t.Fatalf("heard %v after twelve silent seconds", h.words)
		}
		topic.add("b")
		topic.set(false, false)
		time.Sleep(2 * time.Second)
		if key, _ := h.last(); key != "b" {
			t.Errorf("heard %v, %v two seconds after the return", h.keys, h.words)
		}
	})
}

func TestFollowerStartsOverWhenRecordsExpired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		topic := &fakeTopic{}
		topic.add("a")
		h := follow(t, topic, nil)
		time.Sleep(time.Second)
		topic.set(true, false)
		time.Sleep(time.Second)
		topic.add("b")
		topic.mu.Lock()
		topic.first = 2
		topic.mu.Unlock()
		topic.add("c")
		topic.set(false, false)
		time.Sleep(2 * time.Second)
		if _, snapshots := topic.counts(); snapshots != 2 {
			t.Errorf("%d snapshots, want 2", snapshots)
		}
		if key, _ := h.last(); key != "c" {
			t.Errorf("heard %v", h.keys)
		}
	})
}

func TestHeldFollowerReadsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		topic := &fakeTopic{}
		topic.add("a")
		var mu sync.Mutex
		isHeld := true
		h := follow(t, topic, func() bool {
			mu.Lock()
			defer mu.Unlock()
			return isHeld
		})
		time.Sleep(10 * time.Second)
		if reads, snapshots := topic.counts(); reads != 0 || snapshots != 1 {
			t.Errorf("%d reads and %d snapshots while held, want the first snapshot alone", reads, snapshots)
		}
		topic.add("b")
		mu.Lock()
		isHeld = false
		mu.Unlock()
		time.Sleep(time.Second)
		if key, word := h.last(); key != "b" || word != "replace" {
			t.Errorf("heard %v by %v", h.keys, h.words)
		}
	})
}

// Guards against what a follower knows being taken for newer than the request whose answer brought it.
func TestConfirmedAgeIsThatOfTheAnsweredRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		topic, began, suspended := &fakeTopic{}, time.Now(), atomic.Int64{}
		f := chivefeed.New(chivefeed.Options{
			Topic: topic, Wait: func(bool) time.Duration { return 5 * time.Second }, Listener: &heard{},
			SinceBoot: func() time.Duration { return time.Since(began) + time.Duration(suspended.Load()) },
		})
		if got := f.ConfirmedAge(); got >= 0 {
			t.Errorf("before the first answer: %v", got)
		}
		if err := f.Start(context.Background()); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		if got := f.ConfirmedAge(); got != time.Second {
			t.Errorf("a second after the snapshot: %v", got)
		}
		suspended.Add(int64(time.Minute))
		if got := f.ConfirmedAge(); got != time.Minute+time.Second {
			t.Errorf("after a suspension: %v", got)
		}
		time.Sleep(4500 * time.Millisecond)
		if got := f.ConfirmedAge(); got < time.Minute {
			t.Errorf("after the answer to a request from before the suspension: %v", got)
		}
		time.Sleep(5 * time.Second)
		if got := f.ConfirmedAge(); got < 5*time.Second || got > 6*time.Second {
			t.Errorf("after the answer to a later request, that waited for 5 s: %v", got)
		}
		if err := f.Stop(context.Background()); err != nil {
			t.Error(err)
		}
	})
}
