package chivestream

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"

	"chivedrift/chivekernel"
	"chivedrift/chivelog"
)

const (
	// maxPending bounds the beginnings that wait to be written.
	maxPending = 8192
	// nodesPerWriter is the number of nodes for which one node writes.
	nodesPerWriter = 40
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
	// Stores reports whether the beginnings of streams of a pool are stored; nil means always.
	Stores func(pool string) bool
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
