package chiveschedule_test

import (
	"fmt"
	"time"

	"chivedrift/chiveconfig"
	"chivedrift/chiveroute"
	"chivedrift/chiveschedule"
)

// strategy is a routing strategy; all strategies run on the same traffic.
type strategy interface {
	arrive(j *job, gateway int)
	attemptEnded(s *sequence, failed bool)
	firstToken(s *sequence)
	failSchedulers()
}

// simulation holds the event loop, the engines and the configuration of one run.
type simulation struct {
	loop          *eventLoop
	engines       []*engine
	enginesByName map[string]*engine
	config        *chiveconfig.Config
	gateways      int
	reportLag     time.Duration
	wastedTokens  int64
}

const networkDelay = 500 * time.Microsecond

// ---------------------------------------------------------------- chivedrift

// shardStrategy routes through chiveschedule shards and delays each message to or from them by the network delay.
type shardStrategy struct {
	sim           *simulation
	routes        []chiveroute.Shard
	shards        map[string]*chiveschedule.Shard
	choice        *chiveroute.Choice
	delay         time.Duration
	lengthsKnown  bool
	shardOf       map[*job]string
	jobs          map[string]*job
	schedulerDown map[string]bool
	preemptions   int
}

const (
	tickInterval = 100 * time.Millisecond
	takeoverTime = 600 * time.Millisecond // a gateway waits 500 ms for an answer before it asks the next scheduler
)

func newShardStrategy(sim *simulation, policy string, endpointsPerShard int64, delay time.Duration, lengthsKnown bool) *shardStrategy {
	config := *sim.config
	config.Routing.Policy = policy
	config.Routing.EndpointsPerShard = endpointsPerShard
	st := &shardStrategy{
		sim: sim, routes: chiveroute.Shards(&config), shards: make(map[string]*chiveschedule.Shard), choice: chiveroute.NewChoice(sim.loop.rng.IntN),
		delay: delay, lengthsKnown: lengthsKnown, shardOf: make(map[*job]string), jobs: make(map[string]*job), schedulerDown: make(map[string]bool),
	}
	for _, r := range st.routes {
		st.shards[r.ID()] = chiveschedule.NewShard(r.ID(), 1, chiveschedule.NewPlan(&config, r.Endpoints()), simulationStart.Add(-time.Minute))
	}
	st.tick()
	return st
}

func (st *shardStrategy) tick() {
	for _, r := range st.routes {
		if !st.schedulerDown[r.ID()] {
			st.sendDecisions(st.shards[r.ID()].Tick(st.sim.loop.now))
		}
	}
	st.sim.loop.after(tickInterval, st.tick)
}

func (st *shardStrategy) arrive(j *job, gateway int) {
	st.jobs[j.id] = j
	r, _ := st.choice.Pick(st.sim.loop.now, j.prefix, st.routes, nil)
	st.shardOf[j] = r.ID()
	st.submit(j, gateway)
}

func (st *shardStrategy) submit(j *job, gateway int) {
	j.attempt++
	request := chiveschedule.SlotRequest{
		Shard: st.shardOf[j], ID: j.id, Attempt: j.attempt, Class: j.class.name, Team: j.team, Prefix: j.prefix, PromptTokens: j.promptTokens,
		DoneTokens: j.doneTokens, ArrivalMs: j.arrival.UnixMilli(), DeadlineMs: j.deadline().UnixMilli(), Exclude: j.exclude, Repeatable: true,
	}
	if st.lengthsKnown {
		request.MaxTokens = j.outputTokens
	}
	st.sim.loop.after(st.delay, func() { st.sendRequest(gatewayName(gateway), request) })
}

// sendRequest submits a request to the shard; while its scheduler is down, the gateway retries until the takeover.
func (st *shardStrategy) sendRequest(gateway string, request chiveschedule.SlotRequest) {
	if st.jobs[request.ID].attempt != request.Attempt {
		return
	}
	if st.schedulerDown[request.Shard] {
		st.sim.loop.after(tickInterval, func() { st.sendRequest(gateway, request) })
		return
	}
	st.sendDecisions(st.shards[request.Shard].Submit(st.sim.loop.now, gateway, request))
}

func gatewayName(i int) string { return fmt.Sprintf("g%d", i) }

func (st *shardStrategy) sendDecisions(decisions []chiveschedule.Decision) {
	for _, d := range decisions {
		st.sim.loop.after(st.delay, func() { st.onDecision(d) })
	}
}

func (st *shardStrategy) onDecision(d chiveschedule.Decision) {
	switch {
	case d.Grant != nil:
		st.choice.Observe(st.sim.loop.now, d.Grant.Shard, d.Grant.LoadPercent)
		st.startAttempt(st.jobs[d.Grant.ID], d)
	case d.Refusal != nil:
		st.choice.Observe(st.sim.loop.now, d.Refusal.Shard, d.Refusal.LoadPercent)
		st.jobs[d.Refusal.ID].shed = true
		st.jobs[d.Refusal.ID].finishedAt = time.Time{}
	case d.Preempt != nil:
		st.preempt(st.jobs[d.Preempt.ID])
	}
}

func (st *shardStrategy) startAttempt(j *job, d chiveschedule.Decision) {
	gateway := 0
	fmt.Sscanf(d.Gateway, "g%d", &gateway)
	s := &sequence{job: j, engine: st.sim.enginesByName[d.Grant.Endpoint], gateway: gateway, grantedAt: st.sim.loop.now}
	j.current = s
	s.engine.submit(s)
}

func (st *shardStrategy) firstToken(s *sequence) {
	message := chiveschedule.SlotProgress{
		Shard: st.shardOf[s.job], ID: s.job.id, Attempt: s.job.attempt, Endpoint: s.engine.name, Tokens: 1,
		FirstMs: st.sim.loop.now.Sub(s.grantedAt).Milliseconds(),
	}
	st.sendToShard(message.Shard, func(shard *chiveschedule.Shard) { shard.Progress(st.sim.loop.now, message) })
	st.reportProgress(s)
}

// reportProgress reports the progress of a long stream periodically, as the dispatcher does.
func (st *shardStrategy) reportProgress(s *sequence) {
	const progressInterval = 5 * time.Second
	st.sim.loop.after(progressInterval, func() {
		if s.ended {
			return
		}
		message := chiveschedule.SlotProgress{
			Shard: st.shardOf[s.job], ID: s.job.id, Attempt: s.job.attempt, Endpoint: s.engine.name, Tokens: s.producedTokens(st.sim.loop.now),
			StreamMs: st.sim.loop.now.Sub(s.startedAt.Add(s.prefill)).Milliseconds(),
		}
		st.sendToShard(message.Shard, func(shard *chiveschedule.Shard) { shard.Progress(st.sim.loop.now, message) })
		st.reportProgress(s)
	})
}

func (st *shardStrategy) sendToShard(id string, deliver func(*chiveschedule.Shard)) {
	st.sim.loop.after(st.delay, func() {
		if !st.schedulerDown[id] {
			deliver(st.shards[id])
		}
	})
}

func (st *shardStrategy) reportDone(s *sequence, result chiveschedule.Result) {
	message := chiveschedule.SlotDone{
		Shard: st.shardOf[s.job], ID: s.job.id, Attempt: s.job.attempt, Endpoint: s.engine.name, Class: s.job.class.name, Team: s.job.team,
		Result: result, Tokens: s.job.doneTokens - s.doneBefore, StreamMs: st.sim.loop.now.Sub(s.startedAt.Add(s.prefill)).Milliseconds(),
	}
	st.sendToShard(message.Shard, func(shard *chiveschedule.Shard) { st.sendDecisions(shard.Finish(st.sim.loop.now, message)) })
}

func (st *shardStrategy) attemptEnded(s *sequence, failed bool) {
	if !failed {
		st.reportDone(s, chiveschedule.ResultOK)
		return
	}
	st.reportDone(s, chiveschedule.ResultFailed)
	s.job.exclude = append(s.job.exclude, s.engine.name)
	st.submit(s.job, s.gateway)
}

func (st *shardStrategy) preempt(j *job) {
	s := j.current
	if s == nil || s.ended {
		return
	}
	st.preemptions++
	s.engine.cancel(s)
	st.reportDone(s, chiveschedule.ResultCancelled)
	st.submit(j, s.gateway)
}

// failSchedulers discards the queue and the slot accounting of every shard. After the takeover, gateways submit waiting
// requests again and report the slots that they hold.
func (st *shardStrategy) failSchedulers() {
	for _, r := range st.routes {
		st.schedulerDown[r.ID()] = true
	}
	st.sim.loop.after(takeoverTime, func() {
		for _, r := range st.routes {
			st.schedulerDown[r.ID()] = false
			st.shards[r.ID()] = chiveschedule.NewShard(r.ID(), 2, chiveschedule.NewPlan(st.sim.config, r.Endpoints()), st.sim.loop.now)
		}
		st.reconcile()
	})
}

func (st *shardStrategy) reconcile() {
	holds := make(map[string]map[int][]chiveschedule.Hold)
	for _, j := range sortedJobs(st.jobs) {
		shard := st.shardOf[j]
		switch {
		case j.shed || !j.finishedAt.IsZero():
		case j.current != nil && !j.current.ended:
			if holds[shard] == nil {
				holds[shard] = make(map[int][]chiveschedule.Hold)
			}
			hold := chiveschedule.Hold{ID: j.id, Attempt: j.attempt, Endpoint: j.current.engine.name, Class: j.class.name, Team: j.team, Cost: j.promptTokens + j.class.expectedTokens}
			holds[shard][j.current.gateway] = append(holds[shard][j.current.gateway], hold)
		default:
			st.submit(j, 0)
		}
	}
	for id, byGateway := range holds {
		for gateway, list := range byGateway {
			st.shards[id].Adopt(st.sim.loop.now, gatewayName(gateway), chiveschedule.SlotAdopt{Shard: id, Holds: list})
		}
	}
}

// ---------------------------------------------------------------- baselines

// directStrategy sends every request immediately to the engine that chooseEngine selects; engines queue in FIFO order.
type directStrategy struct {
	sim          *simulation
	chooseEngine func(j *job, gateway int) *engine
}

func (st *directStrategy) arrive(j *job, gateway int) {
	j.attempt++
	s := &sequence{job: j, engine: st.chooseEngine(j, gateway), gateway: gateway, grantedAt: st.sim.loop.now}
	j.current = s
	st.sim.loop.after(networkDelay, func() { s.engine.submit(s) })
	// The caller closes the connection at the deadline, which cancels the sequence on the engine.
	st.sim.loop.after(j.deadline().Sub(st.sim.loop.now), func() {
		if j.finishedAt.IsZero() && j.current == s {
			s.engine.cancel(s)
			j.shed = true
		}
	})
}

func (st *directStrategy) attemptEnded(s *sequence, failed bool) {
	if failed {
		st.sim.loop.after(tickInterval, func() { st.arrive(s.job, s.gateway) })
	}
}

func (st *directStrategy) firstToken(*sequence) {}
func (st *directStrategy) failSchedulers()      {}

func roundRobin(sim *simulation) strategy {
	next := make([]int, sim.gateways)
	return &directStrategy{sim, func(_ *job, gateway int) *engine {
		next[gateway]++
		return sim.engines[(gateway+next[gateway])%len(sim.engines)]
	}}
}

// leastReportedLoad selects the engine with the lowest reported load; reports arrive with a delay of reportLag.
func leastReportedLoad(sim *simulation) strategy {
	reported := make([]int, len(sim.engines))
	const reportInterval = time.Second
	var report func()
	report = func() {
		current := make([]int, len(sim.engines))
		for i, e := range sim.engines {
			current[i] = len(e.running) + len(e.waiting)
		}
		sim.loop.after(sim.reportLag, func() { copy(reported, current) })
		sim.loop.after(reportInterval, report)
	}
	report()
	return &directStrategy{sim, func(*job, int) *engine {
		best := sim.loop.rng.IntN(len(sim.engines))
		for i := range sim.engines {
			if reported[i] < reported[best] {
				best = i
			}
		}
		return sim.engines[best]
	}}
}

// powerOfTwoChoices selects the one of two random engines that has fewer of the gateway's own requests in flight.
func powerOfTwoChoices(sim *simulation) strategy {
	inFlight := make([]map[*engine]int, sim.gateways)
	for i := range inFlight {
		inFlight[i] = make(map[*engine]int)
	}
	ownRequests := func(gateway int, target *engine) int {
		n := 0
		for s := range target.running {
			if s.gateway == gateway {
				n++
			}
		}
		for _, s := range target.waiting {
			if s.gateway == gateway {
				n++
			}
		}
		return n
	}
	return &directStrategy{sim, func(_ *job, gateway int) *engine {
		first, second := sim.engines[sim.loop.rng.IntN(len(sim.engines))], sim.engines[sim.loop.rng.IntN(len(sim.engines))]
		if ownRequests(gateway, second) < ownRequests(gateway, first) {
			return second
		}
		return first
	}}
}

// partitionedStrategy gives every gateway an equal, fixed part of each engine and its own queue with the slack policy.
type partitionedStrategy struct {
	sim       *simulation
	byGateway []*shardStrategy
}

func newPartitionedStrategy(sim *simulation) strategy {
	config := *sim.config
	pool := config.Pools[0]
	pool.Endpoints = append([]chiveconfig.Endpoint(nil), pool.Endpoints...)
	perEngine := max(pool.Endpoints[0].Sequences/int64(sim.gateways), 1)
	st := &partitionedStrategy{sim: sim}
	for gateway := range sim.gateways {
		ownPool := pool
		ownPool.Endpoints = nil
		for i, e := range pool.Endpoints {
			// With more gateways than slots per engine, each engine serves only some of the gateways.
			if int64(sim.gateways) > e.Sequences && (i+gateway)%max(sim.gateways/int(e.Sequences), 1) != 0 {
				continue
			}
			e.Sequences = perEngine
			e.CapacityTokens /= int64(min(sim.gateways, int(pool.Endpoints[i].Sequences)))
			e.CapacityTokens = max(e.CapacityTokens, 20000)
			ownPool.Endpoints = append(ownPool.Endpoints, e)
		}
		ownConfig := config
		ownConfig.Pools = []chiveconfig.Pool{ownPool}
		ownSim := *sim
		ownSim.config = &ownConfig
		st.byGateway = append(st.byGateway, newShardStrategy(&ownSim, "slack", 1000, 0, false))
	}
	return st
}

func (st *partitionedStrategy) arrive(j *job, gateway int) { st.byGateway[gateway].arrive(j, gateway) }

func (st *partitionedStrategy) attemptEnded(s *sequence, failed bool) {
	st.byGateway[s.gateway].attemptEnded(s, failed)
}

func (st *partitionedStrategy) firstToken(s *sequence) { st.byGateway[s.gateway].firstToken(s) }
func (st *partitionedStrategy) failSchedulers()        {}
