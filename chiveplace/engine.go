package chiveplace

import (
	"slices"
	"time"

	"chivedrift/chiverequest"
)

// The cost of an engine for a request is the loss that is expected there, in requests that miss what their routes promise: the
// request itself by its first event or by its pauses, the streams that run there by theirs, and those that come later by the time
// that is spent on reading what another engine holds. Each term is a chance times a number of requests, so that no term needs a
// weight of its own.
const (
	// lateFrom and lateTo bound the ramp of the chance to miss the target, as shares of the target: predicted times to first events
	// are off by about half in either direction, mostly by what other nodes send meanwhile (spread 77 to 490 ms on virtual
	// time at means of 89 to 1087 ms). A target that is just met by prediction is lost, since news come late, not early.
	lateFrom = 0.5
	lateTo   = 1.0
	// sooner is the loss for a whole target of expected time: among engines that lose nothing the soonest is best.
	sooner = 0.05
	// offHome is the loss for an engine that is not the home of a part that nobody holds yet, so that nodes which choose at the same
	// moment meet on one engine.
	offHome = 0.1
	// errorLoss is the loss for an engine that fails every request.
	errorLoss = 2
)

// engineChoice holds what is the same for all engines in one choice.
type engineChoice struct {
	pool   *Pool
	prompt *chiverequest.Prompt
	// target is the request's in milliseconds.
	target float64
	tight  bool
	home   *candidate
	// held is the number of leading tokens that the best engine holds, or will hold when it has read them.
	held int64
	// holder is the engine that has read the most, and read how many leading tokens that are: others may fetch them.
	holder *candidate
	read   int64
	// perMs is the loss of later requests for each millisecond that an engine spends.
	perMs float64
}

func (p *Pool) newEngineChoice(now time.Time, candidates []*candidate, ask Ask) *engineChoice {
	prompt := ask.Prompt
	c := &engineChoice{
		pool: p, prompt: prompt, target: targetOf(prompt), tight: p.isTight(prompt), home: homeOf(p.homes(candidates, ask), SharedPart(prompt)),
	}
	var others crowd
	for _, s := range p.among(ask) {
		c.noteHeld(now, s, ask)
		others.add(now, &s.demand, p.forecast.waiting(s.waitingTokens())*s.speed())
	}
	c.perMs = others.lossPerMs(c.target)
	return c
}

// noteHeld notes what an engine holds of the prompt.
func (c *engineChoice) noteHeld(now time.Time, s *candidate, ask Ask) {
	c.held = max(c.held, c.prompt.Input-s.cache.missing(c.prompt))
	if now.Before(s.downUntil) || slices.Contains(ask.Exclude, s.incarnation) || !ask.Domains.Contains(s.endpoint.FailureDomain) {
		return
	}
	if read := s.cache.readBy(now, c.prompt); read > c.read {
		c.read, c.holder = read, s
	}
}

const (
	// fetchLeast is the least number of tokens that are fetched: setting up a transfer takes a few milliseconds, as does reading some
	// hundred tokens.
	fetchLeast = 512
	// fetchShare is the part of the time of reading tokens that fetching them may take. Where engines cannot fetch it is learnt to take
	// about as long as reading, and is not tried any more.
	fetchShare = 0.4
	// movedPart is the part of the loss by reading tokens that counts for fetching them: they take room at a second engine and time on
	// the links of both.
	movedPart = 0.5
)

// split tells what an engine would read and fetch of the prompt, and how much of what it reads another one holds.
func (c *engineChoice) split(s *candidate) (reads, fetches, again int64) {
	missing := s.cache.missing(c.prompt)
	fetches = c.read - (c.prompt.Input - missing)
	if c.holder == s || !c.pool.worthFetching(fetches) {
		fetches = 0
	}
	reads = missing - fetches
	return reads, fetches, max(reads-(c.prompt.Input-c.held), 0)
}

// worthFetching reports whether tokens should be fetched from another engine that has read them.
func (p *Pool) worthFetching(tokens int64) bool {
	return tokens >= fetchLeast && p.forecast.fetched(tokens) <= fetchShare*p.forecast.own(float64(tokens))
}

// targetOf returns a request's target in milliseconds.
func targetOf(prompt *chiverequest.Prompt) float64 {
	return max(float64(prompt.Target.Milliseconds()), 1)
}

// sampled is how many engines are weighed in a large pool.
const sampled = 12

// sample returns the engines to weigh: in a large pool a dozen drawn at random, and those that hold the most of the prompt.
//
// What nodes know of each other is some tenths of a second old. If all of them weighed all engines, those that decide
// meanwhile would all choose the same best one; one would see its queue jump while others stand idle.
func (c *engineChoice) sample(candidates []*candidate) []*candidate {
	if len(candidates) <= sampled {
		return candidates
	}
	chosen := make([]*candidate, 0, sampled+1)
	for _, s := range candidates {
		if s == c.home || (c.held > 0 && c.prompt.Input-s.cache.missing(c.prompt) == c.held) {
			chosen = append(chosen, s)
		}
	}
	for range sampled {
		chosen = append(chosen, candidates[c.pool.random.IntN(len(candidates))])
	}
	return chosen
}

// cost is the expected loss on one engine.
func (c *engineChoice) cost(now time.Time, s *candidate) float64 {
	reads, fetches, again := c.split(s)
	first := c.pool.forecast.first(work{reads: reads, fetches: fetches, ahead: s.waitingFor(c.prompt.Rank)}) * s.speed()
	loss := ramp(first/c.target, lateFrom, lateTo) + sooner*first/c.target
	disturbed := c.pool.disturbed(now, s)
	loss += c.pauseLoss(now, s, disturbed)
	loss += c.pool.spoiled(s, reads, disturbed)
	loss += c.againLoss(s, fetches, again)
	if c.held == 0 && s != c.home {
		loss += offHome
	}
	return loss + errorLoss*s.errors
}

// againLoss is the loss of later requests by the time that an engine spends on what another one holds.
func (c *engineChoice) againLoss(s *candidate, fetches, again int64) float64 {
	loss := c.perMs * c.pool.forecast.own(float64(again)+movedPart*float64(fetches)) * s.speed()
	if s.cache.isFull(again + fetches) {
		// What is read takes the place of as much that others would have found, and that is read again in its turn.
		loss *= 2
	}
	return loss
}

func ramp(x, from, to float64) float64 {
	return min(max((x-from)/(to-from), 0), 1)
}
