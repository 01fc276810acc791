package chiveschedule

import (
	"time"

	"chivedrift/chivetime"
)

// A request that cannot be served in time is refused immediately, with a retry time: queuing it would only keep its
// caller from trying elsewhere. The wait of a request is estimated from the work of its own tier and of more urgent
// tiers, so a protected class is never shed because of less urgent work.

// admit returns the reason to refuse a new request and when to retry, or an empty reason to accept it.
func (s *Shard) admit(now time.Time, w *waitingRequest) (reason string, retryAfter time.Duration) {
	if !s.fitsAnywhere(w) {
		return ReasonTooLarge, maxRetryAfter
	}
	if !s.anyUsable(now) {
		return ReasonNoneUp, minRetryAfter
	}
	wait := s.expectedWait(w)
	if w.class.protected {
		wait = 0
	}
	if now.Add(wait + s.serviceTime(w)).After(w.deadline) {
		return ReasonDeadline, wait
	}
	return "", 0
}

// unservable returns the waiting requests to refuse, the oldest first: those that would miss their deadline even if
// they got a slot now, and unprotected late ones that would miss it because of the work ahead of them.
func (s *Shard) unservable(now time.Time) []*waitingRequest {
	var list []*waitingRequest
	for _, w := range s.waiting {
		earliestEnd := now.Add(s.serviceTime(w))
		if w.due.Before(now) && !w.class.protected {
			earliestEnd = earliestEnd.Add(s.lateQueueWait(w.class.tier))
		}
		if earliestEnd.After(w.deadline) {
			list = append(list, w)
		}
	}
	sortByArrival(list)
	return list
}

func (s *Shard) fitsAnywhere(w *waitingRequest) bool {
	for _, e := range s.endpoints {
		if w.cost <= e.config.Tokens {
			return true
		}
	}
	return false
}

func (s *Shard) anyUsable(now time.Time) bool {
	for _, e := range s.endpoints {
		if !now.Before(e.drainingUntil) && (!now.Before(e.quarantinedUntil) || e.consecutiveFailures < 3) {
			return true
		}
	}
	return false
}

// serviceTime estimates the time to produce the request's output, from the median time per output token; it is zero
// without enough samples.
func (s *Shard) serviceTime(w *waitingRequest) time.Duration {
	return time.Duration(s.medianTimePerTokenMs*float64(w.expectedRemaining)) * time.Millisecond
}

func (s *Shard) expectedWait(w *waitingRequest) time.Duration {
	return s.queueWait(w.class.tier)
}

// queueWait estimates how long a new request of a tier waits; it is zero until a throughput was measured.
func (s *Shard) queueWait(tier int) time.Duration {
	return s.drainTime(s.backlog.workAhead(tier, false))
}

// lateQueueWait is queueWait for a late request, which waits for all other work of its tier.
func (s *Shard) lateQueueWait(tier int) time.Duration {
	return s.drainTime(s.backlog.workAhead(tier, true))
}

func (s *Shard) drainTime(work int64) time.Duration {
	if s.drainRate.tokensPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(work) / s.drainRate.tokensPerSecond * float64(time.Second))
}

// evictionVictim selects a waiting request to refuse when the queue is full: the newest unprotected one of the least
// urgent tier below the incoming request's.
func (s *Shard) evictionVictim(incoming *waitingRequest) (*waitingRequest, bool) {
	var victim *waitingRequest
	for _, w := range s.waiting {
		if w.class.protected || w.class.tier <= incoming.class.tier {
			continue
		}
		if victim == nil || w.class.tier > victim.class.tier ||
			(w.class.tier == victim.class.tier && w.arrival.After(victim.arrival)) {
			victim = w
		}
	}
	return victim, victim != nil
}

func (s *Shard) dequeueAndRefuse(now time.Time, w *waitingRequest, reason string, retryAfter time.Duration) Decision {
	s.dequeue(now, w, false)
	return s.refuse(w, reason, retryAfter)
}

func (s *Shard) refuse(w *waitingRequest, reason string, retryAfter time.Duration) Decision {
	s.counts.Refused++
	retryAfter = min(max(retryAfter, minRetryAfter), maxRetryAfter)
	return Decision{Gateway: w.gateway, Refusal: &SlotRefusal{
		Shard: s.id, ID: w.request.ID, Attempt: w.request.Attempt, Reason: reason, RetryAfterMs: chivetime.CeilMilliseconds(retryAfter), LoadPercent: s.LoadPercent(),
	}}
}
