package chiveschedule

import (
	"slices"
	"time"
)

// assign grants slots in the queue's order.
//
// An endpoint that is merely full for a request is kept for it: were smaller requests of lower tiers let past, a large
// urgent one could wait for ever. Endpoints that the request cannot use at all stay open to those behind it, since
// a request that waits for a healthy endpoint would otherwise leave every other one idle.
func (s *Shard) assign(now time.Time) []Decision {
	var out []Decision
	passed := make(map[*waiting]bool)
	kept := make(map[string]bool)
	for len(passed) < maxPassed {
		w, ok := s.queue.Next(now, func(w *waiting) bool { return !passed[w] })
		if !ok {
			break
		}
		e, candidates, reason := s.choose(now, w, kept)
		if e != nil {
			out = append(out, s.grant(now, w, e, candidates, reason))
			continue
		}
		passed[w] = true
		for _, c := range candidates {
			kept[c.Endpoint] = kept[c.Endpoint] || c.Verdict == verdictFull
		}
		if len(kept) == len(s.endpoints) && allTrue(kept) {
			break
		}
	}
	return out
}

const maxPassed = 8

func allTrue(marks map[string]bool) bool {
	for _, marked := range marks {
		if !marked {
			return false
		}
	}
	return true
}

func (s *Shard) grant(now time.Time, w *waiting, e *endpoint, candidates []Candidate, reason string) Decision {
	key := requestKey{w.request.ID, w.request.Attempt}
	s.leave(now, w, true)
	e.take(now, w.cost)
	s.prefixes.put(w.request.Prefix, e.plan.Name)
	s.counts.Granted++
	g := &grant{key: key, gateway: w.gateway, endpoint: e, class: w.class, team: w.request.Team, cost: w.cost, at: now, fixed: !w.request.Repeatable}
	g.message = SlotGrant{
		Shard: s.id, ID: w.request.ID, Attempt: w.request.Attempt, Incarnation: s.incarnation, Endpoint: e.plan.Name,
		Priority: w.class.tier, QueuedMs: now.Sub(w.queued).Milliseconds(), Reason: reason, Candidates: candidates, LoadPercent: s.LoadPercent(), Cost: w.cost,
	}
	s.granted[key] = g
	return Decision{Gateway: w.gateway, Grant: &g.message}
}

// ---------------------------------------------------------------- choice of endpoint

// Reasons for a choice, as explain shows them.
const (
	reasonPrefix = "prefix_cached_there"
	reasonLoad   = "least_loaded"
)

// choose picks the endpoint that holds the request's prefix unless it is loaded, else the least loaded one.
func (s *Shard) choose(now time.Time, w *waiting, kept map[string]bool) (*endpoint, []Candidate, string) {
	var best *endpoint
	candidates := make([]Candidate, 0, len(s.endpoints))
	for _, e := range s.endpoints {
		verdict := s.verdict(now, w, e, kept)
		candidates = append(candidates, Candidate{Endpoint: e.plan.Name, Load: int(e.load() * percentOf), Verdict: verdict})
		if verdict == verdictFits && (best == nil || e.load() < best.load()) {
			best = e
		}
	}
	if best == nil {
		return nil, candidates, ""
	}
	cached, ok := s.byName[s.prefixes.get(w.request.Prefix)]
	if ok && cached.load() < affinityLoad && s.verdict(now, w, cached, kept) == verdictFits {
		return cached, candidates, reasonPrefix
	}
	return best, candidates, reasonLoad
}

// Verdicts on a candidate, as explain shows them.
const (
	verdictFits      = "fits"
	verdictFull      = "full"
	verdictDown      = "down_or_leaving"
	verdictExcluded  = "failed_this_request"
	verdictStraggler = "too_slow_for_the_class"
)

func (s *Shard) verdict(now time.Time, w *waiting, e *endpoint, kept map[string]bool) string {
	fraction := 1.0
	if now.Before(s.settleUntil) {
		fraction = settlingFraction
	}
	switch {
	case !e.up(now, w.request.Repeatable):
		return verdictDown
	case slices.Contains(w.request.Exclude, e.plan.Name) && len(w.request.Exclude) < len(s.endpoints):
		return verdictExcluded
	case kept[e.plan.Name] || !e.fits(w.cost, fraction):
		return verdictFull
	case s.tooSlow(now, w, e):
		return verdictStraggler
	}
	return verdictFits
}

// tooSlow keeps a straggler from work whose targets its own pace would miss; it goes on with work that has the time.
func (s *Shard) tooSlow(now time.Time, w *waiting, e *endpoint) bool {
	if !e.straggles(s.median) {
		return false
	}
	first := time.Duration(e.first) * time.Millisecond
	whole := time.Duration(e.pace*float64(w.mean)) * time.Millisecond
	return now.Add(first).After(w.due) || now.Add(whole).After(w.end)
}

// ---------------------------------------------------------------- preemption

// preempt takes slots from lower unprotected work for urgent requests that would miss their target otherwise.
//
// The victim's tokens are kept: its gateway resumes it later from where it stopped.
func (s *Shard) preempt(now time.Time) []Decision {
	w, ok := s.queue.Next(now, func(*waiting) bool { return true })
	if !ok || !s.urgent(now, w) || s.preemptionsPending() > 0 {
		return nil
	}
	victim := s.victim(now, w)
	if victim == nil {
		return nil
	}
	victim.preempted = true
	s.counts.Preempted++
	return []Decision{{Gateway: victim.gateway, Preempt: &SlotPreempt{Shard: s.id, ID: victim.key.id, Attempt: victim.key.attempt}}}
}

// urgent holds from half of the class's target until the deadline: earlier, a slot may free itself in time.
func (s *Shard) urgent(now time.Time, w *waiting) bool {
	return now.Sub(w.arrival) > w.class.firstToken/preemptWithin
}

func (s *Shard) preemptionsPending() int {
	pending := 0
	for _, g := range s.granted {
		if g.preempted {
			pending++
		}
	}
	return pending
}

// victim returns the running request of the lowest tier below, the one that has done least; never a protected one, nor one that may not run again.
func (s *Shard) victim(now time.Time, w *waiting) *grant {
	var best *grant
	for _, g := range s.granted {
		lower := g.class.tier > w.class.tier && !g.class.protected && !g.fixed && !g.preempted
		if !lower || !g.endpoint.up(now, true) || slices.Contains(w.request.Exclude, g.endpoint.plan.Name) {
			continue
		}
		if best == nil || worseVictim(best, g) {
			best = g
		}
	}
	return best
}

func worseVictim(best, g *grant) bool {
	if g.class.tier != best.class.tier {
		return g.class.tier > best.class.tier
	}
	if g.done != best.done {
		return g.done < best.done
	}
	return g.key.id < best.key.id
}
