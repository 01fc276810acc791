package chiveplace

import (
	"time"

	"chivedrift/chivedirectory"
	"chivedrift/chivetable"
)

const (
	// passOverFirst is how long an endpoint is passed over after a broken connection; it doubles with each further
	// one up to passOverMost. A crashed process is back, or its entry gone, within a few seconds.
	passOverFirst = 300 * time.Millisecond
	passOverMost  = 4 * time.Second
	// fullFor is how long an endpoint that refused for lack of room is passed over: a few of its steps.
	fullFor = 100 * time.Millisecond
	// errorMemory is the weight of the newest answer in the running share of errors.
	errorMemory = 0.08
	// tookMemory is the weight of the newest answer in the running time to an answer.
	tookMemory = 0.2
	// forgetTook is the half-life after which an endpoint's slowness is half forgotten, so that it is tried again.
	forgetTook = 3 * time.Second
)

// candidate is one incarnation of an endpoint.
type candidate struct {
	endpoint chivedirectory.Endpoint
	// incarnation names the start of the endpoint's process that the record is of.
	incarnation string
	// hash is that of the endpoint's id, which stays with the next start: what it is to hold is drawn by it.
	hash uint64
	// started means that the endpoint started while this node was running, so that its cache was empty then.
	started bool
	// asked means that the endpoint was asked what its cache holds.
	asked bool
	// warming is nil for an endpoint that does not warm up.
	warming *warming
	// The record is that of the pool for endpoints without requests until the first request or report: most nodes of a large fleet never have
	// to do with most endpoints.
	*record
}

// record is what one node knows of a candidate by its own requests and by the reports of other nodes.
type record struct {
	// removed is when the endpoint left the directory; zero while it is there.
	removed time.Time
	// lastUsed is when the record last came into use.
	lastUsed time.Time
	// own and ownWaiting are this node's requests there, and the prompt tokens of those that have not begun to answer.
	own        int
	ownWaiting byRank
	// others and othersWaiting are the same of all other nodes, as last heard.
	others        int
	othersWaiting byRank
	byNode        map[string]Load
	// Of these, tight are the streams whose pauses a long read beside them spoils, and long the prompt tokens of long reads.
	ownTight    int
	othersTight int
	ownLong     int64
	othersLong  int64
	longRead    float64
	longAt      time.Time
	// dirty tells that the other nodes have not been told of the last change.
	dirty bool

	failures  int
	downUntil time.Time
	errors    float64
	took      float64
	tookAt    time.Time
	cache     *cache
	demand    demand
	// slower is the running share of the predicted time to a first event that this engine takes; 0 until one is known.
	slower float64
	// pause is the running pause between events of this node's streams there; told is what the other nodes were told of it, and
	// heard what they tell.
	pause fading
	told  time.Duration
	heard fading
}

func newRecord(cacheTokens int64) *record {
	return &record{cache: newCache(cacheTokens), byNode: make(map[string]Load)}
}

// isIdle reports whether nothing is under way at the endpoint and nothing keeps requests from it.
func (r *record) isIdle(now time.Time) bool {
	return r.own == 0 && r.others == 0 && len(r.byNode) == 0 && !r.dirty && now.After(r.downUntil)
}

func (s *candidate) load() int { return s.own + s.others }

// waitingTokens returns the prompt tokens that wait there in all.
func (s *candidate) waitingTokens() int64 { return s.ownWaiting.total() + s.othersWaiting.total() }

// waitingFor returns the prompt tokens that the engine reads before those of a new request of a rank.
func (s *candidate) waitingFor(rank chivetable.Rank) int64 {
	return s.ownWaiting.upTo(rank) + s.othersWaiting.upTo(rank)
}

func (s *candidate) tight() int         { return s.ownTight + s.othersTight }
func (s *candidate) longWaiting() int64 { return s.ownLong + s.othersLong }

// begin counts what a new request adds.
func (s *candidate) begin(now time.Time, place *Place) {
	s.demand.note(now, place.pool.forecast.own(float64(place.reads))*s.speed())
	if place.tight {
		s.ownTight++
	}
	s.wait(place)
	if place.reads > chunkTokens {
		s.noteLong(now, place.reads)
	}
}

// wait counts that a request's prompt waits to be read.
func (s *candidate) wait(place *Place) {
	s.ownWaiting = s.ownWaiting.add(place.rank, place.reads)
	if place.reads > chunkTokens {
		s.ownLong += place.reads
	}
	s.dirty = true
}

// read counts that a request's prompt has been read.
func (s *candidate) read(place *Place) {
	s.ownWaiting = s.ownWaiting.add(place.rank, -place.reads)
	if place.reads > chunkTokens {
		s.ownLong -= place.reads
	}
	s.dirty = true
}

// speed returns the factor on predicted times at this engine.
func (s *candidate) speed() float64 {
	if s.slower == 0 {
		return 1
	}
	return s.slower
}

// speedMemory is the weight of the newest first event in an engine's speed.
const speedMemory = 0.1

// learnSpeed takes a predicted and an actual time to a first event.
func (s *candidate) learnSpeed(predicted float64, took time.Duration) {
	seen := min(max(float64(took)/float64(time.Millisecond)/predicted, 0.3), 3)
	s.slower = s.speed() + speedMemory*(seen-s.speed())
}

func (s *candidate) usable(now time.Time) bool {
	return s.endpoint.State == chivedirectory.Ready && !now.Before(s.downUntil)
}

func (s *candidate) failed(now time.Time) {
	s.downUntil = now.Add(min(passOverFirst<<min(s.failures, 10), passOverMost))
	s.failures++
	s.errors += errorMemory * (1 - s.errors)
}

func (s *candidate) full(now time.Time) {
	s.downUntil = now.Add(fullFor)
}

// answered notes an answer: whether it was an error of the endpoint's own, and how long it took.
func (s *candidate) answered(now time.Time, isError bool, took time.Duration) {
	s.failures = 0
	share := 0.0
	if isError {
		share = 1
	}
	s.errors += errorMemory * (share - s.errors)
	if s.took == 0 {
		s.took = took.Seconds()
	} else {
		s.took += tookMemory * (took.Seconds() - s.took)
	}
	s.tookAt = now
}

// slowness is the running time to an answer, which fades towards the pool's usual time.
func (s *candidate) slowness(now time.Time, usual float64) float64 {
	if s.took == 0 {
		return usual
	}
	age := now.Sub(s.tookAt).Seconds() / forgetTook.Seconds()
	keep := 1 / (1 + age)
	return usual + (s.took-usual)*keep
}
