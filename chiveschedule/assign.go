package chiveschedule

import (
	"slices"
	"time"
)

// grantSlots grants slots in the queue's order.
//
// An endpoint that has too little room for a request is reserved for it: if smaller requests of lower tiers could take
// the room, a large urgent request could wait for ever. Endpoints that the request cannot use for another reason stay
// available to the requests behind it; otherwise a request that waits for a healthy endpoint would leave all others
// idle.
func (s *Shard) grantSlots(now time.Time) []Decision {
	var out []Decision
	skipped := make(map[*waitingRequest]bool)
	reserved := make(map[string]bool)
	for len(skipped) < maxSkipped {
		w, ok := s.queue.Next(now, func(w *waitingRequest) bool { return !skipped[w] })
		if !ok {
			break
		}
		e, candidates, reason := s.chooseEndpoint(now, w, reserved)
		if e != nil {
			out = append(out, s.grant(now, w, e, candidates, reason))
			continue
		}
		skipped[w] = true
		for _, c := range candidates {
			reserved[c.Endpoint] = reserved[c.Endpoint] || c.Verdict == verdictFull
		}
		if len(reserved) == len(s.endpoints) && allTrue(reserved) {
			break
		}
	}
	return out
}

const maxSkipped = 8

func allTrue(flags map[string]bool) bool {
	for _, set := range flags {
		if !set {
			return false
		}
	}
	return true
}

func (s *Shard) grant(now time.Time, w *waitingRequest, e *endpoint, candidates []Candidate, reason string) Decision {
	key := attemptKey{w.request.ID, w.request.Attempt}
	s.dequeue(now, w, true)
	e.reserve(now, w.cost)
	s.prefixEndpoints.put(w.request.Prefix, e.config.Name)
	s.counts.Granted++
	g := &grant{key: key, gateway: w.gateway, endpoint: e, class: w.class, team: w.request.Team, cost: w.cost, grantedAt: now, nonPreemptible: !w.request.Repeatable}
	g.message = SlotGrant{
		Shard: s.id, ID: w.request.ID, Attempt: w.request.Attempt, Incarnation: s.incarnation, Endpoint: e.config.Name,
		Priority: w.class.tier, QueuedMs: now.Sub(w.queuedAt).Milliseconds(), Reason: reason, Candidates: candidates, LoadPercent: s.LoadPercent(), Cost: w.cost,
	}
	s.granted[key] = g
	return Decision{Gateway: w.gateway, Grant: &g.message}
}

// ---------------------------------------------------------------- endpoint selection

// Reasons for selecting an endpoint, as shown by the explain API.
const (
	reasonPrefixCached = "prefix_cached_there"
	reasonLeastLoaded  = "least_loaded"
)

// chooseEndpoint selects the endpoint that last got the request's prefix if it fits and its load is below
// maxAffinityLoad, and otherwise the least loaded endpoint that fits.
func (s *Shard) chooseEndpoint(now time.Time, w *waitingRequest, reserved map[string]bool) (*endpoint, []Candidate, string) {
	var best *endpoint
	candidates := make([]Candidate, 0, len(s.endpoints))
	for _, e := range s.endpoints {
		verdict := s.verdict(now, w, e, reserved)
		candidates = append(candidates, Candidate{Endpoint: e.config.Name, Load: int(e.load() * percentFactor), Verdict: verdict})
		if verdict == verdictFits && (best == nil || e.load() < best.load()) {
			best = e
		}
	}
	if best == nil {
		return nil, candidates, ""
	}
	cached, ok := s.byName[s.prefixEndpoints.get(w.request.Prefix)]
	if ok && cached.load() < maxAffinityLoad && s.verdict(now, w, cached, reserved) == verdictFits {
		return cached, candidates, reasonPrefixCached
	}
	return best, candidates, reasonLeastLoaded
}

// Verdicts on a candidate, as shown by the explain API.
const (
	verdictFits        = "fits"
	verdictFull        = "full"
	verdictUnavailable = "down_or_leaving"
	verdictExcluded    = "failed_this_request"
	verdictStraggler   = "too_slow_for_the_class"
)

func (s *Shard) verdict(now time.Time, w *waitingRequest, e *endpoint, reserved map[string]bool) string {
	capacityFraction := 1.0
	if now.Before(s.takeoverUntil) {
		capacityFraction = takeoverCapacity
	}
	switch {
	case !e.available(now, w.request.Repeatable):
		return verdictUnavailable
	case slices.Contains(w.request.Exclude, e.config.Name) && len(w.request.Exclude) < len(s.endpoints):
		return verdictExcluded
	case reserved[e.config.Name] || !e.hasRoom(w.cost, capacityFraction):
		return verdictFull
	case s.tooSlow(now, w, e):
		return verdictStraggler
	}
	return verdictFits
}

// tooSlow reports whether a straggler would miss the request's first-token target or deadline at its measured latency.
// Requests with enough time are still sent to it.
func (s *Shard) tooSlow(now time.Time, w *waitingRequest, e *endpoint) bool {
	if !e.isStraggler(s.medianTimePerTokenMs) {
		return false
	}
	firstToken := time.Duration(e.firstTokenMs) * time.Millisecond
	total := time.Duration(e.timePerTokenMs*float64(w.expectedRemaining)) * time.Millisecond
	return now.Add(firstToken).After(w.due) || now.Add(total).After(w.deadline)
}

// ---------------------------------------------------------------- preemption

// preempt reclaims the slot of a less urgent request when the next request in the queue risks missing its first-token
// target. At most one preemption is pending at a time.
//
// The victim keeps the tokens it has produced: its gateway resumes it later from where it stopped.
func (s *Shard) preempt(now time.Time) []Decision {
	w, ok := s.queue.Next(now, func(*waitingRequest) bool { return true })
	if !ok || !s.urgent(now, w) || s.pendingPreemptions() > 0 {
		return nil
	}
	victim := s.preemptionVictim(now, w)
	if victim == nil {
		return nil
	}
	victim.preempted = true
	s.counts.Preempted++
	return []Decision{{Gateway: victim.gateway, Preempt: &SlotPreempt{Shard: s.id, ID: victim.key.id, Attempt: victim.key.attempt}}}
}

// urgent reports whether the request has waited for more than half of its class's first-token target. Before that, a
// slot may still become free in time.
func (s *Shard) urgent(now time.Time, w *waitingRequest) bool {
	return now.Sub(w.arrival) > w.class.firstTokenTarget/preemptAfterDivisor
}

func (s *Shard) pendingPreemptions() int {
	count := 0
	for _, g := range s.granted {
		if g.preempted {
			count++
		}
	}
	return count
}

// preemptionVictim returns the running request to preempt: of the least urgent tier below the waiting request's, the
// one with the fewest tokens. Protected and non-preemptible requests are never chosen.
func (s *Shard) preemptionVictim(now time.Time, w *waitingRequest) *grant {
	var best *grant
	for _, g := range s.granted {
		eligible := g.class.tier > w.class.tier && !g.class.protected && !g.nonPreemptible && !g.preempted
		if !eligible || !g.endpoint.available(now, true) || slices.Contains(w.request.Exclude, g.endpoint.config.Name) {
			continue
		}
		if best == nil || isBetterVictim(best, g) {
			best = g
		}
	}
	return best
}

func isBetterVictim(current, candidate *grant) bool {
	if candidate.class.tier != current.class.tier {
		return candidate.class.tier > current.class.tier
	}
	if candidate.doneTokens != current.doneTokens {
		return candidate.doneTokens < current.doneTokens
	}
	return candidate.key.id < current.key.id
}
