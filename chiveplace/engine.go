package chiveplace

import (
	"slices"
	"time"

	"chivedrift/chiverequest"
)

// The cost of an engine for a request is its expected loss: the expected number of requests that miss what their routes
// promise. These are the request itself, by its first event or by its pauses; the streams on the engine, by their
// pauses; and later requests, by the time that the engine spends on recomputing what another engine has cached. Each
// term is a probability times a number of requests, so no term needs a weight of its own.
const (
	// ttftRampStart and ttftRampEnd are the ratios of predicted TTFT to its target at which the chance to miss the
	// target rises from 0 and reaches 1. Predictions are off by about half in either direction, mostly because of
	// requests that other nodes send meanwhile (spread of 77 to 490 ms at means of 89 to 1087 ms, on virtual time). A
	// target that the prediction just meets counts as missed, since reports of load arrive late.
	ttftRampStart = 0.5
	ttftRampEnd   = 1.0
	// ttftTieBreakLoss is the loss for a predicted TTFT as long as the target: among engines without any other loss the
	// fastest wins.
	ttftTieBreakLoss = 0.05
	// nonHomeLoss is the loss for an engine that is not the home of a part that no engine has cached yet, so that nodes
	// that choose at the same moment send the part to the same engine.
	nonHomeLoss = 0.1
	// errorRateLoss is the loss for an engine with an error rate of 1.
	errorRateLoss = 2
)

// engineChoice holds the values that are the same for all engines in one choice.
type engineChoice struct {
	pool   *Pool
	prompt *chiverequest.Prompt
	ask    Ask
	// targetMs is the TTFT target of the request.
	targetMs         float64
	latencySensitive bool
	home             *candidate
	// near are the candidates in the region that the request comes from; nil in a deployment that lies in one region.
	near []*candidate
	// cachedTokens is the length of the longest prefix of the prompt that an engine has cached, or will have once it
	// has prefilled it.
	cachedTokens int64
	// holder is the engine that has prefilled the longest prefix so far, holderTokens the length of that prefix. Other
	// engines may fetch it from there.
	holder       *candidate
	holderTokens int64
	// lossPerMs is the expected number of later requests that miss their target, for each millisecond of engine time.
	lossPerMs float64
}

func (p *Pool) newEngineChoice(now time.Time, candidates []*candidate, ask Ask) *engineChoice {
	prompt := ask.Prompt
	c := &engineChoice{
		pool: p, prompt: prompt, ask: ask, targetMs: ttftTargetMs(prompt), latencySensitive: p.isLatencySensitive(prompt), near: p.candidatesNear(candidates, ask),
	}
	c.home = homeOf(p.homes(candidates, c.near, ask), SharedPart(prompt))
	var demand groupDemand
	for _, cand := range p.allowedCandidates(ask) {
		c.addCached(now, cand, ask)
		demand.add(now, &cand.demand, p.ttft.queuedMs(cand.queuedTokens())*cand.slowdown())
	}
	c.lossPerMs = demand.lossPerMs(c.targetMs)
	return c
}

// addCached takes into account what an engine has cached of the prompt.
func (c *engineChoice) addCached(now time.Time, cand *candidate, ask Ask) {
	c.cachedTokens = max(c.cachedTokens, c.prompt.Input-cand.cache.missingTokens(c.prompt))
	if now.Before(cand.ejectedUntil) || slices.Contains(ask.Exclude, cand.incarnation) || c.pool.isEvacuated(cand) || !ask.Domains.Contains(cand.endpoint.FailureDomain) {
		return
	}
	if tokens := cand.cache.availableTokens(now, c.prompt); tokens > c.holderTokens {
		c.holderTokens, c.holder = tokens, cand
	}
}

const (
	// minFetchTokens is the least number of tokens to fetch: setting up a transfer takes a few milliseconds, as does a
	// prefill of some hundred tokens.
	minFetchTokens = 512
	// maxFetchTimeShare is the largest ratio of fetch time to prefill time at which tokens are fetched. Where engines
	// cannot fetch, the learnt fetch time approaches the prefill time, and fetches stop.
	maxFetchTimeShare = 0.4
	// fetchLossShare is the share of the recompute loss that counts for fetched tokens: they take memory on a second
	// engine and time on the links of both.
	fetchLossShare = 0.5
)

// splitPrompt returns how many tokens of the prompt an engine would prefill and fetch, and how many of those to prefill
// another engine has cached.
func (c *engineChoice) splitPrompt(cand *candidate) (prefill, fetch, recompute int64) {
	missing := cand.cache.missingTokens(c.prompt)
	fetch = c.holderTokens - (c.prompt.Input - missing)
	if fetch < minFetchTokens || c.holder == cand || !c.pool.worthFetching(fetch, c.pool.between(c.holder, cand)) {
		fetch = 0
	}
	prefill = missing - fetch
	return prefill, fetch, max(prefill-(c.prompt.Input-c.cachedTokens), 0)
}

// worthFetching reports whether to fetch tokens from another engine that has them cached, at a round trip between the two.
func (p *Pool) worthFetching(tokens int64, way time.Duration) bool {
	return tokens >= minFetchTokens && p.ttft.fetchMs(tokens)+milliseconds(way) <= maxFetchTimeShare*p.ttft.prefillMs(float64(tokens))
}

// ttftTargetMs returns the TTFT target of a request in milliseconds, at least 1.
func ttftTargetMs(prompt *chiverequest.Prompt) float64 {
	return max(float64(prompt.Target.Milliseconds()), 1)
}

// sampleSize is the number of random engines to compare in a large pool.
const sampleSize = 12

// farSampleSize is the number of random engines of all regions to compare with those of the request's own region.
const farSampleSize = 4

// sample returns the engines to compare: in a large pool a random sample, most of it from the region that the request
// comes from, the home of the prompt and the engines that have the longest prefix cached.
//
// What nodes know about each other is some tenths of a second old. If all of them compared all engines, those that
// choose within that time would all choose the same best one, whose queue would jump while others are idle.
func (c *engineChoice) sample(candidates []*candidate) []*candidate {
	if len(candidates) <= sampleSize {
		return candidates
	}
	chosen := make([]*candidate, 0, sampleSize+1)
	for _, cand := range candidates {
		if cand == c.home || (c.cachedTokens > 0 && c.prompt.Input-cand.cache.missingTokens(c.prompt) == c.cachedTokens) {
			chosen = append(chosen, cand)
		}
	}
	if len(c.near) == 0 || len(c.near) == len(candidates) {
		return c.pool.appendRandom(chosen, candidates, sampleSize)
	}
	return c.pool.appendRandom(c.pool.appendRandom(chosen, c.near, sampleSize), candidates, farSampleSize)
}

// appendRandom appends a number of random candidates.
func (p *Pool) appendRandom(chosen, candidates []*candidate, count int) []*candidate {
	for range count {
		chosen = append(chosen, candidates[p.rng.IntN(len(candidates))])
	}
	return chosen
}

// cost is the expected loss on one engine.
func (c *engineChoice) cost(now time.Time, cand *candidate) float64 {
	prefill, fetch, recompute := c.splitPrompt(cand)
	ttftMs := c.pool.ttft.predict(prefillWork{prefillTokens: prefill, fetchTokens: fetch, queuedAhead: cand.queuedAhead(c.prompt.Rank)})*cand.slowdown() + milliseconds(c.pool.wayTo(c.ask, cand))
	if fetch > 0 {
		ttftMs += milliseconds(c.pool.between(c.holder, cand))
	}
	loss := ramp(ttftMs/c.targetMs, ttftRampStart, ttftRampEnd) + ttftTieBreakLoss*ttftMs/c.targetMs
	longPrefill := c.pool.longPrefillChance(now, cand)
	loss += c.pauseLoss(now, cand, longPrefill)
	loss += c.pool.delayedStreams(cand, prefill, longPrefill)
	loss += c.recomputeLoss(cand, fetch, recompute)
	loss += c.trafficLoss(cand, fetch)
	if c.cachedTokens == 0 && cand != c.home {
		loss += nonHomeLoss
	}
	return loss + errorRateLoss*c.pool.errorRate(now, cand)
}

// recomputeLoss is the expected loss of later requests from the time that an engine spends on tokens that another
// engine has cached.
func (c *engineChoice) recomputeLoss(cand *candidate, fetch, recompute int64) float64 {
	loss := c.lossPerMs * c.pool.ttft.prefillMs(float64(recompute)+fetchLossShare*float64(fetch)) * cand.slowdown()
	if cand.cache.wouldEvict(recompute + fetch) {
		// The tokens evict as many others, which are recomputed for later requests in their turn.
		loss *= 2
	}
	return loss
}

func ramp(x, start, end float64) float64 {
	return min(max((x-start)/(end-start), 0), 1)
}
