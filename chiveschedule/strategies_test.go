package chiveschedule_test

import (
	"fmt"
	"time"

	"chivedrift/chiveconfig"
	"chivedrift/chiveroute"
	"chivedrift/chiveschedule"
)

// An arm is one way of routing, run on the same traffic as all others.
type arm interface {
	arrive(j *job, gateway int)
	ended(s *sequence, broken bool)
	first(s *sequence)
	loseScheduler()
}

// bench is one run: the world, the engines and the fleet's size.
type bench struct {
	w        *world
	engines  []*engine
	byName   map[string]*engine
	config   *chiveconfig.Config
	gateways int
	lag      time.Duration
	wasted   int64
}

const hop = 500 * time.Microsecond

// ---------------------------------------------------------------- chivedrift's own decisions

// shardsArm routes through real shards: Submit, Progress, Finish, Tick, Adopt with the network's delay between.
type shardsArm struct {
	b         *bench
	routes    []chiveroute.Shard
	shards    map[string]*chiveschedule.Shard
	choice    *chiveroute.Choice
	delay     time.Duration
	knowing   bool
	placed    map[*job]string
	jobs      map[string]*job
	lost      map[string]bool
	preempted int
}

const (
	tickEvery    = 100 * time.Millisecond
	takeoverTime = 600 * time.Millisecond // a gateway waits 500 ms for a word, then asks the next
)

func newShardsArm(b *bench, policy string, perShard int64, delay time.Duration, knowing bool) *shardsArm {
	config := *b.config
	config.Routing.Policy = policy
	config.Routing.EndpointsPerShard = perShard
	a := &shardsArm{
		b: b, routes: chiveroute.Shards(&config), shards: make(map[string]*chiveschedule.Shard), choice: chiveroute.NewChoice(b.w.random.IntN),
		delay: delay, knowing: knowing, placed: make(map[*job]string), jobs: make(map[string]*job), lost: make(map[string]bool),
	}
	for _, r := range a.routes {
		a.shards[r.ID()] = chiveschedule.NewShard(r.ID(), 1, chiveschedule.NewPlan(&config, r.Endpoints()), dawn.Add(-time.Minute))
	}
	a.tick()
	return a
}

func (a *shardsArm) tick() {
	for _, r := range a.routes {
		if !a.lost[r.ID()] {
			a.handle(a.shards[r.ID()].Tick(a.b.w.now))
		}
	}
	a.b.w.after(tickEvery, a.tick)
}

func (a *shardsArm) arrive(j *job, gateway int) {
	a.jobs[j.id] = j
	r, _ := a.choice.Pick(a.b.w.now, j.prefix, a.routes, nil)
	a.placed[j] = r.ID()
	a.submit(j, gateway)
}

func (a *shardsArm) submit(j *job, gateway int) {
	j.attempt++
	request := chiveschedule.SlotRequest{
		Shard: a.placed[j], ID: j.id, Attempt: j.attempt, Class: j.class.name, Team: j.team, Prefix: j.prefix, PromptTokens: j.prompt,
		DoneTokens: j.done, ArrivalMs: j.arrival.UnixMilli(), DeadlineMs: j.deadline().UnixMilli(), Exclude: j.exclude, Repeatable: true,
	}
	if a.knowing {
		request.MaxTokens = j.length
	}
	a.b.w.after(a.delay, func() { a.ask(gatewayName(gateway), request) })
}

// ask reaches the shard's scheduler; while it is lost the request waits at its gateway for the takeover.
func (a *shardsArm) ask(gateway string, request chiveschedule.SlotRequest) {
	if a.jobs[request.ID].attempt != request.Attempt {
		return
	}
	if a.lost[request.Shard] {
		a.b.w.after(tickEvery, func() { a.ask(gateway, request) })
		return
	}
	a.handle(a.shards[request.Shard].Submit(a.b.w.now, gateway, request))
}

func gatewayName(i int) string { return fmt.Sprintf("g%d", i) }

func (a *shardsArm) handle(decisions []chiveschedule.Decision) {
	for _, d := range decisions {
		a.b.w.after(a.delay, func() { a.receive(d) })
	}
}

func (a *shardsArm) receive(d chiveschedule.Decision) {
	switch {
	case d.Grant != nil:
		a.choice.Observe(a.b.w.now, d.Grant.Shard, d.Grant.LoadPercent)
		a.start(a.jobs[d.Grant.ID], d)
	case d.Refusal != nil:
		a.choice.Observe(a.b.w.now, d.Refusal.Shard, d.Refusal.LoadPercent)
		a.jobs[d.Refusal.ID].shed = true
		a.jobs[d.Refusal.ID].finished = time.Time{}
	case d.Preempt != nil:
		a.preempt(a.jobs[d.Preempt.ID])
	}
}

func (a *shardsArm) start(j *job, d chiveschedule.Decision) {
	gateway := 0
	fmt.Sscanf(d.Gateway, "g%d", &gateway)
	s := &sequence{job: j, engine: a.b.byName[d.Grant.Endpoint], gateway: gateway, granted: a.b.w.now}
	j.run = s
	s.engine.submit(s)
}

func (a *shardsArm) first(s *sequence) {
	message := chiveschedule.SlotProgress{
		Shard: a.placed[s.job], ID: s.job.id, Attempt: s.job.attempt, Endpoint: s.engine.name, Tokens: 1,
		FirstMs: a.b.w.now.Sub(s.granted).Milliseconds(),
	}
	a.send(message.Shard, func(shard *chiveschedule.Shard) { shard.Progress(a.b.w.now, message) })
	a.progress(s)
}

// progress reports a long stream now and then, as the dispatcher does.
func (a *shardsArm) progress(s *sequence) {
	const every = 5 * time.Second
	a.b.w.after(every, func() {
		if s.ended {
			return
		}
		message := chiveschedule.SlotProgress{
			Shard: a.placed[s.job], ID: s.job.id, Attempt: s.job.attempt, Endpoint: s.engine.name, Tokens: s.produced(a.b.w.now),
			StreamMs: a.b.w.now.Sub(s.began.Add(s.prefill)).Milliseconds(),
		}
		a.send(message.Shard, func(shard *chiveschedule.Shard) { shard.Progress(a.b.w.now, message) })
		a.progress(s)
	})
}

func (a *shardsArm) send(id string, act func(*chiveschedule.Shard)) {
	a.b.w.after(a.delay, func() {
		if !a.lost[id] {
			act(a.shards[id])
		}
	})
}

func (a *shardsArm) done(s *sequence, result chiveschedule.Result) {
	message := chiveschedule.SlotDone{
		Shard: a.placed[s.job], ID: s.job.id, Attempt: s.job.attempt, Endpoint: s.engine.name, Class: s.job.class.name, Team: s.job.team,
		Result: result, Tokens: s.job.done - s.from, StreamMs: a.b.w.now.Sub(s.began.Add(s.prefill)).Milliseconds(),
	}
	a.send(message.Shard, func(shard *chiveschedule.Shard) { a.handle(shard.Finish(a.b.w.now, message)) })
}

func (a *shardsArm) ended(s *sequence, broken bool) {
	if !broken {
		a.done(s, chiveschedule.ResultOK)
		return
	}
	a.done(s, chiveschedule.ResultFailed)
	s.job.exclude = append(s.job.exclude, s.engine.name)
	a.submit(s.job, s.gateway)
}

func (a *shardsArm) preempt(j *job) {
	s := j.run
	if s == nil || s.ended {
		return
	}
	a.preempted++
	s.engine.cancel(s)
	a.done(s, chiveschedule.ResultCancelled)
	a.submit(j, s.gateway)
}

// loseScheduler loses every shard's queue and ledger; after the takeover gateways ask again and state what they run.
func (a *shardsArm) loseScheduler() {
	for _, r := range a.routes {
		a.lost[r.ID()] = true
	}
	a.b.w.after(takeoverTime, func() {
		for _, r := range a.routes {
			a.lost[r.ID()] = false
			a.shards[r.ID()] = chiveschedule.NewShard(r.ID(), 2, chiveschedule.NewPlan(a.b.config, r.Endpoints()), a.b.w.now)
		}
		a.restate()
	})
}

func (a *shardsArm) restate() {
	holds := make(map[string]map[int][]chiveschedule.Hold)
	for _, j := range sortedJobs(a.jobs) {
		shard := a.placed[j]
		switch {
		case j.shed || !j.finished.IsZero():
		case j.run != nil && !j.run.ended:
			if holds[shard] == nil {
				holds[shard] = make(map[int][]chiveschedule.Hold)
			}
			hold := chiveschedule.Hold{ID: j.id, Attempt: j.attempt, Endpoint: j.run.engine.name, Class: j.class.name, Team: j.team, Cost: j.prompt + j.class.expected}
			holds[shard][j.run.gateway] = append(holds[shard][j.run.gateway], hold)
		default:
			a.submit(j, 0)
		}
	}
	for id, byGateway := range holds {
		for gateway, list := range byGateway {
			a.shards[id].Adopt(a.b.w.now, gatewayName(gateway), chiveschedule.SlotAdopt{Shard: id, Holds: list})
		}
	}
}

// ---------------------------------------------------------------- baselines

// directArm sends every request at once to an engine that pick chooses; engines queue first in first out.
type directArm struct {
	b    *bench
	pick func(j *job, gateway int) *engine
}

func (a *directArm) arrive(j *job, gateway int) {
	j.attempt++
	s := &sequence{job: j, engine: a.pick(j, gateway), gateway: gateway, granted: a.b.w.now}
	j.run = s
	a.b.w.after(hop, func() { s.engine.submit(s) })
	// The caller stops waiting at the deadline; the engine notices the closed connection.
	a.b.w.after(j.deadline().Sub(a.b.w.now), func() {
		if j.finished.IsZero() && j.run == s {
			s.engine.cancel(s)
			j.shed = true
		}
	})
}

func (a *directArm) ended(s *sequence, broken bool) {
	if broken {
		a.b.w.after(tickEvery, func() { a.arrive(s.job, s.gateway) })
	}
}

func (a *directArm) first(*sequence) {}
func (a *directArm) loseScheduler()  {}

func roundRobin(b *bench) arm {
	next := make([]int, b.gateways)
	return &directArm{b, func(_ *job, gateway int) *engine {
		next[gateway]++
		return b.engines[(gateway+next[gateway])%len(b.engines)]
	}}
}

// leastOfStaleReports sends to the engine with the least load in reports that lag.
func leastOfStaleReports(b *bench) arm {
	reported := make([]int, len(b.engines))
	const reportEvery = time.Second
	var report func()
	report = func() {
		current := make([]int, len(b.engines))
		for i, e := range b.engines {
			current[i] = len(e.running) + len(e.waiting)
		}
		b.w.after(b.lag, func() { copy(reported, current) })
		b.w.after(reportEvery, report)
	}
	report()
	return &directArm{b, func(*job, int) *engine {
		best := b.w.random.IntN(len(b.engines))
		for i := range b.engines {
			if reported[i] < reported[best] {
				best = i
			}
		}
		return b.engines[best]
	}}
}

// twoChoices sends to the better of two engines by the gateway's own requests in flight.
func twoChoices(b *bench) arm {
	flying := make([]map[*engine]int, b.gateways)
	for i := range flying {
		flying[i] = make(map[*engine]int)
	}
	count := func(gateway int, of *engine) int {
		n := 0
		for s := range of.running {
			if s.gateway == gateway {
				n++
			}
		}
		for _, s := range of.waiting {
			if s.gateway == gateway {
				n++
			}
		}
		return n
	}
	return &directArm{b, func(_ *job, gateway int) *engine {
		one, two := b.engines[b.w.random.IntN(len(b.engines))], b.engines[b.w.random.IntN(len(b.engines))]
		if count(gateway, two) < count(gateway, one) {
			return two
		}
		return one
	}}
}

// eachAlone gives every gateway an equal, fixed part of each engine and its own queue with chivedrift's order.
type eachAlone struct {
	b    *bench
	arms []*shardsArm
}

func newEachAlone(b *bench) arm {
	config := *b.config
	pool := config.Pools[0]
	pool.Endpoints = append([]chiveconfig.Endpoint(nil), pool.Endpoints...)
	perEngine := max(pool.Endpoints[0].Sequences/int64(b.gateways), 1)
	a := &eachAlone{b: b}
	for g := range b.gateways {
		own := pool
		own.Endpoints = nil
		for i, e := range pool.Endpoints {
			// With more gateways than slots an engine is shared by some of the gateways only.
			if int64(b.gateways) > e.Sequences && (i+g)%max(b.gateways/int(e.Sequences), 1) != 0 {
				continue
			}
			e.Sequences = perEngine
			e.CapacityTokens /= int64(min(b.gateways, int(pool.Endpoints[i].Sequences)))
			e.CapacityTokens = max(e.CapacityTokens, 20000)
			own.Endpoints = append(own.Endpoints, e)
		}
		c := config
		c.Pools = []chiveconfig.Pool{own}
		alone := *b
		alone.config = &c
		a.arms = append(a.arms, newShardsArm(&alone, "slack", 1000, 0, false))
	}
	return a
}

func (a *eachAlone) arrive(j *job, gateway int)     { a.arms[gateway].arrive(j, gateway) }
func (a *eachAlone) ended(s *sequence, broken bool) { a.arms[s.gateway].ended(s, broken) }
func (a *eachAlone) first(s *sequence)              { a.arms[s.gateway].first(s) }
func (a *eachAlone) loseScheduler()                 {}
