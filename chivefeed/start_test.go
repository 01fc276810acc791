package chivefeed_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"chivedrift/chivefeed"
	"chivedrift/chivelog"
)

// Guards against a cold start in which every node reads the store because it does not yet know the others.
func TestFollowerLeavesReadingUntilItKnowsTheFleet(t *testing.T) {
	const settle = 1500 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		topic := &fakeTopic{}
		topic.add("a")
		start := time.Now()
		f := chivefeed.New(chivefeed.Options{
			Topic: topic, Wait: func(bool) time.Duration { return time.Second }, Listener: &heard{}, Settle: settle,
			Held: func() bool { return time.Since(start) > time.Second },
		})
		if err := f.Start(context.Background()); err != nil {
			t.Fatal(err)
		}
		defer f.Stop(context.Background())
		for range 10 {
			time.Sleep(100 * time.Millisecond)
			topic.add("b")
		}
		time.Sleep(10 * time.Second)
		if reads, snapshots := topic.counts(); reads != 0 || snapshots != 1 {
			t.Errorf("%d reads and %d snapshots, expected the first snapshot alone", reads, snapshots)
		}
	})
}

// Guards against nodes that retry a store read they do not need.
func TestTopicThatIsNotNeededIsNotRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		topic := &fakeTopic{}
		topic.set(true, false)
		needed := false
		f := chivefeed.New(chivefeed.Options{
			Topic: topic, Wait: func(bool) time.Duration { return 0 }, Pace: func() time.Duration { return time.Second }, Listener: &heard{},
			Held: func() bool { return !needed }, HeldAtStart: true,
		})
		if err := f.Start(context.Background()); err != nil {
			t.Fatal(err)
		}
		defer f.Stop(context.Background())
		time.Sleep(10 * time.Second)
		if _, snapshots := topic.counts(); snapshots != 0 {
			t.Errorf("%d snapshots of a topic that was not needed", snapshots)
		}
		topic.set(false, false)
		needed = true
		time.Sleep(time.Second)
		if _, snapshots := topic.counts(); snapshots != 1 {
			t.Errorf("%d snapshots once it was needed, expected 1", snapshots)
		}
	})
}

// Guards against a record that stays unread after a fleet's start because each node leaves reading to the others.
func TestFollowerReadsWhileSettlingWhenNobodyElseDoes(t *testing.T) {
	const settle = 1500 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		topic := &fakeTopic{}
		topic.add("a")
		start := time.Now()
		h := &heard{}
		f := chivefeed.New(chivefeed.Options{
			Topic: topic, Wait: func(bool) time.Duration { return time.Second }, Listener: h, Settle: settle,
			ReadsEarly: func() bool { return time.Since(start) >= 300*time.Millisecond },
		})
		if err := f.Start(context.Background()); err != nil {
			t.Fatal(err)
		}
		defer f.Stop(context.Background())
		time.Sleep(100 * time.Millisecond)
		topic.add("b")
		time.Sleep(300 * time.Millisecond)
		if key, _ := h.last(); key != "b" {
			t.Errorf("heard %v 0.4 s after the start", h.keys)
		}
	})
}

// slowTopic is a topic whose snapshots take a time, and end with their context.
type slowTopic struct {
	*fakeTopic
	delay time.Duration
}

func (s slowTopic) Snapshot(ctx context.Context) (chivelog.KeyedBatch, error) {
	select {
	case <-time.After(s.delay):
		return s.fakeTopic.Snapshot(ctx)
	case <-ctx.Done():
		return chivelog.KeyedBatch{}, ctx.Err()
	}
}

// Guards against starting nodes that each read all records, although other nodes bring them while the read is under way.
func TestFollowerReadsOnFromWhatOtherNodesBring(t *testing.T) {
	const broughtAfter = 300 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		topic := &fakeTopic{}
		topic.add("a")
		topic.add("b")
		start := time.Now()
		h := &heard{}
		f := chivefeed.New(chivefeed.Options{
			Topic: slowTopic{topic, time.Second}, Wait: func(bool) time.Duration { return time.Second }, Listener: h,
			Known: func() chivelog.Position {
				if time.Since(start) < broughtAfter {
					return -1
				}
				return 1
			},
		})
		if err := f.Start(context.Background()); err != nil {
			t.Fatal(err)
		}
		defer f.Stop(context.Background())
		time.Sleep(2 * broughtAfter)
		topic.add("c")
		time.Sleep(time.Second)
		if _, snapshots := topic.counts(); snapshots != 0 {
			t.Errorf("%d snapshots", snapshots)
		}
		if key, _ := h.last(); key != "c" || len(h.keys) != 1 {
			t.Errorf("heard %v, want c alone", h.keys)
		}
	})
}

// Guards against a node that never reads the store again, because what other nodes brought is no longer in it.
func TestFollowerTakesASnapshotIfItCannotReadOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		topic := &fakeTopic{}
		for range 5 {
			topic.add("a")
		}
		topic.first = 4
		h := &heard{}
		f := chivefeed.New(chivefeed.Options{
			Topic: topic, Wait: func(bool) time.Duration { return time.Second }, Listener: h, Known: func() chivelog.Position { return 1 },
		})
		if err := f.Start(context.Background()); err != nil {
			t.Fatal(err)
		}
		defer f.Stop(context.Background())
		time.Sleep(time.Second)
		if _, snapshots := topic.counts(); snapshots != 1 {
			t.Errorf("%d snapshots, want 1", snapshots)
		}
	})
}
