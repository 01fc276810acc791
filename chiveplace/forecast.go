package chiveplace

import "time"

// work is what an engine does until a request's first event, in tokens: those of the request that it reads, those that it fetches from
// another engine, and those that wait there before it.
type work struct {
	reads   int64
	fetches int64
	ahead   int64
}

// forecast predicts how long a first event takes: a fixed time, and a time for each token that the engine reads of the request itself,
// fetches, or has waiting before it. The first and the last differ: what waits has partly been read when the request
// arrives, and nodes hear of it late, so that a waiting token costs between a half and all of the time of an own one.
// The four are learnt from every first event by recursive least squares, the older ones fading.
type forecast struct {
	// weights are milliseconds: fixed, for a thousand own tokens, for a thousand fetched and for a thousand waiting ones.
	weights [terms]float64
	// spread is the inverse of the weighted sum of products of inputs.
	spread [terms][terms]float64
}

const terms = 4

const (
	// The first guesses are those of a usual engine that reads some 30 tokens a millisecond; a few dozen answers replace them.
	firstFixed   = 30.0
	firstOwn     = 35.0
	firstFetched = 5.0
	firstWaiting = 25.0
	// forecastFades is what is left of an answer's weight with each later one: the last two hundred count, half a minute of a node.
	forecastFades = 0.995
	// firstSpread is how far the first guesses are trusted: an answer of a few thousand tokens moves them by a tenth.
	firstSpread = 0.05
	thousand    = 1000.0
	// forecastLeast and forecastMost bound what is learnt for a thousand tokens, in milliseconds: the fastest links carry 2,500 tokens a
	// millisecond, the slowest engines read 2.
	forecastLeast = 0.4
	forecastMost  = 500.0
	// missedMost is the most by which one answer may be over its prediction, in predictions: a machine that stood still for seconds, or an
	// engine that has turned slow, says nothing of the others.
	missedMost = 1.0
)

func newForecast() forecast {
	f := forecast{weights: [terms]float64{firstFixed, firstOwn, firstFetched, firstWaiting}}
	for i := range terms {
		f.spread[i][i] = firstSpread
	}
	f.spread[0][0] = firstSpread * thousand
	return f
}

func (w work) inputs() [terms]float64 {
	return [terms]float64{1, float64(w.reads) / thousand, float64(w.fetches) / thousand, float64(w.ahead) / thousand}
}

// first predicts the time to a first event, in milliseconds.
func (f *forecast) first(w work) float64 {
	sum := 0.0
	for i, x := range w.inputs() {
		sum += f.weights[i] * x
	}
	return sum
}

// own predicts what tokens of a request's own add to it, in milliseconds.
func (f *forecast) own(tokens float64) float64 { return f.weights[1] * tokens / thousand }

// waiting predicts what tokens that wait add to it, in milliseconds.
func (f *forecast) waiting(tokens int64) float64 { return f.weights[3] * float64(tokens) / thousand }

// fetched predicts what fetching tokens adds to it, in milliseconds.
func (f *forecast) fetched(tokens int64) float64 { return f.weights[2] * float64(tokens) / thousand }

// learn takes the time to a first event.
func (f *forecast) learn(w work, took time.Duration) {
	x := w.inputs()
	// Long reads vary more, so an answer counts by the inverse of its expected time.
	weight := firstFixed / max(f.first(w), firstFixed)
	var gain [terms]float64
	scale := forecastFades / weight
	for i := range terms {
		for j := range terms {
			gain[i] += f.spread[i][j] * x[j]
		}
		scale += x[i] * gain[i]
	}
	predicted := f.first(w)
	missed := min(float64(took)/float64(time.Millisecond)-predicted, missedMost*max(predicted, firstFixed))
	for i := range terms {
		f.weights[i] += gain[i] / scale * missed
	}
	for i := range terms {
		for j := range terms {
			f.spread[i][j] = (f.spread[i][j] - gain[i]*gain[j]/scale) / forecastFades
		}
	}
	f.bound()
}

// bound keeps a few odd answers from turning the forecast upside down, and its trust from growing without end in a quiet time.
func (f *forecast) bound() {
	f.weights[0] = min(max(f.weights[0], 0), forecastMost)
	for i := 1; i < terms; i++ {
		f.weights[i] = min(max(f.weights[i], forecastLeast), forecastMost)
	}
	for i := range terms {
		if f.spread[i][i] > firstSpread*thousand {
			*f = forecast{weights: f.weights, spread: newForecast().spread}
			return
		}
	}
}
