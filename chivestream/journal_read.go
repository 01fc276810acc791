package chivestream

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"chivedrift/chiveevent"
)

const (
	// readBack is the number of batches that a node reads at its start: those of the last 45 s with nine writers.
	readBack = 2000
	// readPoll is how often a node that has just started checks whether it reads for others, roleWait how long.
	readPoll = 50 * time.Millisecond
	roleWait = 2 * time.Second
	// readRetryFor is how long reading back is retried: until the versions of pools are certain without it.
	readRetryFor   = 30 * time.Second
	readRetryDelay = 500 * time.Millisecond
	// readWait is how long a lookup waits for records that this node is about to read.
	readWait = 300 * time.Millisecond
)

// readAtStart reads the records of streams that began before this node started, if it reads for others.
func (j *journal) readAtStart(ctx context.Context) {
	defer j.endRead()
	started := time.Now()
	for !j.options.Reads() {
		if ctx.Err() != nil || time.Since(started) >= roleWait {
			return
		}
		sleep(ctx, readPoll)
	}
	for ctx.Err() == nil {
		err := j.readTail(ctx)
		if err == nil {
			return
		}
		j.endRead()
		if time.Since(started) >= readRetryFor {
			chiveevent.StreamsNotRead.Log(ctx, j.options.Logger, slog.String("error", err.Error()))
			return
		}
		sleep(ctx, readRetryDelay/2+rand.N(readRetryDelay))
	}
}

func (j *journal) endRead() { j.readOnce.Do(func() { close(j.read) }) }

func (j *journal) readTail(ctx context.Context) error {
	began := time.Now()
	batches, err := j.options.Log.Tail(ctx, readBack)
	if err != nil {
		return err
	}
	streams, unreadable := 0, 0
	for _, batch := range batches {
		begun, err := DecodeBatch(batch.Value)
		if err != nil {
			unreadable++
			continue
		}
		for _, b := range begun {
			j.records.Add(time.Now(), b.Key, b.Origin)
		}
		streams += len(begun)
	}
	j.readBackCount.Store(int64(streams))
	chiveevent.StreamsRead.Log(ctx, j.options.Logger, slog.Int("streams", streams), slog.Int("batches", len(batches)), slog.Int("unreadable", unreadable),
		slog.Int64("took_ms", time.Since(began).Milliseconds()))
	return nil
}

// awaitRead waits until the records of before the start were read, at most readWait. It reports whether it has waited.
func (j *journal) awaitRead(ctx context.Context) bool {
	select {
	case <-j.read:
		return false
	default:
	}
	select {
	case <-j.read:
	case <-ctx.Done():
	case <-time.After(readWait):
	}
	return true
}
