package chiveplace

import (
	"math"
	"time"
)

// Reading something again costs the time that it takes from others. How much that is depends on the load of the moment: when
// engines are nearly idle nobody waits, and in a burst each millisecond is a millisecond for everyone in the queue.

const (
	// demandFades is the time constant in which arrivals are forgotten: bursts last for seconds, and a second has enough arrivals to tell.
	demandFades = 2 * time.Second
	// busyMost bounds the load that is reckoned with: above it queues do not settle, and what a burst adds cannot be told from its rate.
	busyMost = 0.9
)

// demand is how many prompts an engine gets, from all nodes as far as they tell, and how much work they are.
type demand struct {
	// arrivals are prompts a millisecond, work is the engine's time a millisecond.
	arrivals float64
	work     float64
	at       time.Time
}

func (d *demand) fade(now time.Time) {
	passed := now.Sub(d.at)
	if passed <= 0 || d.arrivals == 0 {
		d.at = now
		return
	}
	keep := math.Exp(-passed.Seconds() / demandFades.Seconds())
	d.arrivals *= keep
	d.work *= keep
	d.at = now
}

// note counts a prompt that takes the engine so many milliseconds.
func (d *demand) note(now time.Time, ms float64) {
	d.fade(now)
	window := float64(demandFades.Milliseconds())
	d.arrivals += 1 / window
	d.work += ms / window
}

// crowd is the demand on a group of engines with what waits there.
type crowd struct {
	engines  int
	arrivals float64
	work     float64
	// waiting is the time in milliseconds that all of what waits takes.
	waiting float64
}

func (c *crowd) add(now time.Time, d *demand, waiting float64) {
	d.fade(now)
	c.engines++
	c.arrivals += d.arrivals
	c.work += d.work
	c.waiting += waiting
}

// lossPerMs returns how many requests with a target miss it for each millisecond that one of the engines spends: those that arrive
// while it is behind come that much later, and each millisecond is its part of the ramp of their chance to be late.
func (c *crowd) lossPerMs(target float64) float64 {
	if c.engines == 0 || c.arrivals == 0 {
		return 0
	}
	n := float64(c.engines)
	behind := c.waiting/n + c.work/c.arrivals
	arriving := c.arrivals / n * behind / (1 - min(c.work/n, busyMost))
	return arriving / ((lateTo - lateFrom) * target)
}
