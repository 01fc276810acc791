package chiveconfig

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"

	"chivedrift/chivewire"

	"github.com/vmihailenco/msgpack/v5"
)

// Stream is the name of the log's stream of configuration records.
const Stream = "chivedrift-config"

// Record is one entry of the configuration stream.
//
// A publish names the version it was made from; a checkpoint repeats a version, so that it outlives the log's retention.
type Record struct {
	ID      string
	Kind    RecordKind
	Parent  int64
	Version int64
	Author  string
	AtMs    int64
	Origin  string
	Bundle  Bundle
}

// RecordKind tells publishes from checkpoints.
type RecordKind uint8

const (
	// KindPublish asks for a new version.
	KindPublish RecordKind = 1
	// KindCheckpoint repeats a version that was accepted before.
	KindCheckpoint RecordKind = 2
)

// maxRecordBytes bounds what a record unpacks to, since a few bytes on the log could otherwise fill a node's memory.
const maxRecordBytes = 64 << 20

// Encode lays a record out for the log, compressed: every node reads every record, and at 1,700 teams the text is a third of a megabyte.
func (r Record) Encode() ([]byte, error) {
	var packed bytes.Buffer
	compressor := gzip.NewWriter(&packed)
	if err := msgpack.NewEncoder(compressor).Encode(r); err != nil {
		return nil, fmt.Errorf("configuration: encode record: %w", err)
	}
	if err := compressor.Close(); err != nil {
		return nil, fmt.Errorf("configuration: encode record: %w", err)
	}
	return packed.Bytes(), nil
}

// DecodeRecord reads a record from the log.
func DecodeRecord(data []byte) (Record, error) {
	unpacked, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return Record{}, fmt.Errorf("configuration: record not decodable: %w", err)
	}
	plain, err := io.ReadAll(io.LimitReader(unpacked, maxRecordBytes))
	if err != nil {
		return Record{}, fmt.Errorf("configuration: record not decodable: %w", err)
	}
	var r Record
	if _, err := chivewire.CheckBounds(plain); err != nil {
		return Record{}, fmt.Errorf("configuration: record not decodable: %w", err)
	}
	if err := msgpack.Unmarshal(plain, &r); err != nil {
		return Record{}, fmt.Errorf("configuration: record not decodable: %w", err)
	}
	if r.Kind != KindPublish && r.Kind != KindCheckpoint {
		return Record{}, fmt.Errorf("configuration: record of unknown kind %d", r.Kind)
	}
	return r, nil
}

// Verdict is what the rule of acceptance says of a record.
type Verdict uint8

const (
	// Accepted means that the record made a new version.
	Accepted Verdict = 1
	// Rejected means that the record was made from a version that was no longer the current one.
	Rejected Verdict = 2
	// Repeated means that the record says nothing new: a checkpoint, or a second copy of a publish.
	Repeated Verdict = 3
	// Undecided means that records before this one are missing, so that nobody can judge it here yet.
	Undecided Verdict = 4
)

// History applies the one rule of acceptance in log order, so that all nodes agree on every version without talking.
//
// A reader whose log no longer holds the beginning, or who missed records, cannot judge a publish: it would call the
// winner a loser. Its history has no root until a checkpoint or a peer tells a version; publishes wait for that.
type History struct {
	current  Record
	rooted   bool
	pending  []Record
	outcomes map[string]Outcome
	order    []string
}

// Outcome is what became of a publish.
type Outcome struct {
	Verdict Verdict
	Version int64
	Winner  Record
}

const rememberedOutcomes = 256

// NewHistory returns the history before the first record, at version 0, for a log read from its very beginning.
func NewHistory() *History {
	return &History{rooted: true, outcomes: make(map[string]Outcome)}
}

// Version returns the current version, 0 before the first.
func (h *History) Version() int64 { return h.current.Version }

// Current returns the record of the current version.
func (h *History) Current() Record { return h.current }

// Outcome returns what became of the publish with an identity, as far back as the history remembers.
func (h *History) Outcome(id string) (Outcome, bool) {
	o, ok := h.outcomes[id]
	return o, ok
}

// Rooted reports whether the history can judge a publish.
func (h *History) Rooted() bool { return h.rooted }

// Gap notes that records were missed.
func (h *History) Gap() { h.rooted = false }

// Root takes a version that was accepted by the same rule elsewhere, and judges the publishes that waited for it.
func (h *History) Root(r Record) {
	pending := h.pending
	h.rooted, h.pending = true, nil
	if r.Version > h.current.Version {
		h.current = r
		h.remember(r.Origin, Outcome{Verdict: Accepted, Version: r.Version, Winner: r})
	}
	for i := range pending {
		if pending[i].ID == r.Origin {
			pending = pending[i+1:]
			break
		}
	}
	for _, waiting := range pending {
		h.Apply(waiting)
	}
}

// Apply takes the next record in log order.
//
// A publish is accepted only when its parent is the current version: of two racing operators exactly one wins.
// A checkpoint can raise the version, for a node whose log no longer holds the publish, and can never lower it.
func (h *History) Apply(r Record) Verdict {
	if r.Kind == KindCheckpoint {
		return h.applyCheckpoint(r)
	}
	if _, seen := h.outcomes[r.ID]; seen {
		return Repeated
	}
	if !h.rooted {
		h.pending = append(h.pending, r)
		return Undecided
	}
	if r.Parent != h.current.Version {
		h.remember(r.ID, Outcome{Verdict: Rejected, Version: h.current.Version, Winner: h.current})
		return Rejected
	}
	r.Version = h.current.Version + 1
	r.Origin = r.ID
	h.current = r
	h.remember(r.ID, Outcome{Verdict: Accepted, Version: r.Version, Winner: r})
	return Accepted
}

func (h *History) applyCheckpoint(r Record) Verdict {
	raised := r.Version > h.current.Version
	if raised || !h.rooted {
		h.Root(r)
	}
	if raised {
		return Accepted
	}
	return Repeated
}

func (h *History) remember(id string, o Outcome) {
	if _, seen := h.outcomes[id]; !seen {
		h.order = append(h.order, id)
	}
	h.outcomes[id] = o
	if len(h.order) > rememberedOutcomes {
		delete(h.outcomes, h.order[0])
		h.order = h.order[1:]
	}
}

// Checkpoint returns the record that repeats the current version.
func (h *History) Checkpoint(id string, atMs int64) Record {
	r := h.current
	r.Kind = KindCheckpoint
	r.ID = id
	r.AtMs = atMs
	return r
}
