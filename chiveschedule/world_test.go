package chiveschedule_test

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"sort"
	"time"
)

// The scenarios run the real scheduling code on virtual time. The event loop keeps the clock and a heap of scheduled
// events; simulated engines determine how long each sequence takes.

// eventLoop runs scheduled events in the order of their time, those of the same time in the order of scheduling.
type eventLoop struct {
	now       time.Time
	events    eventHeap
	scheduled int
	rng       *rand.Rand
}

type event struct {
	at    time.Time
	order int
	run   func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].order < h[j].order
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

var simulationStart = time.Unix(1_700_000_000, 0)

func newEventLoop(seed uint64) *eventLoop {
	return &eventLoop{now: simulationStart, rng: rand.New(rand.NewPCG(seed, seed))}
}

func (loop *eventLoop) after(d time.Duration, run func()) {
	loop.scheduled++
	heap.Push(&loop.events, event{loop.now.Add(d), loop.scheduled, run})
}

func (loop *eventLoop) run(until time.Duration) {
	end := simulationStart.Add(until)
	for len(loop.events) > 0 && !loop.events[0].at.After(end) {
		next := heap.Pop(&loop.events).(event)
		loop.now = next.at
		next.run()
	}
	loop.now = end
}

// job is one request with its progress and outcome.
type job struct {
	id           string
	class        *trafficClass
	team         string
	prefix       uint64
	promptTokens int64
	outputTokens int64
	arrival      time.Time
	attempt      int
	doneTokens   int64
	firstTokenAt time.Time
	finishedAt   time.Time
	shed         bool
	exclude      []string
	current      *sequence
}

func (j *job) deadline() time.Time { return j.arrival.Add(j.class.deadline) }

func (j *job) metTargets() bool {
	return !j.finishedAt.IsZero() && !j.finishedAt.After(j.deadline()) && !j.firstTokenAt.After(j.arrival.Add(j.class.firstTokenTarget))
}

// engine simulates a model engine: up to slots sequences run at a constant speed each, the others wait in its queue.
type engine struct {
	loop           *eventLoop
	name           string
	failureDomain  string
	slots          int
	slowdown       float64
	down           bool
	running        map[*sequence]bool
	waiting        []*sequence
	cachedPrefixes []uint64
	wastedTokens   *int64
	onFirstToken   func(*sequence)
	onEnd          func(s *sequence, failed bool)
}

// sequence is one attempt on an engine.
type sequence struct {
	job        *job
	engine     *engine
	startedAt  time.Time
	prefill    time.Duration
	doneBefore int64
	ended      bool
	gateway    int
	grantedAt  time.Time
}

const (
	timePerToken    = 25 * time.Millisecond
	prefillPerToken = 100 * time.Microsecond
	prefixCacheSize = 48
)

func (e *engine) timePerToken() time.Duration {
	return time.Duration(float64(timePerToken) * e.slowdown)
}

func (e *engine) submit(s *sequence) {
	if e.down {
		e.loop.after(time.Millisecond, func() { e.onEnd(s, true) })
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
	s.startedAt, s.doneBefore = e.loop.now, s.job.doneTokens
	prefillTokens := s.job.promptTokens + s.job.doneTokens
	if e.cachePrefix(s.job.prefix) {
		prefillTokens /= 10
	} else if s.doneBefore > 0 {
		*e.wastedTokens += prefillTokens / 10 // a repeated prefill, which costs about a tenth of decoding per token
	}
	s.prefill = time.Duration(float64(prefillTokens) * float64(prefillPerToken) * e.slowdown)
	e.loop.after(s.prefill+e.timePerToken(), func() {
		if !s.ended {
			e.onFirstToken(s)
		}
	})
	remaining := time.Duration(s.job.outputTokens - s.doneBefore)
	e.loop.after(s.prefill+remaining*e.timePerToken(), func() { e.end(s, false) })
}

// cachePrefix reports whether the prefix is cached, and adds it otherwise; the cache drops the oldest entry when full.
func (e *engine) cachePrefix(prefix uint64) bool {
	for _, cached := range e.cachedPrefixes {
		if cached == prefix {
			return true
		}
	}
	e.cachedPrefixes = append(e.cachedPrefixes, prefix)
	if len(e.cachedPrefixes) > prefixCacheSize {
		e.cachedPrefixes = e.cachedPrefixes[1:]
	}
	return false
}

func (s *sequence) producedTokens(now time.Time) int64 {
	if s.startedAt.IsZero() {
		return 0
	}
	tokens := int64(now.Sub(s.startedAt.Add(s.prefill)) / s.engine.timePerToken())
	return min(max(tokens, 0), s.job.outputTokens-s.doneBefore)
}

func (e *engine) end(s *sequence, failed bool) {
	if s.ended {
		return
	}
	s.ended = true
	delete(e.running, s)
	s.job.doneTokens = s.doneBefore + s.producedTokens(e.loop.now)
	if !failed {
		s.job.doneTokens = s.job.outputTokens
	}
	e.onEnd(s, failed)
	e.startWaiting()
}

// cancel ends a sequence without calling onEnd; the job keeps the tokens produced.
func (e *engine) cancel(s *sequence) {
	if s.ended {
		return
	}
	s.ended = true
	s.job.doneTokens += s.producedTokens(e.loop.now)
	delete(e.running, s)
	for i, waiting := range e.waiting {
		if waiting == s {
			e.waiting = append(e.waiting[:i], e.waiting[i+1:]...)
			break
		}
	}
	e.startWaiting()
}

func (e *engine) startWaiting() {
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
		e.loop.after(0, func() { e.end(s, true) })
	}
	for _, s := range e.waiting {
		e.loop.after(0, func() { e.onEnd(s, true) })
	}
	e.waiting = nil
}

// ---------------------------------------------------------------- workload

type trafficClass struct {
	name             string
	tier             int
	firstTokenTarget time.Duration
	deadline         time.Duration
	protected        bool
	minShare         int64
	expectedTokens   int64
	promptTokens     int64
	meanTokens       float64
	tokenShare       float64
}

// workload is the traffic of one deployment by class; tokenShare is a class's share of the tokens.
type workload struct {
	name    string
	classes []*trafficClass
}

// sopotnikWorkload consists mainly of protected requests of medium length and shorter requests in other tiers.
func sopotnikWorkload() workload {
	return workload{"sopotnik", []*trafficClass{
		{name: "nudge", tier: 0, firstTokenTarget: 800 * time.Millisecond, deadline: 10 * time.Second, minShare: 5, expectedTokens: 60, promptTokens: 400, meanTokens: 60, tokenShare: 0.20},
		{name: "dossier", tier: 1, firstTokenTarget: 5 * time.Second, deadline: 5 * time.Minute, protected: true, minShare: 20, expectedTokens: 900, promptTokens: 2000, meanTokens: 900, tokenShare: 0.40},
		{name: "summary", tier: 2, firstTokenTarget: 8 * time.Second, deadline: 2 * time.Minute, minShare: 5, expectedTokens: 300, promptTokens: 800, meanTokens: 300, tokenShare: 0.30},
		{name: "digest", tier: 3, firstTokenTarget: time.Minute, deadline: 10 * time.Minute, minShare: 2, expectedTokens: 400, promptTokens: 800, meanTokens: 400, tokenShare: 0.10},
	}}
}

// hakataWorkload consists mainly of long protected requests, besides short ones in other tiers.
func hakataWorkload() workload {
	return workload{"hakata", []*trafficClass{
		{name: "fix", tier: 0, firstTokenTarget: 700 * time.Millisecond, deadline: 10 * time.Second, minShare: 5, expectedTokens: 50, promptTokens: 600, meanTokens: 50, tokenShare: 0.15},
		{name: "reflow", tier: 1, firstTokenTarget: 10 * time.Second, deadline: 15 * time.Minute, protected: true, minShare: 25, expectedTokens: 2500, promptTokens: 6000, meanTokens: 2500, tokenShare: 0.50},
		{name: "caption", tier: 2, firstTokenTarget: 3 * time.Second, deadline: time.Minute, minShare: 5, expectedTokens: 120, promptTokens: 500, meanTokens: 120, tokenShare: 0.20},
		{name: "background-reflow", tier: 3, firstTokenTarget: time.Minute, deadline: time.Hour, protected: true, minShare: 5, expectedTokens: 2500, promptTokens: 6000, meanTokens: 2500, tokenShare: 0.15},
	}}
}

// drawOutputTokens draws a heavy-tailed output length with the given mean (lognormal, sigma 0.8), at most four times
// the mean.
func (loop *eventLoop) drawOutputTokens(mean float64) int64 {
	const sigma = 0.8
	tokens := math.Exp(math.Log(mean) - sigma*sigma/2 + sigma*loop.rng.NormFloat64())
	return int64(min(max(tokens, 1), 4*mean))
}
