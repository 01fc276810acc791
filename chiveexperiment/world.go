package chiveexperiment

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"
)

// moment is something that happens at a time; those of one time happen in the order in which they were planned.
type moment struct {
	at   time.Duration
	rank int64
	do   func()
}

type moments []moment

// Len returns how many there are.
func (m moments) Len() int { return len(m) }

// Less orders by time.
func (m moments) Less(i, j int) bool {
	return m[i].at < m[j].at || (m[i].at == m[j].at && m[i].rank < m[j].rank)
}

// Swap swaps two.
func (m moments) Swap(i, j int) { m[i], m[j] = m[j], m[i] }

// Push appends one.
func (m *moments) Push(x any) { *m = append(*m, x.(moment)) } //nolint:forcetypeassert // heap.Push is called with moments alone

// Pop removes the last.
func (m *moments) Pop() any {
	last := (*m)[len(*m)-1]
	*m = (*m)[:len(*m)-1]
	return last
}

// world is one play of a scenario.
type world struct {
	scenario *Scenario
	seed     uint64
	random   draws
	clock    time.Duration
	planned  int64
	queue    moments
	engines  []*engine
	router   router
	tally    *tally
	jobs     uint64
}

// beginning is the moment at which every play begins.
var beginning = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// now is the virtual time as the product's code takes it.
func (w *world) now() time.Time { return beginning.Add(w.clock) }

// after plans something.
func (w *world) after(d time.Duration, do func()) {
	w.planned++
	heap.Push(&w.queue, moment{w.clock + max(d, 0), w.planned, do})
}

// run plays until nothing is planned any more or the time is over.
func (w *world) run(until time.Duration) {
	for len(w.queue) > 0 {
		m := heap.Pop(&w.queue).(moment) //nolint:forcetypeassert // the queue holds nothing else
		if m.at > until {
			return
		}
		w.clock = m.at
		m.do()
	}
}

// draws are random numbers that follow from a seed.
type draws struct{ *rand.Rand }

func newDraws(seed, stream uint64) draws { return draws{rand.New(rand.NewPCG(seed, stream))} }

// lognormal draws a length.
func (d draws) lognormal(l Lengths) float64 {
	mu := math.Log(l.Mean) - l.Spread*l.Spread/2
	return min(math.Exp(mu+l.Spread*d.NormFloat64()), l.Most)
}

// pick draws one of so many things, the first ones more often the larger the skew is.
func (d draws) pick(things int, skew float64) int {
	total := 0.0
	for i := range things {
		total += math.Pow(float64(i+1), -skew)
	}
	point := d.Float64() * total
	for i := range things {
		point -= math.Pow(float64(i+1), -skew)
		if point < 0 {
			return i
		}
	}
	return things - 1
}
