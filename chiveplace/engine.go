package chiveplace

import (
	"math"
	"time"

	"chivedrift/chiverequest"
)

// The cost of an engine for a request is the loss that is expected there, in requests: being late itself, making others
// late, and reading again what another engine holds. Each term is a rough chance; their order of size is what matters.
const (
	// chunkTokens is the usual number of prompt tokens that an engine reads between two tokens of the running requests.
	chunkTokens = 2048
	// firstRate stands in for the prompt tokens an engine reads in a millisecond until it has been learnt.
	firstRate = 40.0
	// rateMemory is the weight of the newest answer in the learnt rate.
	rateMemory = 0.05
	// stepOverhead is the time of a step beside reading prompts, in milliseconds, on an engine with a few dozen requests.
	stepOverhead = 15.0
	// tightShare is the part of the promised pause that a pause beside a long read may take before a stream counts as tight.
	tightShare = 0.9
	// againPerToken is the loss for a token that is read again although another engine holds it: the platform's price for 20,000
	// tokens is about what one request earns.
	againPerToken = 1.0 / 20000
	// lateFrom and lateTo bound the ramp of the chance to miss the target, as shares of the target: the expected time is off
	// by half in either direction, since other nodes' requests arrive meanwhile.
	lateFrom = 0.35
	lateTo   = 1.3
	// longMemory is the time constant in which past long reads fade from the share of time that an engine spends on them.
	longMemory = 2 * time.Second
	// aheadMs is the time of long reads waiting at an engine that makes a tight stream beside them late for sure.
	aheadMs = 300.0
	// sooner is the loss for a whole target of expected time: among engines that lose nothing the soonest is best.
	sooner = 0.05
	// besideRunning is the loss for each request that runs beside.
	besideRunning = 0.0015
	// offHome is the loss for an engine that is not the home of a part that nobody holds yet, so that nodes which choose at the same
	// moment meet on one engine.
	offHome = 0.1
)

// isTight tells whether a long read beside a stream makes its pauses too long: an event takes several steps, and each step
// then reads a whole chunk.
func (p *Pool) isTight(prompt *chiverequest.Prompt) bool {
	if prompt.Pause == 0 {
		return false
	}
	step := chunkTokens/p.rate + stepOverhead
	return step*float64(p.engine.TokensPerEvent) > tightShare*float64(prompt.Pause.Milliseconds())
}

// engineChoice holds what is the same for all engines in one choice.
type engineChoice struct {
	pool   *Pool
	prompt *chiverequest.Prompt
	tight  bool
	home   *seat
	// held is the number of leading tokens that the best engine holds.
	held int64
}

func (p *Pool) newEngineChoice(seats []*seat, ask Ask) *engineChoice {
	prompt := ask.Prompt
	c := &engineChoice{pool: p, prompt: prompt, tight: p.isTight(prompt), home: homeOf(seats, SharedPart(prompt))}
	for _, s := range p.among(ask) {
		c.held = max(c.held, prompt.Input-s.cache.missing(prompt))
	}
	return c
}

// sampled is how many engines are weighed in a large pool.
const sampled = 12

// sample returns the engines to weigh: in a large pool a dozen drawn at random, and those that hold the most of the prompt.
//
// What nodes know of each other is some tenths of a second old. If all of them weighed all engines, those that decide
// meanwhile would all choose the same best one; one would see its queue jump while others stand idle.
func (c *engineChoice) sample(seats []*seat) []*seat {
	if len(seats) <= sampled {
		return seats
	}
	chosen := make([]*seat, 0, sampled+1)
	for _, s := range seats {
		if s == c.home || (c.held > 0 && c.prompt.Input-s.cache.missing(c.prompt) == c.held) {
			chosen = append(chosen, s)
		}
	}
	for range sampled {
		chosen = append(chosen, seats[c.pool.random.IntN(len(seats))])
	}
	return chosen
}

// cost is the expected loss on one engine.
func (c *engineChoice) cost(now time.Time, s *seat) float64 {
	missing := s.cache.missing(c.prompt)
	expected := c.pool.forecast.first(float64(missing), float64(s.waitingFor(c.prompt.Rank))) * s.speed()
	target := max(float64(c.prompt.Target.Milliseconds()), 1)
	loss := ramp(expected/target, lateFrom, lateTo) + sooner*expected/target
	loss += besideRunning * float64(s.load())
	again := missing - (c.prompt.Input - c.held)
	loss += againPerToken * float64(max(again, 0))
	disturbed := min(1, s.longShare(now, c.pool.rate)+float64(s.longWaiting())/c.pool.rate/aheadMs)
	late := s.pauseLoss(now, c.prompt.Pause)
	if c.tight {
		late = max(late, disturbed)
	}
	loss += late
	if missing > chunkTokens {
		// Streams that are late anyway have nothing left to lose.
		loss += float64(s.tight()) * (1 - disturbed) * min(1, float64(missing)/(4*chunkTokens))
	}
	if c.held == 0 && s != c.home {
		loss += offHome
	}
	return loss + errorLoss*s.errors
}

// ReadingLoss returns the expected loss of reading so many tokens again although another engine holds them, in requests.
func ReadingLoss(tokens int64) float64 { return againPerToken * float64(tokens) }

// errorLoss is the loss for an engine that fails every request.
const errorLoss = 2

func ramp(x, from, to float64) float64 {
	return min(max((x-from)/(to-from), 0), 1)
}

// noteLong counts a long read that begins.
func (s *seat) noteLong(now time.Time, tokens int64) {
	s.longRead = s.fadedLong(now) + float64(tokens)
	s.longAt = now
}

func (s *seat) fadedLong(now time.Time) float64 {
	return s.longRead * math.Exp(-now.Sub(s.longAt).Seconds()/longMemory.Seconds())
}

// longShare is about the share of time that an engine lately spent on long reads.
func (s *seat) longShare(now time.Time, rate float64) float64 {
	return s.fadedLong(now) / rate / float64(longMemory.Milliseconds())
}

// learnRate takes the time to the first event of a request that had to read a lot.
func (p *Pool) learnRate(tokens int64, took time.Duration) {
	if tokens < 2*chunkTokens || took <= 0 {
		return
	}
	seen := float64(tokens) / float64(took.Milliseconds()+1)
	p.rate += rateMemory * (seen - p.rate)
}
