package chivelog

import (
	"context"
	"errors"
	"time"
)

// ErrExpired means that the records after an offset are no longer retained: start over from a snapshot.
var ErrExpired = errors.New("log: records expired")

// ErrRestored means that the store has come back from an older copy since the position that was read from: start over from a snapshot.
var ErrRestored = errors.New("log: restored from an older copy")

// KeyedRecord is one record of a keyed topic, of which the log keeps the newest of each key for good.
type KeyedRecord struct {
	// Position is the record's place in the topic.
	Position Position
	// Key names what the record is about.
	Key string
	// Value is empty when the key was removed.
	Value []byte
}

// KeyedBatch holds records in their order and the position from which to read on.
type KeyedBatch struct {
	Records []KeyedRecord
	Next    Position
}

// KeyedTopic is a topic whose newest record of each key is retained; errors wrap ErrUnavailable, ErrExpired or ErrRestored. Snapshot and Read call
// Progressed as their answers come.
type KeyedTopic interface {
	// Snapshot returns the newest record of each key and the position from which Read continues without a gap.
	Snapshot(ctx context.Context) (KeyedBatch, error)
	// Read returns the records from a position on, waiting up to wait for the first.
	Read(ctx context.Context, from Position, wait time.Duration) (KeyedBatch, error)
	// Put writes the newest record of a key; the error wraps ErrNotAppended or ErrUnknown.
	Put(ctx context.Context, key string, value []byte) error
}

// ErrConflict means that a conditional append was rejected because the topic has changed.
var ErrConflict = errors.New("log: not appended, the topic has changed")

// ConditionalTopic is a keyed topic with conditional appends.
type ConditionalTopic interface {
	// Snapshot returns the newest record of each key and the end of the topic; errors wrap ErrUnavailable or ErrRestored.
	Snapshot(ctx context.Context) (KeyedBatch, error)
	// Append writes a record if the topic still ends at end, and returns the record's position. The error wraps ErrNotAppended, ErrConflict or
	// ErrUnknown; after ErrUnknown the record may still be written later, as long as the topic ends there.
	Append(ctx context.Context, end Position, key string, value []byte) (Position, error)
}
