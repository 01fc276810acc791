package chivescale

import (
	"math"
	"slices"
	"time"

	"chivedrift/chivetable"
)

const (
	// requestsPerReplica is the target maximum of requests in progress per replica, because concurrent prefills delay
	// each other.
	requestsPerReplica = 4.0
	// peakRetention is how long capacity is kept after a load peak, because a replica that stops loses its cache.
	peakRetention = 20 * time.Second
	// onDemandShare is the number of on-demand replicas, relative to the initial ones, when preemptible ones are used.
	onDemandShare = 0.2
	// baselineRatio is the minimum number of replicas of both kinds, relative to the initial replicas, when preemptible
	// ones are used.
	baselineRatio = 1.8
	// maxPreemptiblePrice is the maximum price of a preemptible replica, relative to an on-demand one, at which
	// preemptible replicas are used.
	maxPreemptiblePrice = 0.5
	// unavailableBackoff is how long no preemptible replicas are expected from a failure domain after a refused order.
	unavailableBackoff = 3 * time.Second
)

// Domain holds the numbers of a pool's replicas in a failure domain that accept requests.
type Domain struct {
	Name        string
	OnDemand    int
	Preemptible int
}

// Total returns the number of replicas of both kinds.
func (d Domain) Total() int { return d.OnDemand + d.Preemptible }

// Order sets the number of a pool's replicas of one kind, on-demand or preemptible, in a failure domain.
type Order struct {
	Pool        string
	Domain      string
	Preemptible bool
	Count       int
}

// loadSample is the number of requests in progress at one point in time.
type loadSample struct {
	at       time.Duration
	requests float64
}

// Planner plans the replicas of one pool.
type Planner struct {
	scaling chivetable.Scaling
	// initial is the number of replicas before the first order.
	initial int
	// keepsRunningUntil is until when running replicas are kept, because a previous lease holder may have ordered them for a
	// peak that is not among peaks.
	keepsRunningUntil time.Duration
	// peaks holds the loads within peakRetention that no later load has reached. They decrease, so the first one is the
	// maximum.
	peaks []loadSample
	// onDemand holds the number of on-demand replicas last planned, by failure domain. It only decreases, down to
	// onDemandShare.
	onDemand map[string]int
	// unavailableUntil holds the time at which unavailableBackoff ends, by failure domain.
	unavailableUntil map[string]time.Duration
}

// NewPlanner returns a planner that starts at now, for a pool that had the given number of replicas before the first
// order.
func NewPlanner(now time.Duration, scaling chivetable.Scaling, initial int) *Planner {
	return &Planner{scaling: scaling, initial: initial, keepsRunningUntil: now + peakRetention, onDemand: make(map[string]int), unavailableUntil: make(map[string]time.Duration)}
}

// resume continues at now the planning of a previous lease holder, given its load peak and its orders. isNewest means that the
// holder has not planned anything since.
func (p *Planner) resume(now time.Duration, peak storedPeak, orders []storedOrder, isNewest bool) {
	if retention := peak.Retention - retentionStep; retention > 0 {
		p.peaks = []loadSample{{now + retention - peakRetention, peak.Requests}}
	}
	if isNewest {
		p.keepsRunningUntil = now + max(peak.RunningRetention-retentionStep, 0)
	}
	for _, o := range orders {
		if !o.Preemptible {
			p.onDemand[o.Domain] = o.Count
		}
		if o.Preemptible && o.Outcome == outcomeRefused {
			p.MarkUnavailable(now, o.Domain)
		}
	}
}

// stored returns the peak as the next holder is to see it at now.
func (p *Planner) stored(now time.Duration) storedPeak {
	peak := storedPeak{Requests: float64(p.initial) * requestsPerReplica, RunningRetention: max(p.keepsRunningUntil-now, 0)}
	if len(p.peaks) > 0 && p.peaks[0].requests > peak.Requests {
		peak.Requests, peak.Retention = p.peaks[0].requests, p.peaks[0].at+peakRetention-now
	}
	return peak
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
		return p.planOnDemand(now, domains)
	}
	return p.planMixed(now, domains)
}

// usesPreemptible reports whether preemptible replicas are offered, at a price low enough to justify being reclaimed.
func (p *Planner) usesPreemptible() bool {
	return p.scaling.PreemptiblePrice > 0 && p.scaling.PreemptiblePrice <= maxPreemptiblePrice
}

// recordLoad adds a load, and drops earlier ones that are not higher or are older than peakRetention.
func (p *Planner) recordLoad(now time.Duration, requests float64) {
	p.peaks = slices.DeleteFunc(p.peaks, func(l loadSample) bool { return now-l.at > peakRetention || l.requests <= requests })
	p.peaks = append(p.peaks, loadSample{now, requests})
}

// requiredReplicas returns the number of replicas needed for the recent peak, but no less than minimum.
func (p *Planner) requiredReplicas(minimum float64) float64 {
	return max(p.peaks[0].requests/requestsPerReplica, minimum)
}

// keepRunning keeps running replicas for peakRetention, because the peak for which they were ordered is unknown.
func (p *Planner) keepRunning(now time.Duration) { p.keepsRunningUntil = now + peakRetention }

// keepsRunning reports whether running replicas are kept.
func (p *Planner) keepsRunning(now time.Duration) bool { return now < p.keepsRunningUntil }

// planOnDemand orders on-demand replicas only, in total no fewer than the initial number.
func (p *Planner) planOnDemand(now time.Duration, domains []Domain) (orders []Order) {
	perDomain := p.requiredReplicas(float64(p.initial)) / float64(len(domains))
	for _, d := range domains {
		count := p.clamp(perDomain, p.scaling.Max)
		if p.keepsRunning(now) {
			count = max(count, min(d.OnDemand, p.scaling.Max))
		}
		orders = append(orders, Order{Domain: d.Name, Count: count})
	}
	return orders
}

// planMixed divides the required preemptible replicas by the number of available failure domains, so that these make up
// for the others. It reduces the on-demand replicas to onDemandShare as preemptible ones start.
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
	requiredPreemptible := p.requiredReplicas(baseline) - float64(onDemand)*count
	for _, d := range domains {
		minimum := max(onDemand, int(math.Ceil(baseline/count))-d.Preemptible)
		p.onDemand[d.Name] = max(min(p.lastOnDemand(d), minimum), onDemand)
		orders = append(orders, Order{Domain: d.Name, Count: p.onDemand[d.Name]})
		preemptible := p.clamp(requiredPreemptible/max(float64(availableDomains), 1), p.scaling.Max-p.onDemand[d.Name])
		if requiredPreemptible <= 0 {
			preemptible = 0
		}
		if p.keepsRunning(now) {
			preemptible = max(preemptible, min(d.Preemptible, p.scaling.Max-p.onDemand[d.Name]))
		}
		orders = append(orders, Order{Domain: d.Name, Preemptible: true, Count: preemptible})
	}
	return orders
}

// lastOnDemand returns the number of on-demand replicas last planned for a failure domain, or the number running if
// none was planned.
func (p *Planner) lastOnDemand(d Domain) int {
	if count, ok := p.onDemand[d.Name]; ok {
		return count
	}
	return d.OnDemand
}

// clamp rounds count up and limits it to the configured minimum per failure domain and to maximum, which takes
// precedence.
func (p *Planner) clamp(count float64, maximum int) int {
	return min(max(int(math.Ceil(count)), p.scaling.Min), max(maximum, 0))
}
