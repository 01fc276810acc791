package chiveclaim

import (
	"fmt"
	"strconv"

	"chivedrift/chivewire"

	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"
)

// Slots is the number of streams that keys are spread over; it never changes, since a key would change its stream.
const Slots = 64

// KeepBodyBytes is the largest answer that an outcome record repeats.
const KeepBodyBytes = 16 << 10

// Entry is a claim of a key by one request, or the outcome that its holder found.
type Entry struct {
	Kind    EntryKind
	Key     string
	Request string
	Holder  string
	AtMs    int64
	Outcome Outcome
}

// EntryKind tells claims from outcomes.
type EntryKind uint8

const (
	// KindClaim claims a key for a request.
	KindClaim EntryKind = 1
	// KindOutcome tells how the claimed request ended.
	KindOutcome EntryKind = 2
)

// Outcome is how a claimed request ended; Freed means that it certainly did not run, so that the key may be claimed again.
type Outcome struct {
	Freed       bool
	Word        string
	Status      int
	ContentType string
	Body        []byte
	BodyLeftOut bool
}

// batch is one record on the log.
type batch struct {
	Entries []Entry
}

func encodeBatch(entries []Entry) ([]byte, error) {
	data, err := msgpack.Marshal(batch{entries})
	if err != nil {
		return nil, fmt.Errorf("claims: encode: %w", err)
	}
	return data, nil
}

func decodeBatch(data []byte) ([]Entry, error) {
	b, err := chivewire.Decode[batch](data)
	if err != nil {
		return nil, fmt.Errorf("claims: decode: %w", err)
	}
	return b.Entries, nil
}

// KeyOf scopes a caller's key to its team and pool, so that two teams never meet under one key.
func KeyOf(team, pool, key string) string {
	return team + "\x00" + pool + "\x00" + key
}

// SlotOf returns the slot of a key.
func SlotOf(key string) int {
	return int(xxhash.Sum64String(key) % Slots)
}

// StreamOf returns the name of a slot's stream.
func StreamOf(slot int) string {
	return "chivedrift-claims-" + strconv.Itoa(slot)
}
