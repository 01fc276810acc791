package chiverequest

import (
	"time"

	"chivedrift/chivetable"

	"github.com/cespare/xxhash/v2"
)

// Part is one piece of a prompt that other requests may share.
type Part struct {
	// ID names the part's text together with all that comes before it.
	ID     uint64
	Tokens int64
}

// PartID shortens a part's name to the number that caches are kept by.
func PartID(name string) uint64 { return xxhash.Sum64String(name) }

// Prompt is what is known of a model request before it runs; the zero value is a request without a prompt.
type Prompt struct {
	Model string
	// Parts are the pieces in order; an engine can only reuse a part if it holds all before it.
	Parts []Part
	// Input is the number of tokens in, MostOutput the most that may come out, HintedOutput the caller's own guess.
	Input        int64
	MostOutput   int64
	HintedOutput int64
	// Pause is the longest pause between events that is still on time; zero where none is promised.
	Pause time.Duration
	// Target is the time to the first event that is still on time.
	Target time.Duration
	// Rank is the request's rank among those that go to the same pool; Urgent is the shortest target of the routes there that are as
	// urgent or more.
	Rank   chivetable.Rank
	Urgent time.Duration
}
