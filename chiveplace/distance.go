package chiveplace

import (
	"slices"
	"time"

	"chivedrift/chivedistance"
	"chivedrift/chiverequest"
)

// regionIndex identifies a region in a pool: its position in Pool.regions plus 1, or 0 if the region is not known or the
// deployment lies in one region. It takes less memory for each endpoint than the region's name.
type regionIndex uint16

// indexOf returns the index of a region; the caller holds the lock.
func (p *Pool) indexOf(region string) regionIndex {
	if region == "" {
		return 0
	}
	at := slices.Index(p.regions, region)
	if at < 0 {
		p.regions = append(p.regions, region)
		at = len(p.regions) - 1
	}
	return regionIndex(at + 1)
}

// SetDistances sets how far the failure domains are from each other. The regions of the domains do not change.
func (p *Pool) SetDistances(distances chivedistance.Map) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.distances, p.spansRegions = distances, distances.SpansRegions()
	for _, cand := range p.sorted {
		p.setRegion(cand)
	}
	p.updateFarthest()
}

// updateFarthest sets the longest known round trip to a region with endpoints; if none is known, the assumed one. A region
// whose nodes do not answer thus has no influence on the homes of shared parts. The caller holds the lock.
func (p *Pool) updateFarthest() {
	p.farthest = 0
	if !p.spansRegions {
		return
	}
	var assumed time.Duration
	isKnown := false
	seen := make([]bool, len(p.regions)+1)
	for _, cand := range p.sorted {
		if seen[cand.region] {
			continue
		}
		seen[cand.region] = true
		domain := cand.endpoint.FailureDomain
		region := p.distances.RegionOf(domain)
		switch way := p.distances.ToDomain(domain); {
		case region == "" || region == p.distances.Region():
		case p.distances.IsKnown(domain):
			isKnown = true
			p.farthest = max(p.farthest, way)
		default:
			assumed = max(assumed, way)
		}
	}
	if !isKnown {
		p.farthest = assumed
	}
}

// setRegion sets the region of a candidate from its failure domain; the caller holds the lock.
func (p *Pool) setRegion(cand *candidate) {
	if !p.spansRegions {
		return
	}
	cand.region = p.indexOf(p.distances.RegionOf(cand.endpoint.FailureDomain))
}

// origin returns the failure domain of the node that sends the request.
func (p *Pool) origin(ask Ask) string {
	if ask.From == "" {
		return p.localDomain
	}
	return ask.From
}

// wayTo returns the round trip between the node that sends a request and an endpoint, beyond the one inside a region.
func (p *Pool) wayTo(ask Ask, cand *candidate) time.Duration {
	if !p.spansRegions {
		return 0
	}
	return p.distances.Between(p.origin(ask), cand.endpoint.FailureDomain)
}

// between returns the round trip between two endpoints, beyond the one inside a region.
func (p *Pool) between(a, b *candidate) time.Duration {
	if !p.spansRegions || a.region == b.region {
		return 0
	}
	return p.distances.Between(a.endpoint.FailureDomain, b.endpoint.FailureDomain)
}

// wayFrom returns the round trip between the endpoint at an address and a candidate, beyond the one inside a region.
func (p *Pool) wayFrom(address string, to *candidate) time.Duration {
	if !p.spansRegions {
		return 0
	}
	for _, cand := range p.sorted {
		if cand.endpoint.Address == address {
			return p.between(cand, to)
		}
	}
	return 0
}

// candidatesNear returns the candidates in the region that a request comes from; none in a deployment that lies in one
// region.
func (p *Pool) candidatesNear(candidates []*candidate, ask Ask) []*candidate {
	if !p.spansRegions {
		return nil
	}
	region := p.indexOf(p.distances.RegionOf(p.origin(ask)))
	near := make([]*candidate, 0, len(candidates))
	for _, cand := range candidates {
		if cand.region == region {
			near = append(near, cand)
		}
	}
	return near
}

// maxTriesInRegion is how many endpoints of a region a request is tried at before other regions come first.
const maxTriesInRegion = 2

// RegionsTried returns the regions in which a request was tried at so many endpoints that others come first.
func (p *Pool) RegionsTried(exclude []string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.regionsTried(exclude)
}

func (p *Pool) regionsTried(exclude []string) (regions []string) {
	if !p.spansRegions || len(exclude) < maxTriesInRegion {
		return nil
	}
	tries := make(map[string]int)
	for _, incarnation := range exclude {
		cand, ok := p.lookup(incarnation)
		if !ok {
			continue
		}
		region := p.distances.RegionOf(cand.endpoint.FailureDomain)
		if tries[region]++; tries[region] == maxTriesInRegion {
			regions = append(regions, region)
		}
	}
	return regions
}

// untriedFirst returns the candidates in regions where a request was not tried so often yet; all if there are none.
func (p *Pool) untriedFirst(candidates []*candidate, exclude []string) []*candidate {
	tried := p.regionsTried(exclude)
	if len(tried) == 0 {
		return candidates
	}
	isTried := func(cand *candidate) bool {
		return slices.Contains(tried, p.distances.RegionOf(cand.endpoint.FailureDomain))
	}
	if untried := slices.DeleteFunc(slices.Clone(candidates), isTried); len(untried) > 0 {
		return untried
	}
	return candidates
}

// errorRate returns the error rate of a candidate; over several regions it fades with time.
func (p *Pool) errorRate(now time.Time, cand *candidate) float64 {
	if !p.spansRegions {
		return cand.errorRate
	}
	return cand.fadedErrorRate(now)
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// Crossing tells why a request is placed in another region than that of the node that sends it.
type Crossing uint8

const (
	// CrossingNone is a place in the same region.
	CrossingNone Crossing = iota
	// CrossingHome is a place in the region that is the home of the request's shared part.
	CrossingHome
	// CrossingSpill is a place elsewhere because the own region has no room or no endpoint that the request may use.
	CrossingSpill
)

// String returns the crossing for logs; empty for none.
func (c Crossing) String() string {
	switch c {
	case CrossingHome:
		return "home of the shared part"
	case CrossingSpill:
		return "no room in the own region"
	case CrossingNone:
	}
	return ""
}

// crossingOf returns why one of this node's requests is placed on a candidate in another region; the caller holds the
// lock.
func (p *Pool) crossingOf(cand *candidate, prompt *chiverequest.Prompt) Crossing {
	switch {
	case !p.spansRegions || cand.region == p.indexOf(p.distances.RegionOf(p.localDomain)):
		return CrossingNone
	case prompt != nil && p.hasFleetHome(prompt):
		return CrossingHome
	}
	return CrossingSpill
}

// Crossing returns why the request is placed in another region.
func (p *Place) Crossing() Crossing { return p.crossing }
