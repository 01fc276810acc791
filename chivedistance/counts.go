package chivedistance

import (
	"maps"
	"time"
)

// Counts are the numbers of requests to the peers of one region since the start of this node.
type Counts struct {
	Asked    int64 `json:"asked"`
	Answered int64 `json:"answered"`
	TimedOut int64 `json:"timed_out"`
}

// RegionState is what a table holds about one region, for state dumps and metrics.
type RegionState struct {
	Counts
	// RoundTripMs is the round trip in milliseconds beyond the one inside a region; an assumed one if there is none measured.
	RoundTripMs float64 `json:"round_trip_ms"`
	Measured    bool    `json:"measured"`
	// AgeMs is how long ago the last reply came that was measured, in milliseconds.
	AgeMs int64 `json:"age_ms"`
	// Peers is the number of peers that the round trip is the median of, ShortestMs and LongestMs are the ends of their
	// range in milliseconds.
	Peers      int     `json:"peers"`
	ShortestMs float64 `json:"shortest_ms"`
	LongestMs  float64 `json:"longest_ms"`
}

// countCall counts a request that a peer answered, or did not answer in time.
func (t *Table) countCall(peer string, answered bool) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	region := t.regionOf[peer]
	counts := t.counts[region]
	counts.Asked++
	if answered {
		counts.Answered++
	} else {
		counts.TimedOut++
	}
	t.counts[region] = counts
}

// Regions returns the state of each region that is in the settings or that a peer was asked in.
func (t *Table) Regions() map[string]RegionState {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	states := make(map[string]RegionState)
	for region, counts := range t.counts {
		states[region] = RegionState{Counts: counts}
	}
	for _, region := range t.regions.Regions() {
		states[region] = t.stateOf(now, region)
	}
	return states
}

// stateOf returns the state of a region; the caller holds the lock.
func (t *Table) stateOf(now time.Time, region string) RegionState {
	state := RegionState{Counts: t.counts[region], RoundTripMs: milliseconds(t.Map().ToRegion(region))}
	m, measured := t.toRegion[region]
	if !measured {
		return state
	}
	state.Measured, state.AgeMs = true, now.Sub(m.at).Milliseconds()
	for e := range maps.Values(t.peers) {
		if e.region != region || e.isOutdated(now) {
			continue
		}
		roundTrip := milliseconds(e.shortest())
		if state.Peers == 0 || roundTrip < state.ShortestMs {
			state.ShortestMs = roundTrip
		}
		state.LongestMs = max(state.LongestMs, roundTrip)
		state.Peers++
	}
	return state
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
