package chiverequest

import (
	"time"

	"chivedrift/chivetable"

	"github.com/cespare/xxhash/v2"
)

// Part is a section of a prompt that other requests may share, so that an engine may have it cached.
type Part struct {
	// ID identifies the part's text together with all text before it.
	ID     uint64
	Tokens int64
}

// PartID returns the ID of a part: a hash of its name.
func PartID(name string) uint64 { return xxhash.Sum64String(name) }

// Prompt describes a model request before it runs; the zero value describes a request without a prompt.
type Prompt struct {
	Model string
	// Parts are in the order of the prompt; an engine can reuse a cached part only if it also holds all parts before
	// it.
	Parts []Part
	// Names are the callers' names of the parts; they are not sent to other nodes.
	Names []string
	// Input is the number of input tokens.
	Input int64
	// MostOutput is the maximum number of output tokens, HintedOutput the caller's estimate of their number.
	MostOutput   int64
	HintedOutput int64
	// Pause is the longest pause between events that meets the latency target; zero if there is no such target.
	Pause time.Duration
	// Target is the longest time to the first event that meets the latency target.
	Target time.Duration
	// Rank is the request's priority rank in its pool. Urgent is the shortest Target of the pool's routes that are at
	// least as urgent.
	Rank   chivetable.Rank
	Urgent time.Duration
}
