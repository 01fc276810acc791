package chivestream

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"chivedrift/chiveevent"
	"chivedrift/chivekernel"
	"chivedrift/chivelog"
)

const (
	// batchInterval is the time between two writes of a node. What began in the last one is lost if all nodes end.
	batchInterval = 200 * time.Millisecond
	// writeTimeout is the timeout of a write, writeRetryDelay the delay after one that failed.
	writeTimeout    = 2 * time.Second
	writeRetryDelay = time.Second
	// maxPending bounds the beginnings that wait to be written, maxBatch those of one write, to about 80 KB.
	maxPending = 8192
	maxBatch   = 4096
	// nodesPerWriter is the number of nodes for which one node writes.
	nodesPerWriter = 40
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
	// batchKey is the key of all batches: of the topic's records only the newest has to last.
	batchKey = "batch"
)

// Log is the topic of the store that holds where streams began.
type Log interface {
	// Put appends a record.
	Put(ctx context.Context, key string, value []byte) error
	// Tail returns the last records, at most limit.
	Tail(ctx context.Context, limit int) ([]chivelog.KeyedRecord, error)
}

// JournalOptions describe how beginnings of streams are stored.
type JournalOptions struct {
	Log Log
	// Reads reports whether this node reads the store for others, or knows no others. It is called after the start.
	Reads func() bool
	// Readers is the number of nodes that do, the first ones by hash.
	Readers int
	Logger  *slog.Logger
}

// journal writes where streams began to the store, and reads it back at the start of the node.
type journal struct {
	options JournalOptions
	records *Records

	mu      sync.Mutex
	pending []Begun
	// dropped is the number of beginnings for which there was no room since the last write.
	dropped int
	wake    chan struct{}
	// read is closed once the records were read, could not be read at once, or are left to other nodes.
	read                   chan struct{}
	readOnce               sync.Once
	written, readBackCount atomic.Int64
	duties                 chivekernel.Duties
}

func newJournal(options JournalOptions, records *Records) *journal {
	return &journal{options: options, records: records, wake: make(chan struct{}, 1), read: make(chan struct{})}
}

func (j *journal) start(ctx context.Context) { j.duties.Begin(ctx, j.writeBatches, j.readAtStart) }

// add has a beginning written with the next batch. It does not block; if there is no room, the oldest one is dropped.
func (j *journal) add(b Begun) {
	j.mu.Lock()
	if len(j.pending) >= maxPending {
		j.pending = j.pending[1:]
		j.dropped++
	}
	j.pending = append(j.pending, b)
	j.mu.Unlock()
	select {
	case j.wake <- struct{}{}:
	default:
		// A write is pending already.
	}
}

func (j *journal) writeBatches(ctx context.Context) {
	failing := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-j.wake:
		}
		sleep(ctx, batchInterval)
		for ctx.Err() == nil {
			batch, dropped := j.take()
			if len(batch) == 0 {
				break
			}
			err := j.write(ctx, batch)
			if err == nil {
				failing = false
				continue
			}
			if !failing && ctx.Err() == nil {
				failing = true
				chiveevent.StreamsNotStored.Log(ctx, j.options.Logger, slog.Int("streams", len(batch)), slog.Int("dropped", dropped), slog.String("error", err.Error()))
			}
			j.giveBack(batch)
			sleep(ctx, writeRetryDelay/2+rand.N(writeRetryDelay))
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

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
