package chiveplace

import (
	"time"

	"chivedrift/chivedirectory"
	"chivedrift/chivetable"
)

const (
	// baseEjection is how long an endpoint is ejected after a broken connection. It doubles with each consecutive
	// failure, up to maxEjection: a crashed process has restarted, or its directory entry is gone, within a few
	// seconds.
	baseEjection = 300 * time.Millisecond
	maxEjection  = 4 * time.Second
	// fullEjection is how long an endpoint is ejected after it refused a request for lack of capacity: a few engine
	// steps.
	fullEjection = 100 * time.Millisecond
	// errorRateWeight is the weight of the newest answer in the moving average of the error rate.
	errorRateWeight = 0.08
	// errorRateFade is by how much a second the error rate of an endpoint falls that gets no requests.
	errorRateFade = 0.05
	// responseTimeWeight is the weight of the newest answer in the moving average of the response time.
	responseTimeWeight = 0.2
	// responseTimeHalfLife is the age at which a response time counts half, so that an endpoint that was slow is tried
	// again.
	responseTimeHalfLife = 3 * time.Second
)

// candidate is one incarnation of an endpoint: one start of its process.
type candidate struct {
	endpoint chivedirectory.Endpoint
	// incarnation is the key of the incarnation that the record belongs to.
	incarnation string
	// idHash is the hash of the endpoint's id. Unlike the incarnation it survives a restart, so that the home of a
	// prompt part does not move.
	idHash uint64
	// startedEmpty means that the endpoint started while this node was running, so that its cache was empty then.
	startedEmpty bool
	// cacheQueried means that the endpoint was returned by TakeUnasked to be asked for its cache contents.
	cacheQueried bool
	// region is the index of the region of the endpoint's failure domain, or 0.
	region regionIndex
	// limits is nil for an endpoint that has never stated limits.
	limits *endpointLimits
	// goneUntil is until when the endpoint gets no requests, even if all others are excluded too, since another process
	// responded at its address.
	goneUntil time.Time
	// notice is nil for an endpoint that has stated nothing about its process.
	notice *notice
	// warmUp is nil for an endpoint that never warmed up or stated a rate.
	warmUp *warmUpState
	// record is the pool's emptyRecord until the first request or report for this endpoint: in a large fleet most nodes
	// never use most endpoints.
	*record
}

// record is what this node knows about a candidate from its own requests and from the reports of other nodes.
type record struct {
	// removedAt is when the endpoint left the directory; zero while it is listed.
	removedAt time.Time
	// lastUsedAt is when a request or a report last changed the record.
	lastUsedAt time.Time
	// ownRequests is the number of this node's requests there, ownQueued the prompt tokens of those without a first
	// event.
	ownRequests int
	ownQueued   tokensByRank
	// otherRequests and otherQueued are the same for all other nodes, from their latest reports and pending grants.
	otherRequests int
	otherQueued   tokensByRank
	loadByNode    map[string]Load
	// ownSensitive and otherSensitive are the numbers of latency-sensitive streams, which a long prefill on the same
	// engine would delay. ownLongQueued and otherLongQueued are the queued tokens of long prefills.
	ownSensitive      int
	otherSensitive    int
	ownLongQueued     int64
	otherLongQueued   int64
	longPrefillTokens float64
	longPrefillAt     time.Time
	// dirty means that the latest change has not been reported to the other nodes.
	dirty bool

	consecutiveFailures int
	ejectedUntil        time.Time
	errorRate           float64
	errorRateAt         time.Time
	responseTime        float64
	responseTimeAt      time.Time
	cache               *cacheModel
	demand              demand
	// slowdownRatio is the moving average of actual over predicted TTFT on this engine; 0 before the first event.
	slowdownRatio float64
	// ownPause is the moving average of the pause between events of this node's streams there, reportedPause its value
	// in the last report, otherPause the pause that other nodes report.
	ownPause      decayingDuration
	reportedPause time.Duration
	otherPause    decayingDuration
}

func newRecord(cacheTokens int64) *record {
	return &record{cache: newCacheModel(cacheTokens), loadByNode: make(map[string]Load)}
}

// isIdle reports whether the endpoint has no requests, is not ejected and has no changes to report.
func (r *record) isIdle(now time.Time) bool {
	return r.ownRequests == 0 && r.otherRequests == 0 && len(r.loadByNode) == 0 && !r.dirty && now.After(r.ejectedUntil)
}

func (c *candidate) load() int { return c.ownRequests + c.otherRequests }

// queuedTokens returns the number of all prompt tokens queued there.
func (c *candidate) queuedTokens() int64 { return c.ownQueued.total() + c.otherQueued.total() }

// queuedAhead returns the number of queued prompt tokens that the engine prefills before a new request of the given
// rank.
func (c *candidate) queuedAhead(rank chivetable.Rank) int64 {
	return c.ownQueued.upTo(rank) + c.otherQueued.upTo(rank)
}

func (c *candidate) sensitiveStreams() int   { return c.ownSensitive + c.otherSensitive }
func (c *candidate) longQueuedTokens() int64 { return c.ownLongQueued + c.otherLongQueued }

// addRequest adds a new request to the demand and the load of the engine.
func (c *candidate) addRequest(now time.Time, place *Place) {
	c.demand.addPrompt(now, place.pool.ttft.prefillMs(float64(place.prefillTokens))*c.slowdown())
	if place.latencySensitive {
		c.ownSensitive++
	}
	c.addQueued(place)
	if place.prefillTokens > prefillChunkTokens {
		c.addLongPrefill(now, place.prefillTokens)
	}
}

// addQueued adds the prompt tokens that a request has the engine prefill.
func (c *candidate) addQueued(place *Place) {
	c.ownQueued = c.ownQueued.add(place.rank, place.prefillTokens)
	if place.prefillTokens > prefillChunkTokens {
		c.ownLongQueued += place.prefillTokens
	}
	c.dirty = true
}

// removeQueued removes the tokens added by addQueued, once the prompt has been prefilled.
func (c *candidate) removeQueued(place *Place) {
	c.ownQueued = c.ownQueued.add(place.rank, -place.prefillTokens)
	if place.prefillTokens > prefillChunkTokens {
		c.ownLongQueued -= place.prefillTokens
	}
	c.dirty = true
}

// slowdown returns the ratio of TTFT on this engine to the prediction; 1 before its first event.
func (c *candidate) slowdown() float64 {
	if c.slowdownRatio == 0 {
		return 1
	}
	return c.slowdownRatio
}

// minPredictedMs is the least prediction that a TTFT is compared with: the learnt fixed time may reach 0.
const minPredictedMs = 1.0

// slowdownWeight is the weight of the newest TTFT in the moving average of the slowdown.
const slowdownWeight = 0.1

// updateSlowdown updates the slowdown from a predicted TTFT, in milliseconds, and the actual one.
func (c *candidate) updateSlowdown(predicted float64, took time.Duration) {
	ratio := min(max(float64(took)/float64(time.Millisecond)/max(predicted, minPredictedMs), 0.3), 3)
	c.slowdownRatio = c.slowdown() + slowdownWeight*(ratio-c.slowdown())
}

// isReady reports whether the endpoint may get requests at all.
func (c *candidate) isReady(now time.Time) bool {
	return c.endpoint.State == chivedirectory.Ready && !now.Before(c.goneUntil) && !c.notice.isLeaving()
}

func (c *candidate) isUsable(now time.Time) bool {
	return c.isReady(now) && !now.Before(c.ejectedUntil)
}

func (c *candidate) recordFailure(now time.Time) {
	c.ejectedUntil = now.Add(min(baseEjection<<min(c.consecutiveFailures, 10), maxEjection))
	c.consecutiveFailures++
	c.errorRate += errorRateWeight * (1 - c.errorRate)
	c.errorRateAt = now
}

// recordGone records that another process responded at the endpoint's address.
func (c *candidate) recordGone(now time.Time) {
	c.ejectedUntil = now.Add(maxEjection)
	c.goneUntil = c.ejectedUntil
}

func (c *candidate) recordFull(now time.Time) {
	c.ejectedUntil = now.Add(fullEjection)
}

// recordResponse records an answer, and whether it was an error of the endpoint.
func (c *candidate) recordResponse(now time.Time, isError bool) {
	c.consecutiveFailures = 0
	sample := 0.0
	if isError {
		sample = 1
	}
	c.errorRate += errorRateWeight * (sample - c.errorRate)
	c.errorRateAt = now
}

// fadedErrorRate returns the error rate, which fades while no answer comes. An endpoint that failed would otherwise get no
// requests as long as others without errors have room, however far those are.
func (c *candidate) fadedErrorRate(now time.Time) float64 {
	return max(c.errorRate-errorRateFade*now.Sub(c.errorRateAt).Seconds(), 0)
}

// recordResponseTime records the duration of an answer.
func (c *candidate) recordResponseTime(now time.Time, took time.Duration) {
	if c.responseTime == 0 {
		c.responseTime = took.Seconds()
	} else {
		c.responseTime += responseTimeWeight * (took.Seconds() - c.responseTime)
	}
	c.responseTimeAt = now
}

// expectedResponseTime returns the moving average of the response time in seconds, which decays towards defaultTime.
func (c *candidate) expectedResponseTime(now time.Time, defaultTime float64) float64 {
	if c.responseTime == 0 {
		return defaultTime
	}
	age := now.Sub(c.responseTimeAt).Seconds() / responseTimeHalfLife.Seconds()
	weight := 1 / (1 + age)
	return defaultTime + (c.responseTime-defaultTime)*weight
}
