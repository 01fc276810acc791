package chiveplace

import (
	"math"
	"time"
)

// An engine can be slow although it passes all health checks; only the streams that run there show it, by the pauses
// between their events. A node has few streams on an engine at a time, so it reports the pauses that it measures to the
// other nodes.

const (
	// pauseWeight is the weight of the newest pause in the moving average.
	pauseWeight = 0.3
	// pauseDecay is the time constant of the decay of a pause, so that an engine that was slow is tried again.
	pauseDecay = 2 * time.Second
	// pauseRampStart and pauseRampEnd are the ratios of the measured to the promised pause at which the chance to be
	// late rises from 0 and reaches 1.
	pauseRampStart = 0.5
	pauseRampEnd   = 1.2
	// minReportedPause is the shortest pause to report; shorter ones make no request late.
	minReportedPause = 100 * time.Millisecond
	// pauseReportFactor is the factor by which a pause has to change to be reported again.
	pauseReportFactor = 1.5
)

// decayingDuration is a duration that decays exponentially.
type decayingDuration struct {
	value     time.Duration
	updatedAt time.Time
}

func (d decayingDuration) valueAt(now time.Time) time.Duration {
	if d.value == 0 {
		return 0
	}
	return time.Duration(float64(d.value) * math.Exp(-now.Sub(d.updatedAt).Seconds()/pauseDecay.Seconds()))
}

// recordPause adds a pause between two events of a stream to the moving average.
func (c *candidate) recordPause(now time.Time, pause time.Duration) {
	before := c.ownPause.valueAt(now)
	c.ownPause = decayingDuration{before + time.Duration(pauseWeight*float64(pause-before)), now}
	if isPauseOutdated(c.ownPause.value, c.reportedPause) {
		c.dirty = true
	}
}

func isPauseOutdated(pause, reported time.Duration) bool {
	if pause < minReportedPause && reported < minReportedPause {
		return false
	}
	return float64(pause) > pauseReportFactor*float64(reported) || float64(reported) > pauseReportFactor*float64(pause)
}

// mergeReportedPause applies a pause reported by another node. The longest one counts until it has decayed.
func (c *candidate) mergeReportedPause(now time.Time, pause time.Duration) {
	if pause > c.otherPause.valueAt(now) {
		c.otherPause = decayingDuration{pause, now}
	}
}

// latePauseChance is the chance that a stream with a promised longest pause is late by the measured and reported
// pauses.
func (c *candidate) latePauseChance(now time.Time, maxPause time.Duration) float64 {
	if maxPause == 0 {
		return 0
	}
	return ramp(float64(max(c.ownPause.valueAt(now), c.otherPause.valueAt(now)))/float64(maxPause), pauseRampStart, pauseRampEnd)
}
