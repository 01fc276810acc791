package chiveschedule_test

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"sort"
	"time"
)

// The benches drive the real decisions on virtual time. A world is a clock with a heap of things to come; fake engines
// say how long a sequence takes, and that is all they do.

type world struct {
	now    time.Time
	queue  futures
	number int
	random *rand.Rand
}

type future struct {
	at     time.Time
	number int
	act    func()
}

type futures []future

func (f futures) Len() int { return len(f) }
func (f futures) Less(i, j int) bool {
	if !f[i].at.Equal(f[j].at) {
		return f[i].at.Before(f[j].at)
	}
	return f[i].number < f[j].number
}
func (f futures) Swap(i, j int) { f[i], f[j] = f[j], f[i] }
func (f *futures) Push(x any)   { *f = append(*f, x.(future)) }
func (f *futures) Pop() any {
	old := *f
	last := old[len(old)-1]
	*f = old[:len(old)-1]
	return last
}

var dawn = time.Unix(1_700_000_000, 0)

func newWorld(seed uint64) *world {
	return &world{now: dawn, random: rand.New(rand.NewPCG(seed, seed))}
}

func (w *world) after(d time.Duration, act func()) {
	w.number++
	heap.Push(&w.queue, future{w.now.Add(d), w.number, act})
}

func (w *world) run(until time.Duration) {
	end := dawn.Add(until)
	for len(w.queue) > 0 && !w.queue[0].at.After(end) {
		next := heap.Pop(&w.queue).(future)
		w.now = next.at
		next.act()
	}
	w.now = end
}

// job is one request with what became of it.
type job struct {
	id       string
	class    *classMix
	team     string
	prefix   uint64
	prompt   int64
	length   int64
	arrival  time.Time
	attempt  int
	done     int64
	first    time.Time
	finished time.Time
	shed     bool
	exclude  []string
	run      *sequence
}

func (j *job) deadline() time.Time { return j.arrival.Add(j.class.deadline) }

func (j *job) met() bool {
	return !j.finished.IsZero() && !j.finished.After(j.deadline()) && !j.first.After(j.arrival.Add(j.class.target))
}

// engine is a fake: sequences advance at a constant pace each, up to a number at a time; the rest queues inside.
type engine struct {
	w        *world
	name     string
	domain   string
	slots    int
	slow     float64
	down     bool
	running  map[*sequence]bool
	waiting  []*sequence
	prefixes []uint64
	wasted   *int64
	onFirst  func(*sequence)
	onEnd    func(s *sequence, broken bool)
}

// sequence is one attempt on an engine.
type sequence struct {
	job     *job
	engine  *engine
	began   time.Time
	prefill time.Duration
	from    int64
	ended   bool
	gateway int
	granted time.Time
}

const (
	pace           = 25 * time.Millisecond
	prefillToken   = 100 * time.Microsecond
	cachedPrefixes = 48
)

func (e *engine) pace() time.Duration { return time.Duration(float64(pace) * e.slow) }

func (e *engine) submit(s *sequence) {
	if e.down {
		e.w.after(time.Millisecond, func() { e.onEnd(s, true) })
		return
	}
	if len(e.running) >= e.slots {
		e.waiting = append(e.waiting, s)
		return
	}
	e.start(s)
}

func (e *engine) start(s *sequence) {
	e.running[s] = true
	s.began, s.from = e.w.now, s.job.done
	fresh := s.job.prompt + s.job.done
	if e.knows(s.job.prefix) {
		fresh /= 10
	} else if s.from > 0 {
		*e.wasted += fresh / 10 // prefill costs about a tenth of decoding, and this prompt had been read before
	}
	s.prefill = time.Duration(float64(fresh) * float64(prefillToken) * e.slow)
	e.w.after(s.prefill+e.pace(), func() {
		if !s.ended {
			e.onFirst(s)
		}
	})
	left := time.Duration(s.job.length - s.from)
	e.w.after(s.prefill+left*e.pace(), func() { e.end(s, false) })
}

func (e *engine) knows(prefix uint64) bool {
	for _, known := range e.prefixes {
		if known == prefix {
			return true
		}
	}
	e.prefixes = append(e.prefixes, prefix)
	if len(e.prefixes) > cachedPrefixes {
		e.prefixes = e.prefixes[1:]
	}
	return false
}

func (s *sequence) produced(now time.Time) int64 {
	if s.began.IsZero() {
		return 0
	}
	tokens := int64(now.Sub(s.began.Add(s.prefill)) / s.engine.pace())
	return min(max(tokens, 0), s.job.length-s.from)
}

func (e *engine) end(s *sequence, broken bool) {
	if s.ended {
		return
	}
	s.ended = true
	delete(e.running, s)
	s.job.done = s.from + s.produced(e.w.now)
	if !broken {
		s.job.done = s.job.length
	}
	e.onEnd(s, broken)
	e.next()
}

// cancel ends a sequence without telling its owner, who keeps what was produced.
func (e *engine) cancel(s *sequence) {
	if s.ended {
		return
	}
	s.ended = true
	s.job.done += s.produced(e.w.now)
	delete(e.running, s)
	for i, waiting := range e.waiting {
		if waiting == s {
			e.waiting = append(e.waiting[:i], e.waiting[i+1:]...)
			break
		}
	}
	e.next()
}

func (e *engine) next() {
	for len(e.waiting) > 0 && len(e.running) < e.slots && !e.down {
		s := e.waiting[0]
		e.waiting = e.waiting[1:]
		if !s.ended {
			e.start(s)
		}
	}
}

func (e *engine) fail() {
	e.down = true
	running := make([]*sequence, 0, len(e.running))
	for s := range e.running {
		running = append(running, s)
	}
	sort.Slice(running, func(i, j int) bool { return running[i].job.id < running[j].job.id })
	for _, s := range running {
		e.w.after(0, func() { e.end(s, true) })
	}
	for _, s := range e.waiting {
		e.w.after(0, func() { e.onEnd(s, true) })
	}
	e.waiting = nil
}

// ---------------------------------------------------------------- workload

type classMix struct {
	name      string
	tier      int
	target    time.Duration
	deadline  time.Duration
	protected bool
	minShare  int64
	expected  int64
	prompt    int64
	tokens    float64
	share     float64
}

// mix is one deployment's traffic by class; shares are of the tokens.
type mix struct {
	name    string
	classes []*classMix
}

func sopotnik() mix {
	return mix{"sopotnik", []*classMix{
		{name: "nudge", tier: 0, target: 800 * time.Millisecond, deadline: 10 * time.Second, minShare: 5, expected: 60, prompt: 400, tokens: 60, share: 0.20},
		{name: "dossier", tier: 1, target: 5 * time.Second, deadline: 5 * time.Minute, protected: true, minShare: 20, expected: 900, prompt: 2000, tokens: 900, share: 0.40},
		{name: "summary", tier: 2, target: 8 * time.Second, deadline: 2 * time.Minute, minShare: 5, expected: 300, prompt: 800, tokens: 300, share: 0.30},
		{name: "digest", tier: 3, target: time.Minute, deadline: 10 * time.Minute, minShare: 2, expected: 400, prompt: 800, tokens: 400, share: 0.10},
	}}
}

func hakata() mix {
	return mix{"hakata", []*classMix{
		{name: "fix", tier: 0, target: 700 * time.Millisecond, deadline: 10 * time.Second, minShare: 5, expected: 50, prompt: 600, tokens: 50, share: 0.15},
		{name: "reflow", tier: 1, target: 10 * time.Second, deadline: 15 * time.Minute, protected: true, minShare: 25, expected: 2500, prompt: 6000, tokens: 2500, share: 0.50},
		{name: "caption", tier: 2, target: 3 * time.Second, deadline: time.Minute, minShare: 5, expected: 120, prompt: 500, tokens: 120, share: 0.20},
		{name: "background-reflow", tier: 3, target: time.Minute, deadline: time.Hour, protected: true, minShare: 5, expected: 2500, prompt: 6000, tokens: 2500, share: 0.15},
	}}
}

// lengthOf draws a heavy-tailed output length around a mean (lognormal, sigma 0.8).
func (w *world) lengthOf(mean float64) int64 {
	const sigma = 0.8
	length := math.Exp(math.Log(mean) - sigma*sigma/2 + sigma*w.random.NormFloat64())
	return int64(min(max(length, 1), 4*mean))
}
