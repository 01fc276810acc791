package chiveplace

import (
	"slices"
	"time"

	"chivedrift/chiveresidency"
)

// retryAfterEvacuated is the time after which to retry on a pool whose failure domains are all evacuated: only an
// operator ends that.
const retryAfterEvacuated = 10 * time.Second

// SetEvacuated sets the failure domains whose endpoints get no requests.
func (p *Pool) SetEvacuated(domains []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.noteReturned(time.Now(), domains)
	p.evacuatedDomains = domains
}

// IsEvacuated reports whether an endpoint at an address is in an evacuated failure domain.
func (p *Pool) IsEvacuated(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.evacuatedDomains) > 0 && slices.ContainsFunc(p.sorted, func(cand *candidate) bool {
		return cand.endpoint.Address == address && p.isEvacuated(cand)
	})
}

// isEvacuated reports whether the candidate is in an evacuated failure domain; the caller holds the lock.
func (p *Pool) isEvacuated(cand *candidate) bool {
	return slices.Contains(p.evacuatedDomains, cand.endpoint.FailureDomain)
}

// recordDomain records that the pool has an endpoint in a failure domain; the caller holds the lock.
func (p *Pool) recordDomain(domain string) {
	if !slices.Contains(p.usedDomains, domain) {
		p.usedDomains = append(p.usedDomains, domain)
	}
}

// allEvacuated reports whether all failure domains are evacuated in which the pool has had endpoints and that the ask
// allows. One whose only endpoint is restarting counts, although nothing is listed there; the caller holds the lock.
func (p *Pool) allEvacuated(ask Ask) bool {
	allowed := 0
	for _, domain := range p.usedDomains {
		if !ask.Domains.Contains(domain) {
			continue
		}
		if !slices.Contains(p.evacuatedDomains, domain) {
			return false
		}
		allowed++
	}
	return allowed > 0
}

// mayFetchFrom reports whether the endpoint at an address is in a failure domain that is allowed and not evacuated; the
// caller holds the lock.
func (p *Pool) mayFetchFrom(address string, domains chiveresidency.Domains) bool {
	if !domains.IsLimited() && len(p.evacuatedDomains) == 0 {
		return true
	}
	return slices.ContainsFunc(p.sorted, func(cand *candidate) bool {
		return cand.endpoint.Address == address && domains.Contains(cand.endpoint.FailureDomain) && !p.isEvacuated(cand)
	})
}

// IsWithin reports whether the endpoint is in one of the given failure domains.
func (p *Place) IsWithin(domains chiveresidency.Domains) bool {
	return domains.Contains(p.endpoint.FailureDomain)
}

// FetchWithin returns the same address as FetchFrom, but only if the endpoint there is in one of the given failure domains
// and that is not evacuated. Otherwise the engine prefills the tokens that it was to fetch.
func (p *Place) FetchWithin(domains chiveresidency.Domains) string {
	p.pool.mu.Lock()
	defer p.pool.mu.Unlock()
	if !p.mayFetchWithin(domains) && !p.prefilled && !p.done {
		p.cancelFetch()
	}
	return p.fetchFrom
}

// MayFetchWithin reports whether the planned fetch, if there is one, is from an endpoint in one of the given failure
// domains that is not evacuated.
func (p *Place) MayFetchWithin(domains chiveresidency.Domains) bool {
	p.pool.mu.Lock()
	defer p.pool.mu.Unlock()
	return p.mayFetchWithin(domains)
}

// mayFetchWithin is MayFetchWithin; the caller holds the lock.
func (p *Place) mayFetchWithin(domains chiveresidency.Domains) bool {
	return p.fetchFrom == "" || p.pool.mayFetchFrom(p.fetchFrom, domains)
}

// cancelFetch makes the engine prefill what it was to fetch; the caller holds the lock.
func (p *Place) cancelFetch() {
	p.candidate.removeQueued(p)
	p.way = max(p.way-p.pool.wayFrom(p.fetchFrom, p.candidate), 0)
	p.prefillTokens += p.fetchTokens
	p.fetchTokens, p.fetchFrom = 0, ""
	p.candidate.addQueued(p)
}
