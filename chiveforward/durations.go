package chiveforward

import (
	"math/bits"
	"time"

	"chivedrift/chiverequest"
)

const (
	// keptDurations is the number of durations that are kept of each kind of request.
	keptDurations = 64
	// maxDurationKinds limits the number of kinds; routes come and go with the configuration.
	maxDurationKinds = 4096
	// durationReserve is the share by which a request is expected to last longer than the longest recent one of its kind.
	durationReserve = 0.25
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

// recentDurations holds the last durations of a kind of requests.
type recentDurations struct {
	durations [keptDurations]time.Duration
	added     int
}

func (r *recentDurations) add(duration time.Duration) {
	r.durations[r.added%keptDurations] = duration
	r.added++
}

func (r *recentDurations) longest() time.Duration {
	longest := time.Duration(0)
	for _, d := range r.durations[:min(r.added, keptDurations)] {
		longest = max(longest, d)
	}
	return longest
}

// durations predicts how long requests last from those that have ended. It is not safe for concurrent use.
type durations struct {
	kinds map[durationKind]*recentDurations
}

// add records how long a request lasted.
func (d *durations) add(request *chiverequest.Request, duration time.Duration) {
	kind := kindOf(request)
	d.addKind(kind, duration)
	d.addKind(durationKind{pool: request.Pool, sizeBits: kind.sizeBits}, duration)
}

func (d *durations) addKind(kind durationKind, duration time.Duration) {
	recent, known := d.kinds[kind]
	if !known {
		if d.kinds == nil || len(d.kinds) >= maxDurationKinds {
			d.kinds = make(map[durationKind]*recentDurations)
		}
		recent = &recentDurations{}
		d.kinds[kind] = recent
	}
	recent.add(duration)
}

// expected returns how long a request lasts at most, as far as is known: by the requests of its route, or else of its pool.
func (d *durations) expected(request *chiverequest.Request) (expected time.Duration, known bool) {
	kind := kindOf(request)
	longest, known := d.longest(kind)
	if !known && request.Pool != "" {
		longest, known = d.longest(durationKind{pool: request.Pool, sizeBits: kind.sizeBits})
	}
	return longest + time.Duration(durationReserve*float64(longest)), known
}

// longest returns the longest recent duration of a kind of requests. Without one, those of the next larger size count, or of the
// next smaller size in proportion.
func (d *durations) longest(kind durationKind) (longest time.Duration, known bool) {
	for size := kind.sizeBits; size <= bits.UintSize; size++ {
		if recent, known := d.kinds[durationKind{kind.route, kind.pool, size}]; known {
			return recent.longest(), true
		}
	}
	for size := kind.sizeBits - 1; size >= 0; size-- {
		if recent, known := d.kinds[durationKind{kind.route, kind.pool, size}]; known {
			return recent.longest() << (kind.sizeBits - size), true
		}
	}
	return 0, false
}
