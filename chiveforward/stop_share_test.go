package chiveforward_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"chivedrift/chiveduration"
	"chivedrift/chiveforward"
	"chivedrift/chiverequest"
	"chivedrift/chivetable"
)

// drawnStream is a stream of a drawn size at a drawn pace.
type drawnStream struct {
	events, most, hint int
	took               time.Duration
}

// streamDrawing draws streams.
type streamDrawing struct {
	// spread is the standard deviation of the logarithm of the number of events; if zero, all have the same and their callers state
	// it. Otherwise most callers state an estimate that is often far off.
	spread float64
	// minPace and maxPace bound the time of an event as a share of the usual one. slowShare of the streams take half as long
	// again.
	minPace, maxPace, slowShare float64
}

func (s streamDrawing) draw(dice *rand.Rand) drawnStream {
	const mean, most = 43, 150
	made := drawnStream{events: mean, most: mean}
	if s.spread > 0 {
		made.events = max(1, int(mean*math.Exp(s.spread*dice.NormFloat64()-s.spread*s.spread/2)))
		made.events, made.most = min(made.events, most), most
		if dice.Float64() < 0.75 {
			made.hint = max(1, int(float64(made.events)*math.Exp(0.5*dice.NormFloat64())))
		}
	}
	pace := s.minPace + (s.maxPace-s.minPace)*dice.Float64()
	if dice.Float64() < s.slowShare {
		pace *= 1.5
	}
	made.took = time.Duration(float64(made.events) * pace * float64(60*time.Millisecond))
	return made
}

func (d drawnStream) request(route *chivetable.Route, deadline time.Time) *chiverequest.Request {
	return &chiverequest.Request{Route: route, Pool: "pool", Deadline: deadline, Prompt: &chiverequest.Prompt{MostOutput: int64(d.most), HintedOutput: int64(d.hint)}}
}

// stopShares are numbers of streams that came to stopping nodes: those that had enough time, those of them that were served, those
// that were begun, and cut, and cut although they came late.
type stopShares struct{ enough, served, begun, cut, cutLate int }

// playStops plays stops of nodes on which a number of streams have ended before.
func (s streamDrawing) playStops(dice *rand.Rand, route *chivetable.Route, known int) (shares stopShares) {
	const rounds, streams = 100, 100
	// exitTime is what a node keeps of the grace period for its exit.
	const exitTime, spareTime, early = 400 * time.Millisecond, 500 * time.Millisecond, 3 * time.Second
	for range rounds {
		grace := []time.Duration{3 * time.Second, 5 * time.Second, 5 * time.Second, 8 * time.Second, 8 * time.Second}[dice.IntN(5)]
		shutdown, began := chiveforward.NewShutdown(), time.Now()
		for range known {
			made := s.draw(dice)
			shutdown.Record(made.request(route, began), chiveduration.Ran{Took: made.took, Events: made.events, Streamed: true})
		}
		cut := began.Add(grace - exitTime)
		shutdown.Begin(began, cut)
		for range streams {
			after, made := time.Duration(dice.Int64N(int64(grace))), s.draw(dice)
			hasEnough := after+made.took+spareTime <= grace
			if hasEnough {
				shares.enough++
			}
			if !shutdown.MayBegin(began.Add(after), made.request(route, began.Add(time.Minute)), 0) {
				continue
			}
			shares.begun++
			switch {
			case after+made.took > grace-exitTime:
				shares.cut++
				if after > early {
					shares.cutLate++
				}
			case hasEnough:
				shares.served++
			}
		}
	}
	return shares
}

// Guards against stopping nodes that refuse most of the streams for which they have time, or cut more of those that they begin than
// the chances with which each may last longer.
func TestStoppingNodeServesMostStreamsWithEnoughTime(t *testing.T) {
	once, resumable := &chivetable.Route{Name: "once"}, &chivetable.Route{Name: "resumable", Repeat: chivetable.RepeatResume}
	// With fewer than fewKnown, the next one exceeds all known ones with a chance of 1 in their number and 1.
	const maxCut, maxCutResumable, maxCutLate, fewKnown = 0.02, 0.2, 0.002, 16
	for _, c := range []struct {
		name    string
		drawing streamDrawing
		// minServed is the least share of the streams with enough time that is served; zero where nothing tells which these are.
		minServed float64
	}{
		{"of one size", streamDrawing{minPace: 0.9, maxPace: 1.2, slowShare: 0.03}, 0.5},
		{"of drawn sizes", streamDrawing{spread: 0.89, minPace: 0.9, maxPace: 1.2, slowShare: 0.03}, 0},
		{"at drawn paces", streamDrawing{minPace: 0.3, maxPace: 3}, 0},
	} {
		for _, known := range []int{4, 16, 128} {
			var all stopShares
			for _, route := range []*chivetable.Route{once, resumable} {
				got := c.drawing.playStops(rand.New(rand.NewPCG(1, 2)), route, known)
				begun := max(1, float64(got.begun))
				t.Logf("%s %s, %d known: %d of %d with enough time served, %d begun, %.4f cut, %.4f cut late", route.Name, c.name, known, got.served, got.enough, got.begun, float64(got.cut)/begun, float64(got.cutLate)/begun)
				limit, limitLate := maxCut, maxCutLate
				if route == resumable {
					limit = maxCutResumable
				}
				if known < fewKnown {
					limit += 1 / float64(known+1)
					limitLate += 1 / float64(known+1)
				}
				if float64(got.cut) > limit*begun || float64(got.cutLate) > limitLate*begun {
					t.Errorf("%s %s, %d known: of %d begun streams %d were cut, %d that came late", route.Name, c.name, known, got.begun, got.cut, got.cutLate)
				}
				all.enough += got.enough
				all.served += got.served
			}
			if float64(all.served) <= c.minServed*float64(all.enough) && c.minServed > 0 {
				t.Errorf("streams %s, %d known: %d of %d with enough time were served", c.name, known, all.served, all.enough)
			}
		}
	}
}
