package chiveplace

import "slices"

// homes returns the candidates from which the home of a shared part is chosen: those that the ask names, or all if none
// of these is a candidate.
func (p *Pool) homes(candidates []*candidate, ask Ask) []*candidate {
	var homes []*candidate
	for _, id := range ask.Home {
		if cand, ok := p.byID[id]; ok && slices.Contains(candidates, cand) {
			homes = append(homes, cand)
		}
	}
	if len(homes) == 0 {
		return candidates
	}
	return homes
}

// homeOf returns the candidate on which all nodes agree for a part without communication, by rendezvous hashing.
func homeOf(candidates []*candidate, part uint64) *candidate {
	var home *candidate
	var highest uint64
	for _, cand := range candidates {
		if weight := Weigh(cand.idHash, part); home == nil || weight > highest {
			home, highest = cand, weight
		}
	}
	return home
}
