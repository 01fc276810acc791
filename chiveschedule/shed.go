package chiveschedule

import (
	"time"
)

// A request that cannot be served in time is answered finally and at once, with when to come back: holding it back
// would only keep its caller from trying elsewhere. What lies ahead of a request counts only work of its own and of
// more urgent tiers, so a protected class is never shed for lower work.

// admit returns why a request is refused at its arrival, or an empty reason.
func (s *Shard) admit(now time.Time, w *waiting) (reason string, after time.Duration) {
	if !s.fitsAnywhere(w) {
		return ReasonTooLarge, retryAfterMost
	}
	if !s.anyUp(now) {
		return ReasonNoneUp, retryAfterLeast
	}
	wait := s.expectedWait(w)
	if w.class.protected {
		wait = 0
	}
	if now.Add(wait + s.serviceTime(w)).After(w.end) {
		return ReasonDeadline, wait
	}
	return "", 0
}

// hopeless returns the waiting requests to give up on, the oldest first: those that would miss their deadline even with
// a slot now, and unprotected ones that missed their target and have too much work ahead to make the deadline.
func (s *Shard) hopeless(now time.Time) []*waiting {
	var list []*waiting
	for _, w := range s.waiting {
		least := now.Add(s.serviceTime(w))
		if w.due.Before(now) && !w.class.protected {
			least = least.Add(s.waitBehindLate(w.class.tier))
		}
		if least.After(w.end) {
			list = append(list, w)
		}
	}
	sortByArrival(list)
	return list
}

func (s *Shard) fitsAnywhere(w *waiting) bool {
	for _, e := range s.endpoints {
		if w.cost <= e.plan.Tokens {
			return true
		}
	}
	return false
}

func (s *Shard) anyUp(now time.Time) bool {
	for _, e := range s.endpoints {
		if !now.Before(e.leaving) && (!now.Before(e.downUntil) || e.failures < 3) {
			return true
		}
	}
	return false
}

// serviceTime is how long a request takes once it runs, by the median pace; short of samples it is taken as instant.
func (s *Shard) serviceTime(w *waiting) time.Duration {
	return time.Duration(s.median*float64(w.mean)) * time.Millisecond
}

func (s *Shard) expectedWait(w *waiting) time.Duration {
	return s.waitBehind(w.class.tier)
}

// waitBehind divides the work ahead of a new request of a tier by the measured drain rate; zero while nothing was measured.
func (s *Shard) waitBehind(tier int) time.Duration {
	return s.drainTime(s.backlog.ahead(tier, false))
}

// waitBehindLate is the same for a request that missed its target, which all others of its tier go before.
func (s *Shard) waitBehindLate(tier int) time.Duration {
	return s.drainTime(s.backlog.ahead(tier, true))
}

func (s *Shard) drainTime(work int64) time.Duration {
	if s.drained.value <= 0 {
		return 0
	}
	return time.Duration(float64(work) / s.drained.value * float64(time.Second))
}

// evict finds a waiting request to make room in a full queue: the newest of the lowest tier below, never a protected one.
func (s *Shard) evict(incoming *waiting) (*waiting, bool) {
	var victim *waiting
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

func (s *Shard) drop(now time.Time, w *waiting, reason string, after time.Duration) Decision {
	s.leave(now, w, false)
	return s.refuse(w, reason, after)
}

func (s *Shard) refuse(w *waiting, reason string, after time.Duration) Decision {
	s.counts.Refused++
	after = min(max(after, retryAfterLeast), retryAfterMost)
	return Decision{Gateway: w.gateway, Refusal: &SlotRefusal{
		Shard: s.id, ID: w.request.ID, Attempt: w.request.Attempt, Reason: reason, RetryAfterMs: after.Milliseconds(), LoadPercent: s.LoadPercent(),
	}}
}
