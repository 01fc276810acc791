package chiveschedule_test

import (
	"fmt"
	"sort"
	"time"

	"chivedrift/chiveconfig"
)

// scenario is a load condition, possibly with a fault, under which all strategies run.
type scenario struct {
	name        string
	load        float64
	burst       string
	burstFactor float64
	largeTeam   bool
	reportLag   time.Duration
	fault       func(sim *simulation, st strategy)
	gateways    int
	engines     int
}

const (
	slotsPerEngine  = 16
	tokensPerSlot   = 9000
	arrivalPeriod   = 240 * time.Second
	burstStart      = 60 * time.Second
	burstDuration   = 90 * time.Second
	teamCount       = 10
	faultAt         = 90 * time.Second
	defaultLag      = time.Second
	staleLag        = 5 * time.Second
	defaultGateways = 8
	defaultEngines  = 9
	drainPeriod     = 300 * time.Second
)

// scenarios returns all scenarios. A burst raises the rate of one class until the total demand is burstFactor times the
// capacity.
func scenarios() []scenario {
	base := scenario{load: 0.7, gateways: defaultGateways, engines: defaultEngines, reportLag: defaultLag}
	with := func(change func(s *scenario)) scenario {
		s := base
		change(&s)
		return s
	}
	return []scenario{
		with(func(s *scenario) { s.name = "steady" }),
		with(func(s *scenario) { s.name, s.burst, s.burstFactor = "burst 1.5x", "low", 1.5 }),
		with(func(s *scenario) { s.name, s.burst, s.burstFactor = "burst 3x", "low", 3 }),
		with(func(s *scenario) { s.name, s.burst, s.burstFactor = "urgent burst 1.5x", "top", 1.5 }),
		with(func(s *scenario) { s.name, s.largeTeam = "one team at 10x", true }),
		with(func(s *scenario) {
			s.name = "straggler"
			s.fault = func(sim *simulation, _ strategy) { sim.engines[0].slowdown = 5 }
		}),
		with(func(s *scenario) {
			s.name, s.reportLag, s.burst, s.burstFactor = "reports 5 s late, burst 3x", staleLag, "low", 3
		}),
		with(func(s *scenario) {
			s.name, s.burst, s.burstFactor = "scheduler lost in burst 3x", "low", 3
			s.fault = func(_ *simulation, st strategy) { st.failSchedulers() }
		}),
		with(func(s *scenario) {
			s.name = "failure domain lost"
			s.fault = func(sim *simulation, _ strategy) {
				for _, e := range sim.engines {
					if e.failureDomain == "a" {
						e.fail()
					}
				}
			}
		}),
		with(func(s *scenario) {
			s.name = "cold prefix cache"
			s.fault = func(sim *simulation, _ strategy) {
				for _, e := range sim.engines {
					e.cachedPrefixes = nil
				}
			}
		}),
		with(func(s *scenario) {
			s.name, s.burst, s.burstFactor, s.gateways, s.engines = "64 nodes, burst 3x", "low", 3, 64, 72
		}),
	}
}

// strategyMaker creates a strategy for a run.
type strategyMaker struct {
	name   string
	create func(sim *simulation) strategy
}

const shardSize = 12

// strategyMakers returns all strategies. "all-knowing queue" is an oracle that serves as a reference: a single
// queue over all engines that knows every output length in advance and has no network delay.
func strategyMakers() []strategyMaker {
	return []strategyMaker{
		{"chivedrift", func(sim *simulation) strategy { return newShardStrategy(sim, "slack", shardSize, networkDelay, false) }},
		{"all-knowing queue", func(sim *simulation) strategy { return newShardStrategy(sim, "slack", 1000, 0, true) }},
		{"fifo, round robin", roundRobin},
		{"least of stale reports", leastReportedLoad},
		{"two random choices", powerOfTwoChoices},
		{"each node alone", newPartitionedStrategy},
	}
}

// results holds the figures of one run: longestWait in seconds, unfinished as a count and the others in percent.
type results struct {
	attained    map[string]float64
	goodput     float64
	wasted      float64
	longestWait float64
	otherTeams  float64
	unfinished  int
}

func runScenario(w workload, s scenario, maker strategyMaker, seed uint64) results {
	loop := newEventLoop(seed)
	sim := &simulation{loop: loop, enginesByName: make(map[string]*engine), config: configFor(w, s), gateways: s.gateways, reportLag: s.reportLag}
	for i, e := range sim.config.Pools[0].Endpoints {
		fake := &engine{loop: loop, name: e.Name, failureDomain: e.FailureDomain, slots: slotsPerEngine, slowdown: 1, running: make(map[*sequence]bool), wastedTokens: &sim.wastedTokens}
		sim.engines = append(sim.engines, fake)
		sim.enginesByName[e.Name] = sim.engines[i]
	}
	st := maker.create(sim)
	for _, e := range sim.engines {
		e.onFirstToken = func(seq *sequence) {
			if seq.job.firstTokenAt.IsZero() {
				seq.job.firstTokenAt = loop.now
			}
			st.firstToken(seq)
		}
		e.onEnd = func(seq *sequence, failed bool) {
			if !failed {
				seq.job.finishedAt = loop.now
			}
			st.attemptEnded(seq, failed)
		}
	}
	var jobs []*job
	for _, class := range w.classes {
		generateArrivals(loop, w, s, class, func(j *job) {
			jobs = append(jobs, j)
			st.arrive(j, loop.rng.IntN(s.gateways))
		})
	}
	if s.fault != nil {
		loop.after(faultAt, func() { s.fault(sim, st) })
	}
	loop.run(arrivalPeriod + drainPeriod)
	return measure(w, s, sim, jobs)
}

// capacity returns the tokens per second that all engines together produce.
func capacity(s scenario) float64 {
	return float64(s.engines*slotsPerEngine) / timePerToken.Seconds()
}

// generateArrivals generates the arrivals of a class as a Poisson process, with a higher rate during a burst.
func generateArrivals(loop *eventLoop, w workload, s scenario, class *trafficClass, arrive func(*job)) {
	// A request also occupies its slot during prefill.
	workPerRequest := class.meanTokens + float64(class.promptTokens)*prefillPerToken.Seconds()/timePerToken.Seconds()
	baseRate := s.load * capacity(s) * class.tokenShare / workPerRequest
	if s.largeTeam {
		baseRate *= float64(2*teamCount-1) / teamCount
	}
	bursting := (s.burst == "low" && class == w.classes[2]) || (s.burst == "top" && class == w.classes[0])
	number := 0
	var scheduleNext func()
	scheduleNext = func() {
		elapsed := loop.now.Sub(simulationStart)
		rate := baseRate
		if bursting && elapsed >= burstStart && elapsed < burstStart+burstDuration {
			rate += (s.burstFactor - s.load) * capacity(s) / workPerRequest
		}
		gap := time.Duration(loop.rng.ExpFloat64() / rate * float64(time.Second))
		loop.after(gap, func() {
			if loop.now.Sub(simulationStart) > arrivalPeriod {
				return
			}
			number++
			arrive(newJob(loop, s, class, number))
			scheduleNext()
		})
	}
	scheduleNext()
}

func newJob(loop *eventLoop, s scenario, class *trafficClass, number int) *job {
	team := loop.rng.IntN(teamCount)
	if s.largeTeam && loop.rng.IntN(2*teamCount-1) < teamCount {
		team = 0
	}
	return &job{
		id: fmt.Sprintf("%s-%d", class.name, number), class: class, team: fmt.Sprintf("t%d", team), arrival: loop.now,
		prefix: uint64(1 + team*100 + loop.rng.IntN(20)), promptTokens: class.promptTokens, outputTokens: loop.drawOutputTokens(class.meanTokens),
	}
}

func configFor(w workload, s scenario) *chiveconfig.Config {
	config := &chiveconfig.Config{Tiers: []chiveconfig.Tier{{Name: "0"}, {Name: "1"}, {Name: "2"}, {Name: "3"}}}
	for _, c := range w.classes {
		config.Classes = append(config.Classes, chiveconfig.Class{
			Name: c.name, Tier: fmt.Sprint(c.tier), FirstTokenMs: c.firstTokenTarget.Milliseconds(), DeadlineMs: c.deadline.Milliseconds(),
			Protected: c.protected, MinSharePercent: c.minShare, ExpectedTokens: c.expectedTokens, Repeatable: true,
		})
	}
	for i := range teamCount {
		config.Teams = append(config.Teams, chiveconfig.Team{Name: fmt.Sprintf("t%d", i), Weight: 1})
	}
	pool := chiveconfig.Pool{Name: "m", Kind: chiveconfig.KindModel}
	for i := range s.engines {
		pool.Endpoints = append(pool.Endpoints, chiveconfig.Endpoint{
			Name: fmt.Sprintf("e%02d", i), Address: fmt.Sprintf("10.0.0.%d:1", i), Region: "r", FailureDomain: string(rune('a' + i%3)),
			Sequences: slotsPerEngine, CapacityTokens: slotsPerEngine * tokensPerSlot,
		})
	}
	config.Pools = []chiveconfig.Pool{pool}
	return config
}

// measure computes the results over all requests that arrived; a request that has not ended by the end of the run
// counts as not attained.
func measure(w workload, s scenario, sim *simulation, jobs []*job) results {
	r := results{attained: make(map[string]float64)}
	arrived, met := make(map[string]float64), make(map[string]float64)
	otherArrived, otherMet := 0.0, 0.0
	useful, discarded := int64(0), sim.wastedTokens
	for _, j := range jobs {
		arrived[j.class.name]++
		switch {
		case !j.finishedAt.IsZero():
			useful += j.outputTokens
		case j.shed:
			discarded += j.doneTokens
		default:
			r.unfinished++
		}
		if j.metTargets() {
			met[j.class.name]++
		}
		if j.team != "t0" {
			otherArrived++
			if j.metTargets() {
				otherMet++
			}
		}
		if j.class == w.classes[3] {
			r.longestWait = max(r.longestWait, waitSeconds(sim.loop.now, j))
		}
	}
	for _, c := range w.classes {
		r.attained[c.name] = 100 * met[c.name] / max(arrived[c.name], 1)
	}
	r.otherTeams = 100 * otherMet / max(otherArrived, 1)
	r.goodput = 100 * float64(useful) / (capacity(s) * arrivalPeriod.Seconds())
	r.wasted = 100 * float64(discarded) / float64(max(useful+discarded, 1))
	return r
}

func waitSeconds(now time.Time, j *job) float64 {
	switch {
	case !j.firstTokenAt.IsZero():
		return j.firstTokenAt.Sub(j.arrival).Seconds()
	case j.shed:
		return 0
	}
	return now.Sub(j.arrival).Seconds()
}

func sortedJobs(byID map[string]*job) []*job {
	jobs := make([]*job, 0, len(byID))
	for _, j := range byID {
		jobs = append(jobs, j)
	}
	sort.Slice(jobs, func(i, j int) bool { return jobs[i].id < jobs[j].id })
	return jobs
}
