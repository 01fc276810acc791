package chivescale

import (
	"math"
	"slices"
	"time"

	"chivedrift/chivetable"
)

const (
	// requestsPerReplica is the target maximum of requests in progress per replica; concurrent prefills delay each other.
	requestsPerReplica = 4.0
	// peakRetention is how long capacity is kept for a load peak; replicas that stop lose their caches.
	peakRetention = 20 * time.Second
	// onDemandShare is the fraction of the initial replicas kept on-demand when preemptible ones are used.
	onDemandShare = 0.2
	// baselineRatio is the minimum number of replicas of both kinds, relative to the initial replicas, when preemptible ones are used.
	baselineRatio = 1.8
	// maxPreemptiblePrice is the highest price, relative to an on-demand replica, at which preemptible replicas are used.
	maxPreemptiblePrice = 0.5
	// unavailableBackoff is how long a failure domain counts as unavailable for preemptible replicas after a refused order.
	unavailableBackoff = 3 * time.Second
)

// Domain holds the numbers of replicas of a pool that accept requests in a failure domain.
type Domain struct {
	Name        string
	OnDemand    int
	Preemptible int
}

// Total returns the number of replicas of both kinds.
func (d Domain) Total() int { return d.OnDemand + d.Preemptible }

// Order sets the number of replicas of one kind in a failure domain.
type Order struct {
	Pool        string
	Domain      string
	Preemptible bool
	Count       int
}

// load is the number of requests in progress at a time.
type load struct {
	at       time.Duration
	requests float64
}

// Planner plans the replicas of one pool.
type Planner struct {
	scaling chivetable.Scaling
	// initial is the number of replicas before the first order.
	initial int
	// startedAt is when planning began; earlier loads are unknown.
	startedAt time.Duration
	// peaks holds the highest loads within peakRetention, in descending order.
	peaks []load
	// onDemand is the number of on-demand replicas last planned by failure domain; it only decreases, down to the on-demand share.
	onDemand map[string]int
	// unavailableUntil is when a failure domain counts as available for preemptible replicas again.
	unavailableUntil map[string]time.Duration
}

// NewPlanner returns a planner that starts at now, for a pool with the given number of replicas before the first order.
func NewPlanner(now time.Duration, scaling chivetable.Scaling, initial int) *Planner {
	return &Planner{scaling: scaling, initial: initial, startedAt: now, onDemand: make(map[string]int), unavailableUntil: make(map[string]time.Duration)}
}

// MarkUnavailable marks a failure domain as unavailable for preemptible replicas for unavailableBackoff.
func (p *Planner) MarkUnavailable(now time.Duration, domain string) {
	p.unavailableUntil[domain] = now + unavailableBackoff
}

// Plan returns the orders for all failure domains, given the number of requests in progress.
func (p *Planner) Plan(now time.Duration, requests float64, domains []Domain) []Order {
	if len(domains) == 0 {
		return nil
	}
	p.recordLoad(now, requests)
	if !p.usesPreemptible() {
		return p.planOnDemand(domains)
	}
	return p.planMixed(now, domains)
}

// usesPreemptible reports whether preemptible replicas exist and are cheap enough to justify reclaims.
func (p *Planner) usesPreemptible() bool {
	return p.scaling.PreemptiblePrice > 0 && p.scaling.PreemptiblePrice <= maxPreemptiblePrice
}

// recordLoad adds a load, and drops earlier loads that are not higher or that are older than peakRetention.
func (p *Planner) recordLoad(now time.Duration, requests float64) {
	p.peaks = slices.DeleteFunc(p.peaks, func(l load) bool { return now-l.at > peakRetention || l.requests <= requests })
	p.peaks = append(p.peaks, load{now, requests})
}

// required returns the number of replicas required by the recent peak, but no less than minimum.
func (p *Planner) required(minimum float64) float64 {
	return max(p.peaks[0].requests/requestsPerReplica, minimum)
}

// planOnDemand orders on-demand replicas only, and never fewer than the initial number.
func (p *Planner) planOnDemand(domains []Domain) (orders []Order) {
	perDomain := p.required(float64(p.initial)) / float64(len(domains))
	for _, d := range domains {
		orders = append(orders, Order{Domain: d.Name, Count: p.clamp(perDomain, p.scaling.Max)})
	}
	return orders
}

// planMixed divides the required preemptible replicas among the available failure domains, and reduces the on-demand replicas to their share as
// preemptible ones start.
func (p *Planner) planMixed(now time.Duration, domains []Domain) (orders []Order) {
	count, initial := float64(len(domains)), float64(p.initial)
	baseline := initial * baselineRatio
	availableDomains := 0
	for _, d := range domains {
		if now >= p.unavailableUntil[d.Name] {
			availableDomains++
		}
	}
	onDemand := p.clamp(initial*onDemandShare/count, p.scaling.Max)
	requiredPreemptible := p.required(baseline) - float64(onDemand)*count
	for _, d := range domains {
		minimum := max(onDemand, int(math.Ceil(baseline/count))-d.Preemptible)
		p.onDemand[d.Name] = max(min(p.lastOnDemand(d), minimum), onDemand)
		orders = append(orders, Order{Domain: d.Name, Count: p.onDemand[d.Name]})
		preemptible := p.clamp(requiredPreemptible/max(float64(availableDomains), 1), p.scaling.Max-p.onDemand[d.Name])
		if requiredPreemptible <= 0 {
			preemptible = 0
		}
		if now-p.startedAt < peakRetention {
			// The previous lease holder may have ordered these for a peak before startedAt.
			preemptible = max(preemptible, min(d.Preemptible, p.scaling.Max-p.onDemand[d.Name]))
		}
		orders = append(orders, Order{Domain: d.Name, Preemptible: true, Count: preemptible})
	}
	return orders
}

// lastOnDemand returns the number of on-demand replicas last planned in a failure domain, or of those running if none was planned.
func (p *Planner) lastOnDemand(d Domain) int {
	if count, ok := p.onDemand[d.Name]; ok {
		return count
	}
	return d.OnDemand
}

// clamp rounds count up and limits it to the minimum per failure domain and to maximum, which takes precedence.
func (p *Planner) clamp(count float64, maximum int) int {
	return min(max(int(math.Ceil(count)), p.scaling.Min), max(maximum, 0))
}
