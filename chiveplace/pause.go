package chiveplace

import (
	"math"
	"time"
)

// An engine can be slow although it answers every question after its health; only the streams that run there show it, by the
// pauses between their events. A node has few streams on an engine at a time, so what it sees it tells the others.

const (
	// pauseMemory is the weight of the newest pause in the running one.
	pauseMemory = 0.3
	// pauseFades is the time constant in which a pause is forgotten, so that an engine that was slow is tried again.
	pauseFades = 2 * time.Second
	// pauseFrom and pauseTo bound the ramp of the chance to be late by a pause, as shares of the promised pause.
	pauseFrom = 0.5
	pauseTo   = 1.2
	// pauseTold is the pause from which the other nodes are told; shorter ones make nobody late.
	pauseTold = 100 * time.Millisecond
	// pauseTelling is the factor by which a pause has to change before it is told anew.
	pauseTelling = 1.5
)

// fading is a duration that is forgotten with time.
type fading struct {
	value time.Duration
	at    time.Time
}

func (f fading) now(now time.Time) time.Duration {
	if f.value == 0 {
		return 0
	}
	return time.Duration(float64(f.value) * math.Exp(-now.Sub(f.at).Seconds()/pauseFades.Seconds()))
}

// notePause takes a pause between two events of one stream.
func (s *candidate) notePause(now time.Time, pause time.Duration) {
	before := s.pause.now(now)
	s.pause = fading{before + time.Duration(pauseMemory*float64(pause-before)), now}
	if pauseOutdated(s.pause.value, s.told) {
		s.dirty = true
	}
}

func pauseOutdated(pause, told time.Duration) bool {
	if pause < pauseTold && told < pauseTold {
		return false
	}
	return float64(pause) > pauseTelling*float64(told) || float64(told) > pauseTelling*float64(pause)
}

// hearPause takes what another node tells of the pauses there; the longest that is not forgotten counts.
func (s *candidate) hearPause(now time.Time, pause time.Duration) {
	if pause > s.heard.now(now) {
		s.heard = fading{pause, now}
	}
}

// latePauses is the chance that a stream is late by its pauses alone.
func (s *candidate) latePauses(now time.Time, promised time.Duration) float64 {
	if promised == 0 {
		return 0
	}
	return ramp(float64(max(s.pause.now(now), s.heard.now(now)))/float64(promised), pauseFrom, pauseTo)
}
