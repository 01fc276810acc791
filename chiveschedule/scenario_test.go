package chiveschedule_test

import (
	"fmt"
	"sort"
	"time"

	"chivedrift/chiveconfig"
)

// scenario is one condition under which all arms run.
type scenario struct {
	name     string
	load     float64
	burst    string
	factor   float64
	bigTeam  bool
	lag      time.Duration
	trouble  func(b *bench, a arm)
	gateways int
	engines  int
}

const (
	slotsPerEngine = 16
	tokensPerSlot  = 9000
	runTime        = 240 * time.Second
	burstFrom      = 60 * time.Second
	burstFor       = 90 * time.Second
	teamCount      = 10
	troubleAt      = 90 * time.Second
	defaultLag     = time.Second
	staleLag       = 5 * time.Second
	todayGateways  = 8
	todayEngines   = 9
	drainTime      = 300 * time.Second
)

// scenarios lists the conditions; a burst raises its class until the whole demand is factor times the capacity.
func scenarios() []scenario {
	base := scenario{load: 0.7, gateways: todayGateways, engines: todayEngines, lag: defaultLag}
	with := func(change func(s *scenario)) scenario {
		s := base
		change(&s)
		return s
	}
	return []scenario{
		with(func(s *scenario) { s.name = "steady" }),
		with(func(s *scenario) { s.name, s.burst, s.factor = "burst 1.5x", "low", 1.5 }),
		with(func(s *scenario) { s.name, s.burst, s.factor = "burst 3x", "low", 3 }),
		with(func(s *scenario) { s.name, s.burst, s.factor = "urgent burst 1.5x", "top", 1.5 }),
		with(func(s *scenario) { s.name, s.bigTeam = "one team at 10x", true }),
		with(func(s *scenario) {
			s.name = "straggler"
			s.trouble = func(b *bench, _ arm) { b.engines[0].slow = 5 }
		}),
		with(func(s *scenario) { s.name, s.lag, s.burst, s.factor = "reports 5 s late, burst 3x", staleLag, "low", 3 }),
		with(func(s *scenario) {
			s.name, s.burst, s.factor = "scheduler lost in burst 3x", "low", 3
			s.trouble = func(_ *bench, a arm) { a.loseScheduler() }
		}),
		with(func(s *scenario) {
			s.name = "failure domain lost"
			s.trouble = func(b *bench, _ arm) {
				for _, e := range b.engines {
					if e.domain == "a" {
						e.fail()
					}
				}
			}
		}),
		with(func(s *scenario) {
			s.name = "cold prefix cache"
			s.trouble = func(b *bench, _ arm) {
				for _, e := range b.engines {
					e.prefixes = nil
				}
			}
		}),
		with(func(s *scenario) {
			s.name, s.burst, s.factor, s.gateways, s.engines = "64 nodes, burst 3x", "low", 3, 64, 72
		}),
	}
}

// armMaker makes one way of routing for a run.
type armMaker struct {
	name string
	make func(b *bench) arm
}

const shardSize = 12

func armMakers() []armMaker {
	return []armMaker{
		{"chivedrift", func(b *bench) arm { return newShardsArm(b, "slack", shardSize, hop, false) }},
		{"all-knowing queue", func(b *bench) arm { return newShardsArm(b, "slack", 1000, 0, true) }},
		{"fifo, round robin", roundRobin},
		{"least of stale reports", leastOfStaleReports},
		{"two random choices", twoChoices},
		{"each node alone", newEachAlone},
	}
}

// figures is what one run measured, in percent but for the wait, which is in seconds.
type figures struct {
	attained map[string]float64
	goodput  float64
	wasted   float64
	worst    float64
	others   float64
	unended  int
}

func runScenario(m mix, s scenario, maker armMaker, seed uint64) figures {
	w := newWorld(seed)
	b := &bench{w: w, byName: make(map[string]*engine), config: configFor(m, s), gateways: s.gateways, lag: s.lag}
	for i, e := range b.config.Pools[0].Endpoints {
		fake := &engine{w: w, name: e.Name, domain: e.FailureDomain, slots: slotsPerEngine, slow: 1, running: make(map[*sequence]bool), wasted: &b.wasted}
		b.engines = append(b.engines, fake)
		b.byName[e.Name] = b.engines[i]
	}
	a := maker.make(b)
	for _, e := range b.engines {
		e.onFirst = func(q *sequence) {
			if q.job.first.IsZero() {
				q.job.first = w.now
			}
			a.first(q)
		}
		e.onEnd = func(q *sequence, broken bool) {
			if !broken {
				q.job.finished = w.now
			}
			a.ended(q, broken)
		}
	}
	var jobs []*job
	for _, class := range m.classes {
		generate(w, m, s, class, func(j *job) {
			jobs = append(jobs, j)
			a.arrive(j, w.random.IntN(s.gateways))
		})
	}
	if s.trouble != nil {
		w.after(troubleAt, func() { s.trouble(b, a) })
	}
	w.run(runTime + drainTime)
	return measure(m, s, b, jobs)
}

func capacity(s scenario) float64 {
	return float64(s.engines*slotsPerEngine) / pace.Seconds()
}

// generate makes a class's arrivals as a Poisson process whose rate rises in the burst.
func generate(w *world, m mix, s scenario, class *classMix, arrive func(*job)) {
	// A request holds its slot while its prompt is read too.
	work := class.tokens + float64(class.prompt)*prefillToken.Seconds()/pace.Seconds()
	base := s.load * capacity(s) * class.share / work
	if s.bigTeam {
		base *= float64(2*teamCount-1) / teamCount
	}
	bursting := (s.burst == "low" && class == m.classes[2]) || (s.burst == "top" && class == m.classes[0])
	number := 0
	var next func()
	next = func() {
		at := w.now.Sub(dawn)
		rate := base
		if bursting && at >= burstFrom && at < burstFrom+burstFor {
			rate += (s.factor - s.load) * capacity(s) / work
		}
		gap := time.Duration(w.random.ExpFloat64() / rate * float64(time.Second))
		w.after(gap, func() {
			if w.now.Sub(dawn) > runTime {
				return
			}
			number++
			arrive(newJob(w, s, class, number))
			next()
		})
	}
	next()
}

func newJob(w *world, s scenario, class *classMix, number int) *job {
	team := w.random.IntN(teamCount)
	if s.bigTeam && w.random.IntN(2*teamCount-1) < teamCount {
		team = 0
	}
	return &job{
		id: fmt.Sprintf("%s-%d", class.name, number), class: class, team: fmt.Sprintf("t%d", team), arrival: w.now,
		prefix: uint64(1 + team*100 + w.random.IntN(20)), prompt: class.prompt, length: w.lengthOf(class.tokens),
	}
}

func configFor(m mix, s scenario) *chiveconfig.Config {
	config := &chiveconfig.Config{Tiers: []chiveconfig.Tier{{Name: "0"}, {Name: "1"}, {Name: "2"}, {Name: "3"}}}
	for _, c := range m.classes {
		config.Classes = append(config.Classes, chiveconfig.Class{
			Name: c.name, Tier: fmt.Sprint(c.tier), FirstTokenMs: c.target.Milliseconds(), DeadlineMs: c.deadline.Milliseconds(),
			Protected: c.protected, MinSharePercent: c.minShare, ExpectedTokens: c.expected, Repeatable: true,
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

// measure counts the requests that arrived in the run; one without an end by the close counts as not attained.
func measure(m mix, s scenario, b *bench, jobs []*job) figures {
	f := figures{attained: make(map[string]float64)}
	arrived, met := make(map[string]float64), make(map[string]float64)
	otherArrived, otherMet := 0.0, 0.0
	useful, thrown := int64(0), b.wasted
	for _, j := range jobs {
		arrived[j.class.name]++
		switch {
		case !j.finished.IsZero():
			useful += j.length
		case j.shed:
			thrown += j.done
		default:
			f.unended++
		}
		if j.met() {
			met[j.class.name]++
		}
		if j.team != "t0" {
			otherArrived++
			if j.met() {
				otherMet++
			}
		}
		if j.class == m.classes[3] {
			f.worst = max(f.worst, waited(b.w.now, j))
		}
	}
	for _, c := range m.classes {
		f.attained[c.name] = 100 * met[c.name] / max(arrived[c.name], 1)
	}
	f.others = 100 * otherMet / max(otherArrived, 1)
	f.goodput = 100 * float64(useful) / (capacity(s) * runTime.Seconds())
	f.wasted = 100 * float64(thrown) / float64(max(useful+thrown, 1))
	return f
}

func waited(now time.Time, j *job) float64 {
	switch {
	case !j.first.IsZero():
		return j.first.Sub(j.arrival).Seconds()
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
