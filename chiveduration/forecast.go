package chiveduration

import (
	"time"

	"chivedrift/chiverequest"
)

const (
	// maxBound limits how long a request is expected to last.
	maxBound = time.Hour
	// maxKinds limits the number of kinds; routes come and go with the configuration.
	maxKinds = 4096
	// hintedDeviation, statedDeviation and madeDeviation are the standard deviations of the logarithm of durations that are assumed
	// until enough requests have ended: of requests of the same estimated size, of others, and of those with as many events.
	hintedDeviation, statedDeviation, madeDeviation = 0.3, 0.15, 0.15
)

// Ran is a request that has ended.
type Ran struct {
	Took time.Duration
	// Events is the number of events of its response; 0 if it had none.
	Events int
	// Streamed means that parts of the response were passed on before its end.
	Streamed bool
}

// kind is a kind of requests: those of a route, or of a pool if the route is empty.
type kind struct{ route, pool string }

// Forecast holds the durations of the last requests of each kind. It is not safe for concurrent use.
type Forecast struct {
	kinds map[kind]*samples
}

// Add records how long a request ran.
func (f *Forecast) Add(request *chiverequest.Request, ran Ran) {
	made := newSample(request.Prompt, ran)
	f.of(kind{route: request.Route.Name}).add(made)
	if request.Pool != "" {
		f.of(kind{pool: request.Pool}).add(made)
	}
}

// of returns the samples of a kind, to add to.
func (f *Forecast) of(k kind) *samples {
	s, known := f.kinds[k]
	if !known {
		if f.kinds == nil || len(f.kinds) >= maxKinds {
			f.kinds = make(map[kind]*samples)
		}
		s = &samples{}
		f.kinds[k] = s
	}
	return s
}

// Streams reports whether responses to such requests are passed on before their end, by those of its route, or else of its pool.
func (f *Forecast) Streams(request *chiverequest.Request) bool {
	own, known := f.own(request)
	return known && own.isStreamed()
}

// Bound returns the time that a request exceeds with a chance: by the requests of its route, or else of its pool, that stated a size
// as it does, and by those of its pool with as many events as it may have at most.
func (f *Forecast) Bound(request *chiverequest.Request, chance float64) (bound time.Duration, known bool) {
	own, known := f.own(request)
	if !known {
		return 0, false
	}
	bound = own.statedBound(request.Prompt, chance)
	if pool, known := f.kinds[kind{pool: request.Pool}]; known && request.Prompt != nil {
		if limit, known := pool.madeBound(request.Prompt, chance); known {
			// The events of others may come faster than those of its route.
			bound = min(bound, max(limit, own.longest()))
		}
	}
	return bound, true
}

// own returns the samples of the request's route, or else of its pool.
func (f *Forecast) own(request *chiverequest.Request) (own *samples, known bool) {
	if own, known = f.kinds[kind{route: request.Route.Name}]; known {
		return own, true
	}
	own, known = f.kinds[kind{pool: request.Pool}]
	return own, known
}
