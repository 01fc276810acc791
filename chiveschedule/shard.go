package chiveschedule

import (
	"sort"
	"time"
)

// Decision is what a shard tells a gateway: exactly one of the messages is set.
type Decision struct {
	Gateway string
	Grant   *SlotGrant
	Queued  *SlotQueued
	Refusal *SlotRefusal
	Preempt *SlotPreempt
}

// Shard holds the queue and the ledger of the endpoints of one shard.
type Shard struct {
	id          string
	incarnation int64
	plan        *Plan
	endpoints   []*endpoint
	byName      map[string]*endpoint
	queue       Queue[*waiting]
	waiting     map[requestKey]*waiting
	granted     map[requestKey]*grant
	prefixes    *prefixes
	estimates   *Estimates
	drained     rate
	settleUntil time.Time
	backlog     backlog
	firsts      map[string]float64
	median      float64
	counts      Counts
}

// Counts sums up a shard's decisions since its start.
type Counts struct {
	Submitted int64 `json:"submitted"`
	Granted   int64 `json:"granted"`
	Refused   int64 `json:"refused"`
	Preempted int64 `json:"preempted"`
	Finished  int64 `json:"finished"`
	Adopted   int64 `json:"adopted"`
}

type requestKey struct {
	id      string
	attempt int
}

// waiting is a queued request.
type waiting struct {
	request SlotRequest
	gateway string
	class   *ClassPlan
	due     time.Time
	arrival time.Time
	end     time.Time
	cost    int64
	mean    int64
	queued  time.Time
	late    bool
}

// Place returns tier, class and team.
func (w *waiting) Place() (tier int, class, team string) {
	return w.class.tier, w.class.name, w.request.Team
}

// Due returns when the first token is due.
func (w *waiting) Due() time.Time { return w.due }

// Cost returns the estimated work in tokens.
func (w *waiting) Cost() int64 { return w.cost }

// grant is a slot in use.
type grant struct {
	key       requestKey
	gateway   string
	endpoint  *endpoint
	class     *ClassPlan
	team      string
	cost      int64
	done      int64
	message   SlotGrant
	at        time.Time
	preempted bool
	fixed     bool
}

const (
	settleFor        = 700 * time.Millisecond
	maxWaiting       = 4096
	maxPrefixes      = 8192
	affinityLoad     = 0.85
	retryAfterLeast  = time.Second
	retryAfterMost   = time.Minute
	adoptProtectsFor = time.Second
	preemptWithin    = 2
	percentOf        = 100
	leadFactor       = 1.5
)

// Refusal reasons, as callers and operators see them.
const (
	ReasonDeadline = "deadline_cannot_be_met"
	ReasonFull     = "queue_full"
	ReasonTooLarge = "larger_than_any_endpoint"
	ReasonNoneUp   = "no_endpoint_up"
)

// NewShard returns a shard whose scheduler has just taken over: until it knows what its predecessor granted it uses half of the capacity.
func NewShard(id string, incarnation int64, plan *Plan, now time.Time) *Shard {
	s := &Shard{
		id: id, incarnation: incarnation, byName: make(map[string]*endpoint),
		waiting: make(map[requestKey]*waiting), granted: make(map[requestKey]*grant),
		prefixes: newPrefixes(maxPrefixes), estimates: NewEstimates(), firsts: make(map[string]float64), settleUntil: now.Add(settleFor),
	}
	s.SetPlan(now, plan)
	return s
}

// SetPlan takes a new plan; ledgers of endpoints that stay are kept, and so is every waiting request.
func (s *Shard) SetPlan(now time.Time, plan *Plan) {
	known := s.byName
	s.plan = plan
	s.endpoints = nil
	s.byName = make(map[string]*endpoint)
	for _, p := range plan.endpoints {
		e, ok := known[p.Name]
		if !ok {
			e = &endpoint{}
		}
		e.plan = p
		s.byName[p.Name] = e
		s.endpoints = append(s.endpoints, e)
	}
	s.requeue(now)
}

// requeue moves every waiting request into a queue made by the plan's policy.
func (s *Shard) requeue(now time.Time) {
	create, ok := Policies[*waiting]()[s.plan.policy]
	if !ok {
		create = newSlackQueue[*waiting]
	}
	s.queue = create(Shares{
		Tiers:    s.plan.tiers,
		MinShare: func(class string) float64 { return s.plan.class(class).minShare },
		Weight:   s.plan.weight,
	})
	for _, w := range s.sortedWaiting() {
		w.class = s.plan.class(w.request.Class)
		s.queue.Push(now, w)
	}
}

func (s *Shard) sortedWaiting() []*waiting {
	list := make([]*waiting, 0, len(s.waiting))
	for _, w := range s.waiting {
		list = append(list, w)
	}
	sortByArrival(list)
	return list
}

func sortByArrival(list []*waiting) {
	sort.Slice(list, func(i, j int) bool {
		if !list[i].arrival.Equal(list[j].arrival) {
			return list[i].arrival.Before(list[j].arrival)
		}
		return list[i].request.ID < list[j].request.ID
	})
}

// ---------------------------------------------------------------- inputs

// Submit queues a request for a slot, or answers it at once.
func (s *Shard) Submit(now time.Time, gateway string, r SlotRequest) []Decision {
	key := requestKey{r.ID, r.Attempt}
	if g, ok := s.granted[key]; ok {
		return []Decision{{Gateway: gateway, Grant: &g.message}}
	}
	if _, ok := s.waiting[key]; ok {
		return []Decision{s.queued(gateway, r)}
	}
	s.counts.Submitted++
	w := s.newWaiting(now, gateway, r)
	if reason, after := s.admit(now, w); reason != "" {
		return []Decision{s.refuse(w, reason, after)}
	}
	var out []Decision
	if len(s.waiting) >= maxWaiting {
		victim, ok := s.evict(w)
		if !ok {
			return []Decision{s.refuse(w, ReasonFull, s.expectedWait(w))}
		}
		out = append(out, s.drop(now, victim, ReasonFull, s.expectedWait(victim)))
	}
	s.waiting[key] = w
	s.queue.Push(now, w)
	s.backlog.add(now, w)
	out = append(out, s.assign(now)...)
	if _, waits := s.waiting[key]; waits {
		out = append(out, s.queued(gateway, r))
	}
	return out
}

func (s *Shard) queued(gateway string, r SlotRequest) Decision {
	return Decision{Gateway: gateway, Queued: &SlotQueued{Shard: s.id, ID: r.ID, Attempt: r.Attempt}}
}

func (s *Shard) newWaiting(now time.Time, gateway string, r SlotRequest) *waiting {
	class := s.plan.class(r.Class)
	high, mean := s.estimates.Of(class, r.Team)
	if r.MaxTokens > 0 {
		high, mean = min(high, r.MaxTokens), min(mean, r.MaxTokens)
	}
	arrival := time.UnixMilli(r.ArrivalMs)
	return &waiting{
		request: r, gateway: gateway, class: class, arrival: arrival, queued: now,
		due: arrival.Add(class.firstToken - s.lead(class)), end: time.UnixMilli(r.DeadlineMs),
		cost: r.PromptTokens + max(high, r.DoneTokens), mean: max(mean-r.DoneTokens, 1),
	}
}

// Withdraw forgets a request that its gateway no longer wants.
func (s *Shard) Withdraw(now time.Time, id string, attempt int) []Decision {
	key := requestKey{id, attempt}
	if w, ok := s.waiting[key]; ok {
		s.leave(now, w, false)
	}
	return nil
}

// leave takes a request out of the queue; granted reports whether it got a slot.
func (s *Shard) leave(now time.Time, w *waiting, granted bool) {
	delete(s.waiting, requestKey{w.request.ID, w.request.Attempt})
	s.queue.Remove(now, w, granted)
	s.backlog.remove(w)
}

// Progress notes how a granted request goes on.
func (s *Shard) Progress(now time.Time, p SlotProgress) {
	e, ok := s.byName[p.Endpoint]
	if !ok {
		return
	}
	e.observe(now, float64(p.FirstMs), pace(p.Tokens, p.StreamMs))
	e.succeed()
	if g, ok := s.granted[requestKey{p.ID, p.Attempt}]; ok {
		g.done = p.Tokens
		if p.FirstMs > 0 {
			s.firsts[g.class.name] = blend(s.firsts[g.class.name], float64(p.FirstMs))
		}
	}
}

// lead is how long before its target a request of a class must get its slot, from the times to the first token seen.
//
// Without it the queue serves the request that is due next until the very moment its target passes: under overload
// nearly every grant went to a request that missed its target by the time of one prefill.
func (s *Shard) lead(class *ClassPlan) time.Duration {
	lead := time.Duration(leadFactor * s.firsts[class.name] * float64(time.Millisecond))
	return min(lead, class.firstToken/2)
}

func pace(tokens, streamMs int64) float64 {
	if tokens < 2 {
		return 0
	}
	return float64(streamMs) / float64(tokens-1)
}

// Finish takes a slot back and grants what it frees.
func (s *Shard) Finish(now time.Time, d SlotDone) []Decision {
	key := requestKey{d.ID, d.Attempt}
	if e, ok := s.byName[d.Endpoint]; ok {
		s.judge(now, e, d)
	}
	g, ok := s.granted[key]
	if !ok {
		return s.assign(now)
	}
	delete(s.granted, key)
	g.endpoint.release(g.cost)
	s.counts.Finished++
	s.drained.add(now, g.cost)
	return s.assign(now)
}

func (s *Shard) judge(now time.Time, e *endpoint, d SlotDone) {
	switch d.Result {
	case ResultOK:
		e.succeed()
		e.observe(now, 0, pace(d.Tokens, d.StreamMs))
		s.estimates.Observe(d.Class, d.Team, d.Tokens)
	case ResultFailed:
		e.fail(now)
	case ResultRefused:
		e.leave(now)
	case ResultCancelled, ResultReturned:
		e.probing = false
	}
}

// Leaving notes that an endpoint takes no new work.
func (s *Shard) Leaving(now time.Time, name string) {
	if e, ok := s.byName[name]; ok {
		e.leave(now)
	}
}

// Adopt corrects the ledger by a gateway's own statement of what it runs.
//
// Grants can be lost with a connection or with the scheduler that made them; without the statement a new scheduler
// would overbook endpoints, and an old one would keep slots for requests that ended.
func (s *Shard) Adopt(now time.Time, gateway string, a SlotAdopt) []Decision {
	stated := make(map[requestKey]bool, len(a.Holds))
	for _, h := range a.Holds {
		key := requestKey{h.ID, h.Attempt}
		stated[key] = true
		s.adopt(now, gateway, key, h)
	}
	for key, g := range s.granted {
		if g.gateway == gateway && !stated[key] && now.Sub(g.at) > adoptProtectsFor {
			g.endpoint.release(g.cost)
			delete(s.granted, key)
		}
	}
	return s.assign(now)
}

func (s *Shard) adopt(now time.Time, gateway string, key requestKey, h Hold) {
	e, known := s.byName[h.Endpoint]
	if _, have := s.granted[key]; have || !known {
		return
	}
	s.granted[key] = &grant{key: key, gateway: gateway, endpoint: e, class: s.plan.class(h.Class), team: h.Team, cost: h.Cost, at: now, fixed: true}
	e.take(now, h.Cost)
	s.counts.Adopted++
}

// Forget frees everything that a dead gateway had queued or running.
func (s *Shard) Forget(now time.Time, gateway string) []Decision {
	for _, w := range s.waiting {
		if w.gateway == gateway {
			s.leave(now, w, false)
		}
	}
	for key, g := range s.granted {
		if g.gateway == gateway {
			g.endpoint.release(g.cost)
			delete(s.granted, key)
		}
	}
	return s.assign(now)
}

// Tick answers requests that can no longer meet their deadline, forgives stragglers and preempts where that saves urgent work.
func (s *Shard) Tick(now time.Time) []Decision {
	s.drained.roll(now)
	s.median = medianPace(s.endpoints)
	for _, e := range s.endpoints {
		e.forgive(now, s.median)
	}
	s.backlog.count(now, s.plan.tiers, s.waiting)
	var out []Decision
	for _, w := range s.hopeless(now) {
		out = append(out, s.drop(now, w, ReasonDeadline, s.expectedWait(w)))
	}
	out = append(out, s.assign(now)...)
	return append(out, s.preempt(now)...)
}
