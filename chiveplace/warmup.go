package chiveplace

import (
	"time"

	"chivedrift/chivedirectory"
)

// An endpoint that has just started accepts only a few requests a second for a while, and crashes at a rate well above
// that. So all nodes together stay within that rate.

// warmUpState is the state of an endpoint that is warming up.
type warmUpState struct {
	// endsAt is the end of the warm-up, lastPlacedAt when this node last placed a request on the endpoint during it.
	endsAt       time.Time
	lastPlacedAt time.Time
}

// setEndpoint applies the current directory entry of the endpoint.
func (c *candidate) setEndpoint(now time.Time, e chivedirectory.Endpoint) {
	before := c.warmUp
	if e.Address != c.endpoint.Address {
		c.goneUntil = time.Time{}
	}
	c.endpoint, c.warmUp = e, nil
	if e.WarmUp > 0 {
		// The entry was written before this node learns of it, so this end is too late rather than too early.
		c.warmUp = &warmUpState{endsAt: now.Add(e.WarmUp)}
		if before != nil {
			c.warmUp.lastPlacedAt = before.lastPlacedAt
		}
	}
}

// isWarmingUp reports whether the endpoint accepts only a few requests for now.
func (p *Pool) isWarmingUp(now time.Time, cand *candidate) bool {
	return p.warmUpRate > 0 && cand.warmUp != nil && now.Before(cand.warmUp.endsAt)
}

// warmUpAllows reports whether this node may place a request on an endpoint that is warming up.
func (p *Pool) warmUpAllows(now time.Time, cand *candidate, ask Ask) bool {
	nodes := float64(max(p.nodeCount, 1))
	if ask.Among != nil {
		// The owner of an engine grants all places on it.
		nodes = 1
	}
	interval := time.Duration(nodes / p.warmUpRate * float64(time.Second))
	if interval > cand.endpoint.WarmUp {
		// This node's share of the rate in so large a fleet is less than one request.
		return false
	}
	return now.Sub(cand.warmUp.lastPlacedAt) >= interval
}

// SetWarmUpRate sets how many requests a second an endpoint accepts while it warms up; 0 means no limit.
func (p *Pool) SetWarmUpRate(rate float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.warmUpRate = rate
}

// SetNodes sets how many nodes place requests on the pool.
func (p *Pool) SetNodes(nodes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.nodeCount = nodes
}
