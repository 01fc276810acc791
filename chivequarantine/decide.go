package chivequarantine

import (
	"cmp"
	"slices"
	"time"

	"chivedrift/chiverequest"
)

// class is a kind of suspects whose reports have message kinds of their own.
type class uint8

const (
	// classRequests are requests, known by their whole content.
	classRequests class = iota
	// classParts are parts of prompts, which requests of different content have in common.
	classParts
	classCount
)

// classOf returns the class of a suspect.
func classOf(content chiverequest.Fingerprint) class {
	if content.IsPart() {
		return classParts
	}
	return classRequests
}

// hold is a quarantine of all requests that have all members. Parts that were on the same crashed endpoints are held
// together only: requests that have one of them still run, and their answers or crashes show which part is the cause.
type hold struct {
	lead    chiverequest.Fingerprint
	members []chiverequest.Fingerprint
}

// covers reports whether a request with the given fingerprints has all members.
func (h hold) covers(fingerprints []chiverequest.Fingerprint) bool {
	for _, m := range h.members {
		if !slices.Contains(fingerprints, m) {
			return false
		}
	}
	return true
}

// Decide determines what is quarantined, and returns what changed.
func (r *Register) Decide() []Change {
	before := r.holds
	r.holds = r.chooseHolds()
	return r.changesSince(before)
}

// chooseHolds determines the quarantines by the current reports.
//
// It chooses greedily: the suspect that was on the most crashed engines is assumed to have crashed them all. Of the
// remaining crashes, the suspect with the most is chosen next, as long as one has enough. Suspects that ran beside a
// chosen one may reach the threshold at times; they are released once the chosen one explains their crashes. If two
// requests were on the same engines, one of them is quarantined; if it was the wrong one, the next crash shows it.
func (r *Register) chooseHolds() (holds []hold) {
	candidates := r.candidates()
	explained := make(map[string]bool)
	for {
		lead, ok := r.mostImplicated(candidates, explained)
		if !ok {
			return holds
		}
		holds = append(holds, hold{lead, r.companions(lead, candidates, explained)})
		for _, c := range r.suspects[lead].implicatingCrashes(nil) {
			explained[c.Endpoint] = true
		}
	}
}

// changesSince begins and ends the quarantines that differ from those before, and returns the differences.
func (r *Register) changesSince(before []hold) (changes []Change) {
	for _, h := range before {
		if s, ok := r.suspects[h.lead]; ok && indexOfLead(r.holds, h.lead) < 0 {
			s.endQuarantine()
			changes = append(changes, r.change(h, false))
		}
	}
	for _, h := range r.holds {
		known := indexOfLead(before, h.lead)
		if known < 0 {
			r.suspects[h.lead].updateQuarantine()
		}
		if known < 0 || !slices.Equal(before[known].members, h.members) {
			changes = append(changes, r.change(h, true))
		}
	}
	return changes
}

// indexOfLead returns the index of the hold with a lead, -1 if there is none.
func indexOfLead(holds []hold, lead chiverequest.Fingerprint) int {
	return slices.IndexFunc(holds, func(h hold) bool { return h.lead == lead })
}

func (r *Register) change(h hold, quarantined bool) Change {
	s := r.suspects[h.lead]
	return Change{Content: h.lead, Quarantined: quarantined, Members: h.members, Crashes: slices.Clone(s.crashes), Until: s.until}
}

// candidates returns the suspects with enough crashes to be quarantined, whether or not another one explains them, in an
// order that is the same on all nodes.
func (r *Register) candidates() []chiverequest.Fingerprint {
	var candidates []chiverequest.Fingerprint
	for content, s := range r.suspects {
		if len(s.crashes) >= quarantineThreshold && s.score(r.self, nil) >= quarantineThreshold {
			candidates = append(candidates, content)
		}
	}
	slices.Sort(candidates)
	return candidates
}

// mostImplicated returns the candidate with the most unexplained crashes, if any has enough for a quarantine. Of a request
// and a part with as many, it returns the request, which is the narrower suspect.
func (r *Register) mostImplicated(candidates []chiverequest.Fingerprint, explained map[string]bool) (content chiverequest.Fingerprint, ok bool) {
	bestScore, bestCrashes := quarantineThreshold-1, 0
	for _, c := range candidates {
		s := r.suspects[c]
		score := s.score(r.self, explained)
		if score < quarantineThreshold {
			continue
		}
		narrower := 0
		if ok {
			narrower = cmp.Compare(classOf(content), classOf(c))
		}
		if cmp.Or(cmp.Compare(score, bestScore), narrower, cmp.Compare(len(s.crashes), bestCrashes)) > 0 {
			content, bestScore, bestCrashes, ok = c, score, len(s.crashes), true
		}
	}
	return content, ok
}

const (
	// toleranceFrom is the number of crashes from which a part counts as a companion of the leading one although it has one
	// crash less: a crash may be missing in the reports on one of them.
	toleranceFrom = 5
	tolerance     = 1
)

// companions returns what a request must have to be quarantined because of a suspect: for a part also the other parts
// that explain the same crashes as well as it does.
func (r *Register) companions(lead chiverequest.Fingerprint, candidates []chiverequest.Fingerprint, explained map[string]bool) []chiverequest.Fingerprint {
	members := []chiverequest.Fingerprint{lead}
	if !lead.IsPart() {
		return members
	}
	leading := r.suspects[lead]
	least := leading.score(r.self, explained)
	if least >= toleranceFrom {
		least -= tolerance
	}
	crashed := make(map[string]bool)
	for _, c := range leading.implicatingCrashes(explained) {
		crashed[c.Endpoint] = true
	}
	for _, content := range candidates {
		s := r.suspects[content]
		if content == lead || !content.IsPart() || s.score(r.self, explained) < least {
			continue
		}
		elsewhere := make(map[string]bool)
		for _, c := range s.implicatingCrashes(explained) {
			if !crashed[c.Endpoint] {
				elsewhere[c.Endpoint] = true
			}
		}
		if len(elsewhere) <= tolerance {
			members = append(members, content)
		}
	}
	return members
}

// HeldUntil returns the quarantine of a request with the given fingerprints that ends last, and from when on the request
// may be probed for it.
func (r *Register) HeldUntil(fingerprints []chiverequest.Fingerprint) (lead chiverequest.Fingerprint, until time.Time, held bool) {
	for _, h := range r.holds {
		if s, ok := r.suspects[h.lead]; ok && h.covers(fingerprints) && (!held || s.until.After(until)) {
			lead, until, held = h.lead, s.until, true
		}
	}
	return lead, until, held
}
