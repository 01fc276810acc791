package chiverelay

import (
	"math/rand/v2"
	"slices"
	"sync"

	"chivedrift/chivedirectory"
)

// endpointPaths holds the addresses of the registered endpoints and which of them this node cannot connect to itself.
type endpointPaths struct {
	mu   sync.Mutex
	byID map[string]chivedirectory.Endpoint
	// byAddress counts the endpoints registered at an address, which may be two while one replaces the other.
	byAddress map[string]*path
}

// path is this node's own path to an address.
type path struct {
	failureDomain string
	endpoints     int
	// lost means that this node could not connect, while a peer could.
	lost bool
}

func newEndpointPaths() *endpointPaths {
	return &endpointPaths{byID: make(map[string]chivedirectory.Endpoint), byAddress: make(map[string]*path)}
}

// apply applies a change of the directory.
func (p *endpointPaths) apply(diff chivedirectory.Diff) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range diff.Gone {
		p.remove(e.ID)
	}
	for _, e := range diff.Changed {
		if known, ok := p.byID[e.ID]; ok && known.Address == e.Address {
			continue
		}
		p.remove(e.ID)
		p.byID[e.ID] = e
		if p.byAddress[e.Address] == nil {
			p.byAddress[e.Address] = &path{}
		}
		p.byAddress[e.Address].endpoints++
		p.byAddress[e.Address].failureDomain = e.FailureDomain
	}
}

// remove removes an endpoint; the caller holds the lock.
func (p *endpointPaths) remove(id string) {
	e, ok := p.byID[id]
	if !ok {
		return
	}
	delete(p.byID, id)
	if p.byAddress[e.Address].endpoints--; p.byAddress[e.Address].endpoints == 0 {
		delete(p.byAddress, e.Address)
	}
}

// find returns the failure domain of the endpoint at an address and whether the path to it is lost.
func (p *endpointPaths) find(address string) (failureDomain string, lost, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	found, ok := p.byAddress[address]
	if !ok {
		return "", false, false
	}
	return found.failureDomain, found.lost, true
}

// setLost records whether the path to an address is lost, and returns the number of lost paths and whether it changed.
func (p *endpointPaths) setLost(address string, lost bool) (count int, changed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if found, ok := p.byAddress[address]; ok && found.lost != lost {
		found.lost, changed = lost, true
	}
	return len(p.lostAddresses()), changed
}

// lostCount returns the number of lost paths.
func (p *endpointPaths) lostCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.lostAddresses())
}

// takeLost returns up to limit lost addresses in random order.
func (p *endpointPaths) takeLost(limit int) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	lost := p.lostAddresses()
	rand.Shuffle(len(lost), func(i, j int) { lost[i], lost[j] = lost[j], lost[i] })
	return lost[:min(limit, len(lost))]
}

// lostAddresses returns the lost addresses in order; the caller holds the lock.
func (p *endpointPaths) lostAddresses() []string {
	var lost []string
	for address, candidate := range p.byAddress {
		if candidate.lost {
			lost = append(lost, address)
		}
	}
	slices.Sort(lost)
	return lost
}
