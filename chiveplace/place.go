package chiveplace

import (
	"time"

	"chivedrift/chivedirectory"
	"chivedrift/chiveresidency"
	"chivedrift/chivetable"
)

// Ending tells how the use of a place ended, as far as it speaks for or against the endpoint.
type Ending uint8

const (
	// EndedWell is an answer that came through whole.
	EndedWell Ending = iota
	// EndedError is an answer by which the endpoint reports a failure of its own.
	EndedError
	// EndedBroken is a connection that failed or an answer that made no sense.
	EndedBroken
	// EndedFull is the endpoint's answer that it has no room.
	EndedFull
	// EndedGone is the answer of another endpoint at the same address.
	EndedGone
	// EndedCaller is a request that was given up for reasons that are not the endpoint's.
	EndedCaller
)

// Place is one request's place on an endpoint.
type Place struct {
	pool      *Pool
	candidate *candidate
	endpoint  chivedirectory.Endpoint
	// domains are the failure domains that the request is limited to.
	domains    chiveresidency.Domains
	began      time.Time
	reason     string
	owner      string
	loss       float64
	nextBest   string
	nextLoss   float64
	candidates int
	// perMs is the loss of later requests for each millisecond that the engine spends.
	perMs float64
	reads int64
	// fetches are the tokens that it fetches from the endpoint at an address.
	fetches   int64
	fetchFrom string
	// input is the length of the prompt; holder is the address of the engine that has read the most of it, held how many leading tokens.
	input  int64
	holder string
	held   int64
	// again are those of them that another engine holds, expected is the predicted time to the first event.
	again    int64
	expected time.Duration
	ahead    int64
	rank     chivetable.Rank
	tight    bool
	// longest is the longest pause between events so far.
	longest time.Duration
	started bool
	ended   bool
}

// weigh takes a candidate when it costs less than the best so far.
func (p *Place) weigh(s *candidate, cost float64) {
	switch {
	case cost < p.loss:
		if p.candidate != nil {
			p.nextBest, p.nextLoss = p.endpoint.ID, p.loss
		}
		p.candidate, p.endpoint, p.loss = s, s.endpoint, cost
	case cost < p.nextLoss:
		p.nextBest, p.nextLoss = s.endpoint.ID, cost
	}
}

// Endpoint returns the endpoint that was chosen.
func (p *Place) Endpoint() chivedirectory.Endpoint { return p.endpoint }

// leftBefore is how long before a time an endpoint has to have left the directory for its end to be planned. Of a process that crashed and restarted
// within moments, nodes learn from the directory just when its connections break.
const leftBefore = time.Second

// Leaving reports whether the endpoint was about to leave at a time, or had left.
func (p *Place) Leaving(at time.Time) bool {
	p.pool.mu.Lock()
	defer p.pool.mu.Unlock()
	s := p.candidate
	return s.endpoint.State == chivedirectory.Leaving || (!s.removed.IsZero() && at.Sub(s.removed) >= leftBefore)
}

// Reason tells by what the endpoint was chosen.
func (p *Place) Reason() string { return p.reason }

// Owner returns the address of the node that granted the place; empty when this node chose.
func (p *Place) Owner() string { return p.owner }

// Candidates returns among how many endpoints it was chosen.
func (p *Place) Candidates() int { return p.candidates }

// Loss returns the expected cost by which the endpoint was chosen, and the next best endpoint with its cost.
func (p *Place) Loss() (loss float64, nextBest string, nextLoss float64) {
	return p.loss, p.nextBest, p.nextLoss
}

// Reads returns how many prompt tokens the endpoint is believed to have to read anew.
func (p *Place) Reads() int64 { return p.reads }

// work is what the engine does until the first event.
func (p *Place) work() work { return work{reads: p.reads, fetches: p.fetches, ahead: p.ahead} }

// FetchFrom returns the address of the endpoint from which the chosen one should fetch the parts that it lacks; empty for none.
func (p *Place) FetchFrom() string { return p.fetchFrom }

// Fetches returns how many tokens that other endpoint is believed to hold beyond the chosen one.
func (p *Place) Fetches() int64 { return p.fetches }

// FetchInstead has the endpoint fetch what another one, at an address, is known to have read of the prompt, where that is worth it and nothing else
// is to be fetched.
//
// A node that grants places knows what its own engines hold. When a request goes elsewhere because they have too much to do, the engine there
// would read again what one of them could hand over.
func (p *Place) FetchInstead(address string, held int64) {
	p.pool.mu.Lock()
	defer p.pool.mu.Unlock()
	fetches := held - (p.input - p.reads)
	if p.started || p.fetchFrom != "" || address == p.endpoint.Address || !p.pool.worthFetching(fetches) || !p.pool.isWithin(address, p.domains) {
		return
	}
	p.candidate.read(p)
	p.fetches, p.fetchFrom = fetches, address
	p.reads -= fetches
	p.candidate.wait(p)
}

// Again returns how many of the tokens to read another endpoint is believed to hold.
func (p *Place) Again() int64 { return p.again }

// Expected returns the predicted time to the first event; 0 for plain services and for places that another node granted.
func (p *Place) Expected() time.Duration { return p.expected }

// Ahead returns how many prompt tokens of requests as urgent or more were believed to wait there before it.
func (p *Place) Ahead() int64 { return p.ahead }

// Event notes an event of the answer that was waited for so long; with the first the prompt has been read.
func (p *Place) Event(now time.Time, waited time.Duration) {
	p.pool.mu.Lock()
	defer p.pool.mu.Unlock()
	p.pool.use(now, p.candidate)
	if p.started {
		p.candidate.notePause(now, waited)
		p.longest = max(p.longest, waited)
	} else {
		p.candidate.learnSpeed(p.pool.forecast.first(p.work()), now.Sub(p.began))
		p.pool.forecast.learn(p.work(), now.Sub(p.began))
	}
	p.begin()
	if p.candidate.dirty {
		p.pool.onChange()
	}
}

func (p *Place) begin() {
	if p.started {
		return
	}
	p.started = true
	p.candidate.read(p)
}

// Eject keeps new requests from the endpoint until a time.
func (p *Place) Eject(until time.Time) {
	p.pool.mu.Lock()
	defer p.pool.mu.Unlock()
	p.pool.use(time.Now(), p.candidate)
	p.candidate.downUntil = until
}

// Done gives the place back and returns for how long the endpoint is passed over now; calls after the first do nothing.
func (p *Place) Done(now time.Time, ending Ending) time.Duration {
	p.pool.mu.Lock()
	defer p.pool.mu.Unlock()
	if p.ended {
		return 0
	}
	p.ended = true
	p.pool.use(now, p.candidate)
	p.begin()
	p.candidate.own--
	if p.tight {
		p.candidate.ownTight--
	}
	if p.longest > 0 && p.candidate.longAt.After(p.began) {
		p.pool.learnBeside(float64(p.longest) / float64(time.Millisecond) / p.candidate.speed())
	}
	p.candidate.dirty = true
	p.pool.onChange()
	switch ending {
	case EndedWell, EndedError:
		p.candidate.answered(now, ending == EndedError, now.Sub(p.began))
	case EndedBroken:
		p.candidate.failed(now)
	case EndedFull:
		p.candidate.full(now)
	case EndedGone:
		p.candidate.downUntil = now.Add(passOverMost)
	case EndedCaller:
	}
	return max(p.candidate.downUntil.Sub(now), 0)
}
