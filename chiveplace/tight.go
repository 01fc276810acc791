package chiveplace

import (
	"math"
	"time"

	"chivedrift/chiverequest"
)

// An engine reads a chunk of a long prompt between two tokens of the streams beside it, and an event of a stream holds several tokens:
// a stream beside a long read pauses for several chunks. Streams that promise shorter pauses are kept together on as few engines
// as can take them, and long reads on the others. On virtual time that raised what drafts beside questions attain from 0.77 to
// 0.87 of their worth (examples/experiments); without any separation the questions attain half.

const (
	// chunkTokens is the usual number of prompt tokens that an engine reads between two tokens of the running requests; a read above it
	// is a long one.
	chunkTokens = 2048
	// firstBeside is the first guess at the time of a step that reads a whole chunk, in milliseconds.
	firstBeside = 66.0
	// besideQuantile is the part of the streams beside long reads whose longest pause is no longer than the learnt one; besideStep is the
	// part by which one stream moves it, so that some dozens do.
	besideQuantile = 0.8
	besideStep     = 0.02
	// pauseSafe and pauseSpoiled bound the ramp of the chance to be late by a pause, as the share that the learnt pause has of the promised
	// one. It is learnt where long reads come one at a time, as far as they are kept apart; where they come in a row pauses are twice as
	// long. With a ramp from 0.8 to 1.2 a sixth to a third of the tight streams was late by a pause, with this one 4 to 8 in 100.
	pauseSafe    = 0.3
	pauseSpoiled = 0.5
	// tightChance is the chance to be late by a pause beside a long read from which a stream counts as tight.
	tightChance = 0.1
	// harmTokens is the length of a read that spoils the streams beside it for sure; a shorter one meets fewer of their events. Eight
	// chunks take some 0.4 s at 40 tokens a millisecond.
	harmTokens = 8 * chunkTokens
	// openLoss is the loss for the first tight stream on an engine: from then on long reads keep away from it, so the next ones should join
	// it. On virtual time drafts beside questions attain 0.012 more with 0.3 than with 0.1, and 0.001 more with 0.8.
	openLoss = 0.3
	// longMemory is the time constant in which past long reads fade from the share of time that an engine spends on them.
	longMemory = 2 * time.Second
	// readPart is the part of the learnt time for a token of its own that an engine really reads; the rest are steps for others.
	readPart = 0.55
	// aheadMs is the time of long reads waiting at an engine that makes a tight stream beside them late for sure.
	aheadMs = 300.0
)

// isTight reports whether a long read beside a stream makes its pauses too long.
func (p *Pool) isTight(prompt *chiverequest.Prompt) bool {
	return p.besideChance(prompt.Pause, 1) > tightChance
}

// besideChance is the chance that a stream beside long reads is late by a pause, on an engine of a speed.
func (p *Pool) besideChance(promised time.Duration, speed float64) float64 {
	if promised == 0 {
		return 0
	}
	return ramp(p.besideMs()*speed/float64(promised.Milliseconds()), pauseSafe, pauseSpoiled)
}

// besideMs is the pause of streams beside long reads on an engine of usual speed, in milliseconds.
func (p *Pool) besideMs() float64 {
	if p.beside == 0 {
		return firstBeside * float64(p.engine.TokensPerEvent)
	}
	return p.beside
}

// learnBeside takes the longest pause of a stream beside long reads, in milliseconds at usual speed.
func (p *Pool) learnBeside(ms float64) {
	p.beside = p.besideMs()
	if ms > p.beside {
		p.beside *= 1 + besideStep*besideQuantile
	} else {
		p.beside *= 1 - besideStep*(1-besideQuantile)
	}
}

// disturbed is about the chance that an engine reads something long while a stream runs there: it has lately, or something waits.
func (p *Pool) disturbed(now time.Time, s *candidate) float64 {
	perToken := readPart * p.forecast.own(1) * s.speed()
	lately := s.fadedLong(now) * perToken / float64(longMemory.Milliseconds())
	return min(1, lately+float64(s.longWaiting())*perToken/aheadMs)
}

// pauseLoss is the loss by the pauses of the request's own stream, seen or expected, and by the long reads that it keeps away; disturbed is
// the engine's.
func (c *engineChoice) pauseLoss(now time.Time, s *candidate, disturbed float64) float64 {
	loss := s.latePauses(now, c.prompt.Pause)
	if !c.tight {
		return loss
	}
	loss = max(loss, disturbed*c.pool.besideChance(c.prompt.Pause, s.speed()))
	if s.tight() == 0 {
		loss += openLoss
	}
	return loss
}

// spoiled is how many of the streams that run on an engine a read makes late; those that are late anyway have nothing left to lose.
func (p *Pool) spoiled(s *candidate, tokens int64, disturbed float64) float64 {
	if tokens <= chunkTokens || s.tight() == 0 {
		return 0
	}
	return float64(s.tight()) * (1 - disturbed) * min(1, float64(tokens)/harmTokens) * p.besideChance(p.promise, s.speed())
}

// noteLong counts a long read that begins.
func (s *candidate) noteLong(now time.Time, tokens int64) {
	s.longRead = s.fadedLong(now) + float64(tokens)
	s.longAt = now
}

func (s *candidate) fadedLong(now time.Time) float64 {
	return s.longRead * math.Exp(-now.Sub(s.longAt).Seconds()/longMemory.Seconds())
}
