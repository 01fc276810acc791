package chiveplace

import (
	"slices"

	"chivedrift/chiverequest"
)

const (
	// fleetHomeReadFactor is how much longer than a round trip between regions the prefill of a shared part takes, at
	// least, for the part to have one home over all regions.
	fleetHomeReadFactor = 1.5
	// fleetHomeTargetShare is the largest share of a request's TTFT target that asking an owner in another region and
	// sending the request there may take for its shared part to have one home over all regions.
	fleetHomeTargetShare = 0.1
	// fleetHomeRoundTrips is the number of round trips of these two.
	fleetHomeRoundTrips = 2
)

// HasFleetHome reports whether the shared part of a prompt has one home over all regions rather than one in each: engines
// would read it longer in each region than its requests are on the way, which their target hardly notices.
func (p *Pool) HasFleetHome(prompt *chiverequest.Prompt) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.hasFleetHome(prompt)
}

func (p *Pool) hasFleetHome(prompt *chiverequest.Prompt) bool {
	if p.farthest == 0 {
		return true
	}
	wayMs := milliseconds(p.farthest)
	return p.ttft.prefillMs(float64(SharedTokens(prompt))) >= fleetHomeReadFactor*wayMs && fleetHomeRoundTrips*wayMs <= fleetHomeTargetShare*ttftTargetMs(prompt)
}

// homes returns the candidates from which the home of a shared part is chosen: those that the ask names or, if none of
// these is a candidate, all, or those of the region that the request comes from if the part has a home in each region.
func (p *Pool) homes(candidates, near []*candidate, ask Ask) []*candidate {
	var homes []*candidate
	for _, id := range ask.Home {
		if cand, ok := p.byID[id]; ok && slices.Contains(candidates, cand) {
			homes = append(homes, cand)
		}
	}
	if len(homes) > 0 {
		return homes
	}
	if len(near) > 0 && !p.hasFleetHome(ask.Prompt) {
		return near
	}
	return candidates
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
