package chiveduration_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"chivedrift/chiveduration"
	"chivedrift/chiverequest"
	"chivedrift/chivetable"
)

const pool = "pool"

var route = &chivetable.Route{Name: "route"}

// drawn is a request and how long it runs.
type drawn struct {
	prompt *chiverequest.Prompt
	ran    chiveduration.Ran
}

func (d drawn) request() *chiverequest.Request {
	return &chiverequest.Request{Route: route, Pool: pool, Prompt: d.prompt}
}

// spread draws a number with a mean of 1 whose logarithm has a standard deviation.
func spread(dice *rand.Rand, deviation float64) float64 {
	return math.Exp(deviation*dice.NormFloat64() - deviation*deviation/2)
}

// plain draws a plain request with a spread and a tail.
func plain(dice *rand.Rand) drawn {
	seconds := 0.03 * spread(dice, 0.5)
	if dice.Float64() < 0.01 {
		seconds *= 5
	}
	return drawn{ran: chiveduration.Ran{Took: time.Duration(seconds * float64(time.Second))}}
}

// stream draws a stream with a number of events and a time to the first one. Most callers estimate the number, often far off.
func stream(dice *rand.Rand) drawn {
	events := 1 + int(43*min(spread(dice, 0.89), 3.5))
	p := &chiverequest.Prompt{MostOutput: 151}
	if dice.Float64() < 0.75 {
		p.HintedOutput = 1 + int64(float64(events)*math.Exp(0.5*dice.NormFloat64()))
	}
	seconds := 0.2*spread(dice, 0.5) + float64(events)*0.06*(0.9+0.3*dice.Float64())
	return drawn{p, chiveduration.Ran{Took: time.Duration(seconds * float64(time.Second)), Events: events, Streamed: true}}
}

// Guards against a forecast whose chance of being wrong is larger than the one asked for, as after few requests.
func TestBoundsAreExceededNoMoreOftenThanAskedFor(t *testing.T) {
	const rounds, asked = 150, 200
	for name, draw := range map[string]func(*rand.Rand) drawn{"plain": plain, "streams": stream} {
		for _, count := range []int{1, 4, 16, 128} {
			for _, chance := range []float64{0.2, 0.05, 0.02, 0.002} {
				dice, exceeded := rand.New(rand.NewPCG(1, uint64(count))), 0
				for range rounds {
					var f chiveduration.Forecast
					for range count {
						made := draw(dice)
						f.Add(made.request(), made.ran)
					}
					for range asked {
						made := draw(dice)
						bound, known := f.Bound(made.request(), chance)
						if !known {
							t.Fatal("no bound")
						}
						if made.ran.Took > bound {
							exceeded++
						}
					}
				}
				share := float64(exceeded) / rounds / asked
				t.Logf("%s, %d known, chance %v: exceeded by %.4f", name, count, chance, share)
				if share > chance+1/float64(count+1) {
					t.Errorf("%s, %d known: bounds with a chance of %v were exceeded by %.4f", name, count, chance, share)
				}
			}
		}
	}
}
