package chiveplace

import (
	"maps"
	"slices"
	"time"
)

// When the evacuation of a failure domain ends, every node sees idle endpoints there. Without a ramp the next request of each
// node goes to them.

// returnRamp is how long after its evacuation ended a failure domain gets a smaller part of the requests.
const returnRamp = 3 * time.Second

// noteReturned records which failure domains an evacuation no longer includes; the caller holds the lock.
func (p *Pool) noteReturned(now time.Time, evacuated []string) {
	maps.DeleteFunc(p.returnedAt, func(domain string, at time.Time) bool {
		return now.Sub(at) >= returnRamp || slices.Contains(evacuated, domain)
	})
	for _, domain := range p.evacuatedDomains {
		if !slices.Contains(evacuated, domain) {
			p.returnedAt[domain] = now
		}
	}
}

// returnedPart returns the part of the ramp that is over for an endpoint; 1 if no evacuation ended lately.
func (p *Pool) returnedPart(now time.Time, cand *candidate) float64 {
	at, returned := p.returnedAt[cand.endpoint.FailureDomain]
	if !returned {
		return 1
	}
	return min(now.Sub(at).Seconds()/returnRamp.Seconds(), 1)
}

// admitReturning adds candidates of failure domains that have just returned to the choice of some requests: of more and more, up
// to their share of the candidates in the first half of the ramp and up to all in the second half.
func (p *Pool) admitReturning(now time.Time, usable, returning []*candidate) []*candidate {
	if len(usable) == 0 || len(returning) == 0 {
		return append(usable, returning...)
	}
	share, part := float64(len(returning))/float64(len(usable)+len(returning)), 2*p.returnedPart(now, returning[0])
	admitted := share * part
	if part > 1 {
		admitted = share + (1-share)*(part-1)
	}
	if p.rng.Float64() >= admitted {
		return usable
	}
	return append(usable, returning...)
}
