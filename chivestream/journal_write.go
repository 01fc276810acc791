package chivestream

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"chivedrift/chiveevent"
)

const (
	// batchInterval is the time between two writes of a node. What began in the last one is lost if all nodes end.
	batchInterval = 200 * time.Millisecond
	// maxBatch bounds the beginnings of one write, to about 80 KB.
	maxBatch = 4096
	// writeTimeout is the timeout of a write, writeRetryDelay the delay after one that failed.
	writeTimeout    = 2 * time.Second
	writeRetryDelay = time.Second
)

// writeBatches writes what has begun until the context ends.
func (j *journal) writeBatches(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-j.wake:
		}
		sleep(ctx, batchInterval)
		j.writePending(ctx)
	}
}

// writePending writes what is pending; what is added meanwhile wakes the next round.
func (j *journal) writePending(ctx context.Context) {
	isFailing := false
	for ctx.Err() == nil {
		batch, dropped := j.take()
		if len(batch) == 0 {
			return
		}
		if err := j.write(ctx, batch); err != nil {
			if !isFailing && ctx.Err() == nil {
				chiveevent.StreamsNotStored.Log(ctx, j.options.Logger, slog.Int("streams", len(batch)), slog.Int("dropped", dropped), slog.String("error", err.Error()))
			}
			isFailing = true
			j.giveBack(batch)
			sleep(ctx, writeRetryDelay/2+rand.N(writeRetryDelay))
			continue
		}
		if len(batch) < maxBatch {
			return
		}
	}
}

// take returns the beginnings of the next batch, and how many were dropped before it.
func (j *journal) take() (batch []Begun, dropped int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	count := min(len(j.pending), maxBatch)
	batch, dropped = j.pending[:count:count], j.dropped
	j.pending, j.dropped = j.pending[count:], 0
	return batch, dropped
}

// giveBack puts a batch that was not written before those that wait. A batch that was written although its response was
// lost is written twice, which changes nothing.
func (j *journal) giveBack(batch []Begun) {
	j.mu.Lock()
	defer j.mu.Unlock()
	room := max(maxPending-len(j.pending), 0)
	j.dropped += max(len(batch)-room, 0)
	j.pending = append(batch[max(len(batch)-room, 0):], j.pending...)
}

func (j *journal) write(ctx context.Context, batch []Begun) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if err := j.options.Log.Put(ctx, batchKey, EncodeBatch(batch)); err != nil {
		return err
	}
	j.written.Add(int64(len(batch)))
	return nil
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
