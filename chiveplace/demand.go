package chiveplace

import (
	"math"
	"time"
)

// Recomputing cached tokens costs engine time that other requests would use. How many of them it makes late depends on
// the current load: nobody waits while engines are nearly idle, but in a burst each millisecond delays the whole queue.

const (
	// demandDecay is the time constant of the decay of arrivals: bursts last for seconds, and one second has enough
	// arrivals for an estimate.
	demandDecay = 2 * time.Second
	// maxUtilization limits the utilization in the estimate: above it queues do not reach a steady state, and the
	// effect of a burst cannot be derived from its rate.
	maxUtilization = 0.9
)

// demand is the rate of the prompts that an engine gets from this node and, as far as they report it, from all others.
type demand struct {
	// arrivalRate is in prompts per millisecond, utilization in milliseconds of engine time per millisecond.
	arrivalRate float64
	utilization float64
	updatedAt   time.Time
}

func (d *demand) decay(now time.Time) {
	elapsed := now.Sub(d.updatedAt)
	if elapsed <= 0 || d.arrivalRate == 0 {
		d.updatedAt = now
		return
	}
	factor := math.Exp(-elapsed.Seconds() / demandDecay.Seconds())
	d.arrivalRate *= factor
	d.utilization *= factor
	d.updatedAt = now
}

// addPrompt adds a prompt that takes the given engine time.
func (d *demand) addPrompt(now time.Time, ms float64) {
	d.decay(now)
	window := float64(demandDecay.Milliseconds())
	d.arrivalRate += 1 / window
	d.utilization += ms / window
}

// groupDemand is the demand on a group of engines and the work queued there.
type groupDemand struct {
	engines     int
	arrivalRate float64
	utilization float64
	// queuedMs is the predicted time of all queued prompt tokens.
	queuedMs float64
}

func (g *groupDemand) add(now time.Time, d *demand, queuedMs float64) {
	d.decay(now)
	g.engines++
	g.arrivalRate += d.arrivalRate
	g.utilization += d.utilization
	g.queuedMs += queuedMs
}

// lossPerMs returns the expected number of requests that miss their target for each millisecond that one of the engines
// spends. Requests that arrive while the engine is behind get their first event that much later, and each millisecond
// raises their chance to be late by its share of the ramp.
func (g *groupDemand) lossPerMs(targetMs float64) float64 {
	if g.engines == 0 || g.arrivalRate == 0 {
		return 0
	}
	n := float64(g.engines)
	delayMs := g.queuedMs/n + g.utilization/g.arrivalRate
	delayed := g.arrivalRate / n * delayMs / (1 - min(g.utilization/n, maxUtilization))
	return delayed / ((ttftRampEnd - ttftRampStart) * targetMs)
}
