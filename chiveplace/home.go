package chiveplace

import "slices"

// homes returns the candidates of which one is the home of a shared part: those that the ask names, or all if none of these can be chosen.
func (p *Pool) homes(candidates []*candidate, ask Ask) []*candidate {
	var homes []*candidate
	for _, id := range ask.Home {
		if s, ok := p.present[id]; ok && slices.Contains(candidates, s) {
			homes = append(homes, s)
		}
	}
	if len(homes) == 0 {
		return candidates
	}
	return homes
}

// homeOf returns the candidate that all nodes agree on for a part without talking: the one with the highest hash of both.
func homeOf(candidates []*candidate, part uint64) *candidate {
	var home *candidate
	var highest uint64
	for _, s := range candidates {
		if weight := Weigh(s.hash, part); home == nil || weight > highest {
			home, highest = s, weight
		}
	}
	return home
}
