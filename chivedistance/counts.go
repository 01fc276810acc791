package chivedistance

import (
	"context"
	"log/slog"
	"maps"
	"time"

	"chivedrift/chiveevent"

	"github.com/uber-go/tally/v4"
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

// add counts a request.
func (c *Counts) add(answered bool) {
	c.Asked++
	if answered {
		c.Answered++
	} else {
		c.TimedOut++
	}
}

// regionCalls are the requests to the peers of one region.
type regionCalls struct {
	total Counts
	// recent are those since startedAt.
	recent    Counts
	startedAt time.Time
	// silent means that too many of the requests before startedAt had no answer in time.
	silent bool

	answered, timedOut tally.Counter
	took               tally.Histogram
}

const (
	// silencePeriod is the time over which the requests without an answer are counted.
	silencePeriod = 10 * time.Second
	// minSilentCalls and silentDivisor are how many requests, and which part of them, have no answer from a silent region.
	minSilentCalls = 5
	silentDivisor  = 10
)

// endPeriod starts the next period if this one is over, and reports whether the region has turned silent or has answered
// again.
func (c *regionCalls) endPeriod(now time.Time) (period Counts, changed bool) {
	if now.Sub(c.startedAt) < silencePeriod {
		return Counts{}, false
	}
	period, c.recent, c.startedAt = c.recent, Counts{}, now
	silent := period.TimedOut >= minSilentCalls && period.TimedOut*silentDivisor >= period.Asked
	changed = silent != c.silent
	c.silent = silent
	return period, changed
}

// Instrument sets where the table logs and counts; it must be called before the first measurement.
func (t *Table) Instrument(logger *slog.Logger, scope tally.Scope) { t.logger, t.scope = logger, scope }

// countCall counts a request that a peer answered after some time, or did not answer in time.
func (t *Table) countCall(peer string, took time.Duration, answered bool) {
	if t == nil || !t.Map().SpansRegions() {
		return
	}
	region, period, silent, changed := t.addCall(time.Now(), peer, took, answered)
	if !changed {
		return
	}
	event := chiveevent.RegionAnswers
	if silent {
		event = chiveevent.RegionSilent
	}
	event.Log(context.Background(), t.logger, slog.String("region", region), slog.Int64("asked", period.Asked), slog.Int64("timed_out", period.TimedOut))
}

// addCall counts a request and reports whether the peer's region has turned silent or has answered again.
func (t *Table) addCall(now time.Time, peer string, took time.Duration, answered bool) (region string, period Counts, silent, changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	region = t.regionOf[peer]
	c := t.callsTo(now, region)
	c.total.add(answered)
	c.recent.add(answered)
	if answered {
		c.answered.Inc(1)
		c.took.RecordDuration(took)
	} else {
		c.timedOut.Inc(1)
	}
	period, changed = c.endPeriod(now)
	return region, period, c.silent, changed
}

// callBuckets are the upper bounds of the histogram of the times to a reply.
var callBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 10)

// callsTo returns the requests to a region; the caller holds the lock.
func (t *Table) callsTo(now time.Time, region string) *regionCalls {
	c, ok := t.calls[region]
	if !ok {
		scope := t.scope.Tagged(map[string]string{"region": region})
		c = &regionCalls{
			startedAt: now, answered: scope.Counter("peer_calls_answered"), timedOut: scope.Counter("peer_calls_timed_out"),
			took: scope.Histogram("peer_call_seconds", callBuckets),
		}
		t.calls[region] = c
	}
	return c
}

// change is a change of the round trip to a region; the zero value stands for none.
type change struct {
	noticeable bool
	// logged means that the round trip differs from the one that was logged last by more than logDivisor allows.
	logged            bool
	region            string
	roundTrip, before time.Duration
}

// changeOf returns a noticeable change; the caller holds the lock.
func (t *Table) changeOf(region string, roundTrip time.Duration) change {
	last, logged := t.logged[region]
	c := change{noticeable: true, region: region, roundTrip: roundTrip, before: last}
	if c.logged = !logged || (roundTrip-last).Abs() > last/logDivisor; c.logged {
		t.logged[region] = roundTrip
	}
	return c
}

// log logs a change without the lock, so that a slow log does not hold up readers.
func (t *Table) log(c change) {
	if !c.logged {
		return
	}
	chiveevent.DistanceMeasured.Log(context.Background(), t.logger, slog.String("region", c.region),
		slog.Float64("round_trip_ms", milliseconds(c.roundTrip)), slog.Float64("before_ms", milliseconds(c.before)))
}

// logDivisor is the divisor of a round trip that gives the change that is not logged.
const logDivisor = 4

// Regions returns the state of each region that is in the settings or that a peer was asked in.
func (t *Table) Regions() map[string]RegionState {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	states := make(map[string]RegionState)
	for region, c := range t.calls {
		states[region] = RegionState{Counts: c.total}
	}
	for _, region := range t.regions.Regions() {
		states[region] = t.stateOf(now, region)
	}
	return states
}

// stateOf returns the state of a region; the caller holds the lock.
func (t *Table) stateOf(now time.Time, region string) RegionState {
	state := RegionState{RoundTripMs: milliseconds(t.Map().ToRegion(region))}
	if c, ok := t.calls[region]; ok {
		state.Counts = c.total
	}
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
