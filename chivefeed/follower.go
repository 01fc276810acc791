package chivefeed

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"chivedrift/chivekernel"
	"chivedrift/chivelog"
)

const (
	// retryFirst and retryMost space the tries while the log does not answer. The most stays well under the two seconds in
	// which a change has to be in force, and 330 nodes that try twice a second stay under the log's rate.
	retryFirst = 100 * time.Millisecond
	retryMost  = 500 * time.Millisecond
	// snapshotSilence is how long a snapshot may bring nothing before its connection counts as silent; a store that is slow answers within it.
	snapshotSilence = 2 * time.Second
	// readSilence is how long a read may bring nothing, beyond its wait, before its connection counts as silent.
	readSilence = time.Second
	// answerMost bounds an answer that comes bit by bit. A document of 10,000 routes takes 2.6 s as a snapshot over 10 Mbit/s, the slowest link
	// of today's VMs; three times as many routes on a link that requests fill by half still come.
	answerMost = 20 * time.Second
	// heldPoll is how often a held follower looks whether it has to read itself.
	heldPoll = 200 * time.Millisecond
	// firstPoll is the same before the first snapshot, and while a follower settles or takes that snapshot.
	firstPoll = 50 * time.Millisecond
)

// Listener hears what a follower reads; calls come from one goroutine and must not block.
type Listener interface {
	// Replace takes the newest record of every key, and the offset from which later ones follow.
	Replace(snapshot chivelog.KeyedBatch)
	// Apply takes later records in order.
	Apply(records []chivelog.KeyedRecord)
	// Lost hears that the log does not answer, with the reason.
	Lost(err error)
	// Back hears that the log answers again.
	Back()
}

// Options tell what to follow and how.
type Options struct {
	Topic chivelog.KeyedTopic
	// Wait tells how long a read waits for the first record; fresh tells that the read before has brought something.
	Wait func(fresh bool) time.Duration
	// Pace returns the minimum time between the answer to one read and the next read, so that a busy topic is read in batches. Nil means none.
	Pace     func() time.Duration
	Listener Listener
	// Answered is called with each answer of the log, before what the answer brings goes to the listener; nil means that nobody
	// wants to know.
	Answered func()
	// SinceBoot reads a clock that keeps running while the machine is suspended, for ConfirmedAge; nil means the runtime's clock.
	SinceBoot func() time.Duration
	// Held tells that other nodes read the topic for this one; nil means never.
	Held func() bool
	// HeldAtStart tells that being held also spares the first snapshot and the reads that look for the return of the log; for a topic that
	// this node does not need while others read it.
	HeldAtStart bool
	// HoldFirst reports whether the first snapshot is to wait, since other nodes may bring what it would; nil means never. It does not hold a follower that
	// has lost the log.
	HoldFirst func() bool
	// Settle is how long after its first snapshot the follower leaves the next read: by then a node of a fleet knows whether others read for it.
	Settle time.Duration
	// Known returns the position up to which other nodes have brought all records, negative if they have brought none; nil means never. A follower
	// that has read nothing yet reads on from there, and gives up a snapshot that it has begun.
	Known func() chivelog.Position
	// ReadsEarly reports whether the follower reads on before Settle has passed, because no other node reads the topic yet; nil means never.
	ReadsEarly func() bool
}

// Follower is the service that follows one topic.
type Follower struct {
	o Options
	// The fields from here to fresh belong to the following goroutine. rooted means that the next read goes on from a position, held that other nodes
	// have read since, settled that the wait after the first records is over.
	rooted  bool
	held    bool
	settled bool
	// needsSnapshot means that what other nodes have brought is not enough to read on from.
	needsSnapshot bool
	// fresh means that the last answer has brought something.
	fresh bool
	next  atomic.Int64
	heard atomic.Int64
	// confirmed is when the last request that the log has answered was sent, by SinceBoot; -1 before the first.
	confirmed atomic.Int64
	lost      atomic.Bool
	reads     atomic.Int64
	duties    chivekernel.Duties
}

// New returns a follower that has read nothing yet.
func New(o Options) *Follower {
	if o.SinceBoot == nil {
		began := time.Now()
		o.SinceBoot = func() time.Duration { return time.Since(began) }
	}
	f := &Follower{o: o}
	f.confirmed.Store(-1)
	return f
}

// Start begins to follow.
func (f *Follower) Start(ctx context.Context) error {
	f.duties.Begin(ctx, f.run)
	return nil
}

// Stop ends the following.
func (f *Follower) Stop(context.Context) error {
	f.duties.End()
	return nil
}

// Age returns how long ago the log last answered; negative means never.
func (f *Follower) Age() time.Duration {
	heard := f.heard.Load()
	if heard == 0 {
		return -1
	}
	return time.Since(time.UnixMilli(heard))
}

// ConfirmedAge returns how long ago the last request that the log has answered was sent, by SinceBoot; negative means never. What
// was written before that has been read, though the answer may have been under way for long.
func (f *Follower) ConfirmedAge() time.Duration {
	confirmed := f.confirmed.Load()
	if confirmed < 0 {
		return -1
	}
	return f.o.SinceBoot() - time.Duration(confirmed)
}

// Dump returns how far the follower is.
func (f *Follower) Dump() any {
	next := chivelog.Position(f.next.Load())
	return struct {
		Era    int64 `json:"era"`
		Offset int64 `json:"offset"`
		AgeMs  int64 `json:"age_ms"`
		Lost   bool  `json:"lost"`
		Calls  int64 `json:"calls"`
	}{next.Era(), next.Offset(), f.Age().Milliseconds(), f.lost.Load(), f.reads.Load()}
}

func (f *Follower) run(ctx context.Context) {
	pause := retryFirst
	for ctx.Err() == nil {
		if !f.prepare(ctx) {
			continue
		}
		err := f.step(ctx)
		switch {
		case ctx.Err() != nil:
			return
		case err == nil:
			pause = retryFirst
			f.pause(ctx)
		case errors.Is(err, chivelog.ErrExpired) || errors.Is(err, chivelog.ErrRestored):
			f.rooted, f.needsSnapshot = false, true
		case !f.rooted && f.known() >= 0:
			// Reading on from there shows as well whether the log answers.
		default:
			f.markLost(err)
			sleep(ctx, pause/2+rand.N(pause/2))
			pause = min(2*pause, retryMost)
		}
	}
}

// prepare waits while the next step is left to other nodes, and reports whether it may begin.
func (f *Follower) prepare(ctx context.Context) bool {
	if f.rooted && !f.settled {
		f.settled = true
		f.settle(ctx)
	}
	if !f.rooted && !f.held && f.waitsForFirst() {
		sleep(ctx, firstPoll)
		return false
	}
	if f.isHeld() {
		// What others read meanwhile has to be found out again.
		f.held = true
		sleep(ctx, heldPoll)
		return false
	}
	f.rooted = f.rooted && !f.held
	f.held = false
	if !f.rooted && f.startsAtKnown() {
		f.rooted = true
		return false
	}
	return true
}

// pause waits until the next read may begin.
func (f *Follower) pause(ctx context.Context) {
	if f.o.Pace != nil {
		sleep(ctx, f.o.Pace())
	}
}

// settle waits until Settle has passed or the follower reads early.
func (f *Follower) settle(ctx context.Context) {
	for end := time.Now().Add(f.o.Settle); ctx.Err() == nil && time.Now().Before(end) && !f.readsEarly(); {
		sleep(ctx, min(firstPoll, time.Until(end)))
	}
}

func (f *Follower) readsEarly() bool { return f.o.ReadsEarly != nil && f.o.ReadsEarly() }

// known returns the position from which a follower that has read nothing can read on, negative if there is none.
func (f *Follower) known() chivelog.Position {
	if f.o.Known == nil || f.needsSnapshot {
		return -1
	}
	return f.o.Known()
}

// startsAtKnown lets the follower read on from what other nodes have brought, and reports whether they have brought anything.
func (f *Follower) startsAtKnown() bool {
	known := f.known()
	if known < 0 {
		return false
	}
	f.next.Store(int64(known + 1))
	return true
}

// waitsForFirst reports whether the first snapshot is to wait.
func (f *Follower) waitsForFirst() bool {
	return f.o.HoldFirst != nil && !f.lost.Load() && f.o.HoldFirst()
}

// isHeld reports whether others read for this node now.
//
// A node that has lost the log reads it once itself before others read for it again: else it would wait for ever for the log's return, and
// keep for as long whatever is removed.
func (f *Follower) isHeld() bool {
	if f.o.Held == nil || !f.o.HeldAtStart && (!f.rooted || f.lost.Load()) {
		return false
	}
	return f.o.Held()
}

// step takes a snapshot, or the records after the last one.
func (f *Follower) step(ctx context.Context) error {
	f.reads.Add(1)
	sentAt := f.o.SinceBoot()
	if !f.rooted {
		return f.snapshot(ctx, sentAt)
	}
	wait := f.o.Wait(f.fresh)
	if f.lost.Load() {
		// After an outage the first read must not wait: its answer is what tells that the log is back.
		wait = 0
	}
	limited, cancel := patient(ctx, wait+readSilence, readSilence)
	defer cancel()
	batch, err := f.o.Topic.Read(limited, chivelog.Position(f.next.Load()), wait)
	if err != nil {
		return err
	}
	f.markHeard()
	if len(batch.Records) > 0 {
		f.o.Listener.Apply(batch.Records)
	}
	f.fresh = len(batch.Records) > 0
	f.next.Store(int64(batch.Next))
	f.confirmed.Store(int64(sentAt))
	return nil
}

func (f *Follower) snapshot(ctx context.Context, sentAt time.Duration) error {
	limited, cancel := patient(ctx, snapshotSilence, snapshotSilence)
	defer cancel()
	if f.o.Known != nil && !f.needsSnapshot {
		go f.cancelOnceKnown(limited, cancel)
	}
	batch, err := f.o.Topic.Snapshot(limited)
	if err != nil {
		return err
	}
	f.rooted, f.needsSnapshot = true, true
	f.markHeard()
	f.o.Listener.Replace(batch)
	f.next.Store(int64(batch.Next))
	f.fresh = true
	f.confirmed.Store(int64(sentAt))
	return nil
}

// cancelOnceKnown ends a snapshot that other nodes have made needless.
func (f *Follower) cancelOnceKnown(ctx context.Context, cancel context.CancelFunc) {
	for ctx.Err() == nil {
		if f.o.Known() >= 0 {
			cancel()
			return
		}
		sleep(ctx, firstPoll)
	}
}

// patient returns a context that ends when nothing has come for a time at first, and later for a silence.
//
// A bound on the whole answer would end it by its size: a document that takes longer over the link than the bound is cut off each time while
// it comes, so that a node never starts, or never learns of a change.
func patient(ctx context.Context, first, silence time.Duration) (context.Context, context.CancelFunc) {
	limited, cancel := context.WithTimeout(ctx, first+answerMost)
	silent := time.AfterFunc(first, cancel)
	return chivelog.WithProgress(limited, func() { silent.Reset(silence) }), func() {
		silent.Stop()
		cancel()
	}
}

func (f *Follower) markHeard() {
	f.heard.Store(time.Now().UnixMilli())
	if f.o.Answered != nil {
		f.o.Answered()
	}
	if f.lost.Swap(false) {
		f.o.Listener.Back()
	}
}

func (f *Follower) markLost(err error) {
	if !f.lost.Swap(true) {
		f.o.Listener.Lost(err)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
