package chiveplace

import (
	"math"
	"time"

	"chivedrift/chiverequest"
)

// An engine prefills a chunk of a long prompt between two tokens of the streams that run beside it. An event of a
// stream holds several tokens, so a stream beside a long prefill pauses for several chunks. Streams whose routes
// promise shorter pauses are latency-sensitive: they are placed together on as few engines as possible, and long
// prefills on the others. In simulations on virtual time (examples/experiments) this raised what drafts that run beside
// questions attain from 0.77 to 0.87 of their worth; without any separation the questions attain half.

const (
	// prefillChunkTokens is the usual number of prompt tokens that an engine prefills between two tokens of the running
	// requests. A prefill of more tokens counts as long.
	prefillChunkTokens = 2048
	// initialChunkMs is the initial estimate of the time of an engine step that prefills a whole chunk.
	initialChunkMs = 66.0
	// prefillPauseQuantile is the quantile of the longest pause of streams beside long prefills that is estimated.
	// prefillPauseStep is the relative step of the estimate for each stream, so that it follows a change within some
	// dozens of streams.
	prefillPauseQuantile = 0.8
	prefillPauseStep     = 0.02
	// prefillPauseRampStart and prefillPauseRampEnd are the ratios of the estimated to the promised pause at which the
	// chance to be late rises from 0 and reaches 1. The pause is measured where long prefills come one at a time, as
	// far as streams are separated from them; where they follow each other, pauses are twice as long. With a ramp from
	// 0.8 to 1.2, a sixth to a third of the latency-sensitive streams were late by a pause; with this one, 4 to 8 in
	// 100.
	prefillPauseRampStart = 0.3
	prefillPauseRampEnd   = 0.5
	// sensitiveThreshold is the chance to be late by a pause beside a long prefill above which a stream is
	// latency-sensitive.
	sensitiveThreshold = 0.1
	// certainDelayTokens is the length of a prefill that makes latency-sensitive streams beside it late with certainty;
	// a shorter one delays fewer of their events. Eight chunks take about 0.4 s at 40 tokens a millisecond.
	certainDelayTokens = 8 * prefillChunkTokens
	// newSensitiveEngineLoss is the loss for the first latency-sensitive stream on an engine, and for one from another
	// region. Long prefills avoid that engine from then on, so later streams of its region should join it. On virtual time, drafts beside questions attain 0.012 more
	// with 0.3 than with 0.1, and 0.001 more with 0.8.
	newSensitiveEngineLoss = 0.3
	// longPrefillDecay is the time constant of the decaying sum of long prefills on an engine.
	longPrefillDecay = 2 * time.Second
	// prefillTimeShare is the part of the learnt time per prefill token that an engine spends on that prefill; in the
	// rest it runs steps for other requests.
	prefillTimeShare = 0.55
	// certainDelayQueueMs is the prefill time of queued long prompts from which a latency-sensitive stream beside them
	// is expected to be late with certainty.
	certainDelayQueueMs = 300.0
)

// isLatencySensitive reports whether long prefills on the same engine would delay the request's stream too often.
func (p *Pool) isLatencySensitive(prompt *chiverequest.Prompt) bool {
	return p.prefillDelayChance(prompt.Pause, 1) > sensitiveThreshold
}

// prefillDelayChance is the chance that a stream with a promised longest pause is late by a pause when it runs beside
// long prefills on an engine with the given slowdown.
func (p *Pool) prefillDelayChance(maxPause time.Duration, slowdown float64) float64 {
	if maxPause == 0 {
		return 0
	}
	return ramp(p.expectedPrefillPauseMs()*slowdown/float64(maxPause.Milliseconds()), prefillPauseRampStart, prefillPauseRampEnd)
}

// expectedPrefillPauseMs is the expected longest pause of a stream beside long prefills on an engine of average speed.
func (p *Pool) expectedPrefillPauseMs() float64 {
	if p.prefillPauseMs == 0 {
		return initialChunkMs * float64(p.engine.TokensPerEvent)
	}
	return p.prefillPauseMs
}

// updatePrefillPause updates the estimate with the longest pause of a stream beside long prefills, in milliseconds on
// an engine of average speed.
func (p *Pool) updatePrefillPause(ms float64) {
	p.prefillPauseMs = p.expectedPrefillPauseMs()
	if ms > p.prefillPauseMs {
		p.prefillPauseMs *= 1 + prefillPauseStep*prefillPauseQuantile
	} else {
		p.prefillPauseMs *= 1 - prefillPauseStep*(1-prefillPauseQuantile)
	}
}

// longPrefillChance estimates the chance that a stream on the engine runs beside a long prefill, from recent and queued
// long prefills.
func (p *Pool) longPrefillChance(now time.Time, cand *candidate) float64 {
	perToken := prefillTimeShare * p.ttft.prefillMs(1) * cand.slowdown()
	recent := cand.decayedLongPrefill(now) * perToken / float64(longPrefillDecay.Milliseconds())
	return min(1, recent+float64(cand.longQueuedTokens())*perToken/certainDelayQueueMs)
}

// pauseLoss is the expected loss from the pauses of the request's own stream, as measured on the engine or as expected
// from long prefills, and from long prefills that a latency-sensitive stream displaces. longPrefill is the result of
// longPrefillChance.
func (c *engineChoice) pauseLoss(now time.Time, cand *candidate, longPrefill float64) float64 {
	loss := cand.latePauseChance(now, c.prompt.Pause)
	if !c.latencySensitive {
		return loss
	}
	loss = max(loss, longPrefill*c.pool.prefillDelayChance(c.prompt.Pause, cand.slowdown()))
	if cand.sensitiveStreams() == 0 || (len(c.near) > 0 && c.pool.wayTo(c.ask, cand) > 0) {
		loss += newSensitiveEngineLoss
	}
	return loss
}

// delayedStreams is the expected number of latency-sensitive streams on an engine that a prefill makes late. Those that
// other long prefills make late anyway do not count.
func (p *Pool) delayedStreams(cand *candidate, tokens int64, longPrefill float64) float64 {
	if tokens <= prefillChunkTokens || cand.sensitiveStreams() == 0 {
		return 0
	}
	return float64(cand.sensitiveStreams()) * (1 - longPrefill) * min(1, float64(tokens)/certainDelayTokens) * p.prefillDelayChance(p.sensitivePause, cand.slowdown())
}

// addLongPrefill adds a new long prefill to the decaying sum.
func (c *candidate) addLongPrefill(now time.Time, tokens int64) {
	c.longPrefillTokens = c.decayedLongPrefill(now) + float64(tokens)
	c.longPrefillAt = now
}

func (c *candidate) decayedLongPrefill(now time.Time) float64 {
	return c.longPrefillTokens * math.Exp(-now.Sub(c.longPrefillAt).Seconds()/longPrefillDecay.Seconds())
}
