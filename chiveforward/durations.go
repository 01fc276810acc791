package chiveforward

import (
	"math"
	"math/bits"
	"slices"
	"time"

	"chivedrift/chiverequest"
)

const (
	// keptDurations is the number of durations that are kept of each kind of request.
	keptDurations = 64
	// maxExpected limits how long a request is expected to last.
	maxExpected = time.Hour
	// maxDurationKinds limits the number of kinds; routes come and go with the configuration.
	maxDurationKinds = 4096
	// usualShare is the share of the requests that end within the time that one is expected to last, if it can be answered as a
	// whole although it has not ended.
	usualShare = 0.95
	// durationReserve is the share by which a request is expected to last longer than recent ones of its kind, streamReserve
	// that of requests whose response is cut if it has begun and not ended.
	durationReserve = 0.25
	streamReserve   = 1.0
)

// durationKind is a kind of requests that last about as long: those of a route, or of a pool if the route is empty, whose
// stated number of output tokens has the same number of bits; 0 bits are requests that state none.
type durationKind struct {
	route, pool string
	sizeBits    int
}

// kindOf returns the kind of a request within its route.
func kindOf(request *chiverequest.Request) durationKind {
	kind := durationKind{route: request.Route.Name}
	if p := request.Prompt; p != nil {
		kind.sizeBits = bits.Len64(uint64(max(p.HintedOutput, 0)))
		if p.HintedOutput <= 0 {
			kind.sizeBits = bits.Len64(uint64(max(p.MostOutput, 0)))
		}
	}
	return kind
}

// ranRequest is how long a request ran. If it streamed, parts of its response were passed on before its end.
type ranRequest struct {
	duration time.Duration
	streamed bool
}

// recentDurations holds the last durations of a kind of requests.
type recentDurations struct {
	requests [keptDurations]ranRequest
	added    int
}

func (r *recentDurations) add(ran ranRequest) {
	r.requests[r.added%keptDurations] = ran
	r.added++
}

// expected returns within which time a request ends, with a reserve: of those that are cut if they have not ended, since they
// stream, all recent ones; of the others the usual ones.
func (r *recentDurations) expected() time.Duration {
	kept := r.requests[:min(r.added, keptDurations)]
	longest, plain := time.Duration(0), make([]time.Duration, 0, len(kept))
	for _, ran := range kept {
		if ran.streamed {
			longest = max(longest, ran.duration)
		} else {
			plain = append(plain, ran.duration)
		}
	}
	longest = withReserve(longest, streamReserve)
	if len(plain) == 0 {
		return longest
	}
	slices.Sort(plain)
	return max(longest, withReserve(plain[int(math.Ceil(usualShare*float64(len(plain))))-1], durationReserve))
}

func withReserve(duration time.Duration, share float64) time.Duration {
	return duration + time.Duration(share*float64(duration))
}

// durations predicts how long requests last from those that have ended. It is not safe for concurrent use.
type durations struct {
	kinds map[durationKind]*recentDurations
}

// add records how long a request lasted.
func (d *durations) add(request *chiverequest.Request, ran ranRequest) {
	kind := kindOf(request)
	d.addKind(kind, ran)
	d.addKind(durationKind{pool: request.Pool, sizeBits: kind.sizeBits}, ran)
}

func (d *durations) addKind(kind durationKind, ran ranRequest) {
	recent, known := d.kinds[kind]
	if !known {
		if d.kinds == nil || len(d.kinds) >= maxDurationKinds {
			d.kinds = make(map[durationKind]*recentDurations)
		}
		recent = &recentDurations{}
		d.kinds[kind] = recent
	}
	recent.add(ran)
}

// expected returns how long a request is expected to last: by the requests of its route, or else of its pool.
func (d *durations) expected(request *chiverequest.Request) (expected time.Duration, known bool) {
	kind := kindOf(request)
	expected, known = d.expectedOf(kind)
	if !known && request.Pool != "" {
		expected, known = d.expectedOf(durationKind{pool: request.Pool, sizeBits: kind.sizeBits})
	}
	return expected, known
}

// expectedOf returns how long requests of a kind last. Without recent ones, those of the next larger size count, or of the next
// smaller size in proportion, or those that state no size.
func (d *durations) expectedOf(kind durationKind) (expected time.Duration, known bool) {
	for size := kind.sizeBits; size <= bits.UintSize; size++ {
		if recent, known := d.kinds[durationKind{kind.route, kind.pool, size}]; known {
			return recent.expected(), true
		}
	}
	for size := kind.sizeBits - 1; size > 0; size-- {
		if recent, known := d.kinds[durationKind{kind.route, kind.pool, size}]; known {
			return inProportion(recent.expected(), kind.sizeBits-size), true
		}
	}
	if recent, known := d.kinds[durationKind{kind.route, kind.pool, 0}]; known {
		return recent.expected(), true
	}
	return 0, false
}

// inProportion returns how long a request lasts that is larger by some bits than one of a known duration.
func inProportion(known time.Duration, bits int) time.Duration {
	return time.Duration(min(math.Ldexp(float64(known), bits), float64(maxExpected)))
}
