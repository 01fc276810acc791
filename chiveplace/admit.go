package chiveplace

import (
	"fmt"
	"math"
	"time"

	"chivedrift/chiverequest"
	"chivedrift/chivetime"
)

// An engine with too long a queue makes all requests late: urgent ones, whose first events wait behind it, and those
// whose time runs out in the queue, which it then prefills in vain. It does not recover by itself, since that wasted
// work keeps the queue long. So a request is refused at once, while its caller can still retry, if its predicted wait
// exceeds the limit for its rank. The limit is lower for lower ranks, which leaves capacity for the higher ones.

const (
	// maxWaitFactor is the longest wait of the most urgent rank, relative to the shortest target: requests that wait
	// longer are late anyway.
	maxWaitFactor = 1.3
	// lowestRankWaitShare is the share of that wait that the least urgent rank may have; the ranks in between follow a
	// geometric series. Engines prefill urgent requests first, so the rest of the wait is capacity for bursts of the
	// same rank. At 0.2, a seventh of the least urgent requests was refused in bursts that the engines could handle;
	// above 0.5, queues grow until all their requests are late (virtual time, worst two seconds of dossiers: 0.72, 0.69
	// and 0.61 at 0.2, 0.4 and 0.7).
	lowestRankWaitShare = 0.35
	// lowestRankFreeSlots is the share of an engine's slots that the least urgent rank leaves free for higher ones.
	lowestRankFreeSlots = 0.2
	// minRetryAfter keeps refused callers from retrying before the load can have changed.
	minRetryAfter = 200 * time.Millisecond
	// retryJitter is the largest random extension of the time to retry, relative to that time, so that callers refused
	// at the same moment do not all retry at the same moment.
	retryJitter = 0.5
)

// admit refuses a request whose predicted wait exceeds the limit for its rank. expectedTTFT, its predicted time to the
// first event, is only for the log.
func (p *Pool) admit(prompt *chiverequest.Prompt, waitMs float64, expectedTTFT time.Duration) *RefusedError {
	if prompt.Urgent == 0 {
		return nil
	}
	limitMs := float64(prompt.Urgent.Milliseconds()) * maxWaitFactor * math.Pow(lowestRankWaitShare, prompt.Rank.Depth())
	if waitMs <= limitMs {
		return nil
	}
	retryAfter := max(chivetime.Milliseconds(waitMs-limitMs), minRetryAfter)
	retryAfter += time.Duration(retryJitter * p.rng.Float64() * float64(retryAfter))
	reason := fmt.Sprintf("the engines have too much to read: %.0f ms of wait, %.0f allowed for rank %d", waitMs, limitMs, prompt.Rank.Place)
	return &RefusedError{Reason: reason, RetryAfter: retryAfter, Expected: expectedTTFT}
}

// maxQueueTimeDivisor is the ratio of a request's target to the time that it may wait for a place before it is refused:
// the refusal must come while the caller can still get its answer elsewhere in time.
const maxQueueTimeDivisor = 8

// Patience returns how long a request with the given target may wait for a place.
func Patience(target time.Duration) time.Duration { return target / maxQueueTimeDivisor }

// slotLimit returns how many of an engine's slots the rank of a request may use.
func slotLimit(slots int, prompt *chiverequest.Prompt) int {
	if prompt == nil {
		return slots
	}
	return int(float64(slots) * (1 - lowestRankFreeSlots*prompt.Rank.Depth()))
}
