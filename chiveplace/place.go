package chiveplace

import (
	"time"

	"chivedrift/chivedirectory"
	"chivedrift/chiveresidency"
	"chivedrift/chivetable"
)

// Ending is how a request on an endpoint ended, as far as that says something about the endpoint.
type Ending uint8

const (
	// EndedWell is a complete answer.
	EndedWell Ending = iota
	// EndedError is an answer in which the endpoint reports an error of its own.
	EndedError
	// EndedBroken is a failed connection or an invalid answer.
	EndedBroken
	// EndedFull is a refusal by the endpoint for lack of capacity.
	EndedFull
	// EndedGone is an answer from a different endpoint that now has the same address.
	EndedGone
	// EndedCaller is a request that was abandoned for reasons that do not concern the endpoint.
	EndedCaller
)

// Place is the placement of one request on an endpoint. It counts towards the load of the endpoint until Done is
// called.
type Place struct {
	pool      *Pool
	candidate *candidate
	endpoint  chivedirectory.Endpoint
	// domains are the failure domains that the request is limited to.
	domains        chiveresidency.Domains
	startedAt      time.Time
	reason         string
	owner          string
	loss           float64
	nextBest       string
	nextLoss       float64
	candidateCount int
	// lossPerMs is the expected number of later requests that miss their target, for each millisecond of engine time.
	lossPerMs     float64
	prefillTokens int64
	// fetchTokens is the number of prompt tokens that the engine fetches from the cache of the endpoint at fetchFrom.
	fetchTokens int64
	fetchFrom   string
	// promptTokens is the length of the prompt. holderAddress is the address of the engine that has computed the
	// longest prefix of it, holderTokens the length of that prefix.
	promptTokens  int64
	holderAddress string
	holderTokens  int64
	// recomputeTokens is the part of prefillTokens that another engine has cached. expectedTTFT is the predicted time
	// to the first event.
	recomputeTokens int64
	expectedTTFT    time.Duration
	crossing        Crossing
	// way is the round trip between regions that is part of the time to the first event.
	way              time.Duration
	queuedAhead      int64
	rank             chivetable.Rank
	latencySensitive bool
	// maxPause is the longest pause between events so far.
	maxPause  time.Duration
	prefilled bool
	done      bool
}

// consider selects a candidate if it costs less than the best one so far, and keeps track of the second best.
func (p *Place) consider(cand *candidate, cost float64) {
	switch {
	case cost < p.loss:
		if p.candidate != nil {
			p.nextBest, p.nextLoss = p.endpoint.ID, p.loss
		}
		p.candidate, p.endpoint, p.loss = cand, cand.endpoint, cost
	case cost < p.nextLoss:
		p.nextBest, p.nextLoss = cand.endpoint.ID, cost
	}
}

// Endpoint returns the chosen endpoint.
func (p *Place) Endpoint() chivedirectory.Endpoint { return p.endpoint }

// minPlannedLeave is how long an endpoint must have been gone from the directory for its end to count as planned. When
// a process crashes and restarts at once, the directory changes at about the same time as its connections break.
const minPlannedLeave = time.Second

// Leaving reports whether, at the given time, the endpoint was leaving or had left as planned.
func (p *Place) Leaving(at time.Time) bool {
	p.pool.mu.Lock()
	defer p.pool.mu.Unlock()
	cand := p.candidate
	return cand.endpoint.State == chivedirectory.Leaving || p.pool.notices[cand.incarnation].isLeaving() || (!cand.removedAt.IsZero() && at.Sub(cand.removedAt) >= minPlannedLeave)
}

// Accepts reports whether the endpoint has not said since it was chosen that it is leaving or wants no requests now, and
// its failure domain has not been evacuated.
func (p *Place) Accepts(now time.Time) bool {
	p.pool.mu.Lock()
	defer p.pool.mu.Unlock()
	n := p.pool.notices[p.candidate.incarnation]
	return !n.isLeaving() && !n.isResting(now) && !p.pool.isEvacuated(p.candidate)
}

// Reason returns the criterion by which the endpoint was chosen.
func (p *Place) Reason() string { return p.reason }

// Owner returns the address of the node that granted the place; empty if this node chose the endpoint itself.
func (p *Place) Owner() string { return p.owner }

// Candidates returns the number of endpoints that the choice was made from.
func (p *Place) Candidates() int { return p.candidateCount }

// Loss returns the cost of the chosen endpoint, and the second best endpoint with its cost.
func (p *Place) Loss() (loss float64, nextBest string, nextLoss float64) {
	return p.loss, p.nextBest, p.nextLoss
}

// Reads returns how many prompt tokens the engine is expected to prefill because it does not have them cached.
func (p *Place) Reads() int64 { return p.prefillTokens }

// prefillWork returns the work of the engine until the first event.
func (p *Place) prefillWork() prefillWork {
	return prefillWork{prefillTokens: p.prefillTokens, fetchTokens: p.fetchTokens, queuedAhead: p.queuedAhead}
}

// FetchFrom returns the address of the endpoint from whose cache the chosen one should fetch prompt parts; empty for
// none.
func (p *Place) FetchFrom() string { return p.fetchFrom }

// Fetches returns how many prompt tokens the chosen endpoint should fetch from there.
func (p *Place) Fetches() int64 { return p.fetchTokens }

// FetchInstead makes the engine fetch cached parts of the prompt from another endpoint instead of prefilling them. The
// other endpoint, at the given address, has the first held tokens of the prompt cached. Nothing changes after the first
// event, if the transfer does not pay off, if another fetch is planned already or if that endpoint is outside the
// allowed failure domains or in an evacuated one.
//
// A node that grants places knows what its own engines have cached. When they are overloaded and the request goes to an
// engine elsewhere, that engine would otherwise recompute tokens that one of them can transfer.
func (p *Place) FetchInstead(address string, held int64) {
	p.pool.mu.Lock()
	defer p.pool.mu.Unlock()
	fetchTokens := held - (p.promptTokens - p.prefillTokens)
	if p.prefilled || p.fetchFrom != "" || address == p.endpoint.Address || fetchTokens < minFetchTokens || !p.pool.mayFetchFrom(address, p.domains) {
		return
	}
	way := p.pool.wayFrom(address, p.candidate)
	if !p.pool.worthFetching(fetchTokens, way) {
		return
	}
	p.way += way
	p.candidate.removeQueued(p)
	p.fetchTokens, p.fetchFrom = fetchTokens, address
	p.prefillTokens -= fetchTokens
	p.candidate.addQueued(p)
}

// Again returns how many of the tokens to prefill are believed to be cached by another endpoint.
func (p *Place) Again() int64 { return p.recomputeTokens }

// Expected returns the predicted time to the first event; 0 for plain services and for places granted by another node.
func (p *Place) Expected() time.Duration { return p.expectedTTFT }

// Ahead returns how many prompt tokens of requests of the same or a higher rank were believed to be queued there before
// it.
func (p *Place) Ahead() int64 { return p.queuedAhead }

// Event records an event of the answer and the pause before it. The first event means that the prompt has been
// prefilled; it updates the TTFT prediction.
func (p *Place) Event(now time.Time, pause time.Duration) {
	p.pool.mu.Lock()
	defer p.pool.mu.Unlock()
	p.pool.ensureRecord(now, p.candidate)
	if p.prefilled {
		p.candidate.recordPause(now, pause)
		p.maxPause = max(p.maxPause, pause)
	} else {
		p.learnTTFT(now.Sub(p.startedAt))
	}
	p.markPrefilled()
	if p.candidate.dirty {
		p.pool.onChange()
	}
}

// withoutWay returns how long an endpoint took, from the time that this node waited. It fails if the way is assumed, or
// takes all of the time: the endpoint would appear to need none.
func (p *Place) withoutWay(waited time.Duration) (took time.Duration, ok bool) {
	if p.way == 0 {
		return waited, true
	}
	return waited - p.way, waited > p.way && p.pool.distances.IsKnown(p.endpoint.FailureDomain)
}

// learnTTFT updates the predictions with the time that this node waited for the first event.
func (p *Place) learnTTFT(waited time.Duration) {
	took, ok := p.withoutWay(waited)
	if !ok {
		return
	}
	p.candidate.updateSlowdown(p.pool.ttft.predict(p.prefillWork()), took)
	p.pool.ttft.update(p.prefillWork(), took)
}

// learnResponseTime updates the averages with the time that this node waited for a response.
func (p *Place) learnResponseTime(now time.Time) {
	took, ok := p.withoutWay(now.Sub(p.startedAt))
	if !ok {
		return
	}
	p.candidate.recordResponseTime(now, took)
	p.pool.responseTime += poolResponseTimeWeight * (took.Seconds() - p.pool.responseTime)
}

func (p *Place) markPrefilled() {
	if p.prefilled {
		return
	}
	p.prefilled = true
	p.candidate.removeQueued(p)
}

// Eject keeps new requests away from the endpoint until the given time.
func (p *Place) Eject(until time.Time) {
	p.pool.mu.Lock()
	defer p.pool.mu.Unlock()
	p.pool.ensureRecord(time.Now(), p.candidate)
	p.candidate.ejectedUntil = until
}

// Done releases the place and returns for how long the endpoint is ejected from now on. Calls after the first do
// nothing.
func (p *Place) Done(now time.Time, ending Ending) time.Duration {
	p.pool.mu.Lock()
	defer p.pool.mu.Unlock()
	if p.done {
		return 0
	}
	p.done = true
	p.pool.ensureRecord(now, p.candidate)
	p.markPrefilled()
	p.candidate.ownRequests--
	if p.latencySensitive {
		p.candidate.ownSensitive--
	}
	if p.maxPause > 0 && p.candidate.longPrefillAt.After(p.startedAt) {
		p.pool.updatePrefillPause(float64(p.maxPause) / float64(time.Millisecond) / p.candidate.slowdown())
	}
	p.candidate.dirty = true
	p.pool.onChange()
	p.candidate.errorRate = p.pool.errorRate(now, p.candidate)
	switch ending {
	case EndedWell, EndedError:
		p.candidate.recordResponse(now, ending == EndedError)
		p.learnResponseTime(now)
	case EndedBroken:
		p.candidate.recordFailure(now)
	case EndedFull:
		p.candidate.recordFull(now)
	case EndedGone:
		p.candidate.recordGone(now)
	case EndedCaller:
	}
	return max(p.candidate.ejectedUntil.Sub(now), 0)
}
