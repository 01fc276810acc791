package chiveschedule

import (
	"sort"
	"time"
)

// Decision is a message from a shard to a gateway; exactly one of the message fields is set.
type Decision struct {
	Gateway string
	Grant   *SlotGrant
	Queued  *SlotQueued
	Refusal *SlotRefusal
	Preempt *SlotPreempt
}

// Shard holds the queue and the slot accounting of the endpoints of one shard; it is not safe for concurrent use.
type Shard struct {
	id                   string
	incarnation          int64
	config               *Plan
	endpoints            []*endpoint
	byName               map[string]*endpoint
	queue                Queue[*waitingRequest]
	waiting              map[attemptKey]*waitingRequest
	granted              map[attemptKey]*grant
	prefixEndpoints      *prefixIndex
	lengthEstimates      *Estimates
	drainRate            tokenRate
	takeoverUntil        time.Time
	backlog              backlog
	firstTokenMsByClass  map[string]float64
	medianTimePerTokenMs float64
	counts               Counts
}

// Counts holds the totals of a shard's decisions since it was created.
type Counts struct {
	Submitted int64 `json:"submitted"`
	Granted   int64 `json:"granted"`
	Refused   int64 `json:"refused"`
	Preempted int64 `json:"preempted"`
	Finished  int64 `json:"finished"`
	Adopted   int64 `json:"adopted"`
}

type attemptKey struct {
	id      string
	attempt int
}

// waitingRequest is a queued request; due is the time by which it needs a slot to meet its first-token target.
type waitingRequest struct {
	request           SlotRequest
	gateway           string
	class             *ClassPlan
	due               time.Time
	arrival           time.Time
	deadline          time.Time
	cost              int64
	expectedRemaining int64
	queuedAt          time.Time
	late              bool
}

// Place returns the tier, the class and the team.
func (w *waitingRequest) Place() (tier int, class, team string) {
	return w.class.tier, w.class.name, w.request.Team
}

// Due returns the time by which the request needs a slot to meet its first-token target.
func (w *waitingRequest) Due() time.Time { return w.due }

// Cost returns the estimated cost in tokens.
func (w *waitingRequest) Cost() int64 { return w.cost }

// grant is a slot in use.
type grant struct {
	key            attemptKey
	gateway        string
	endpoint       *endpoint
	class          *ClassPlan
	team           string
	cost           int64
	doneTokens     int64
	message        SlotGrant
	grantedAt      time.Time
	preempted      bool
	nonPreemptible bool
}

const (
	takeoverPeriod      = 700 * time.Millisecond
	maxWaiting          = 4096
	maxPrefixes         = 8192
	maxAffinityLoad     = 0.85
	minRetryAfter       = time.Second
	maxRetryAfter       = time.Minute
	grantInFlightPeriod = time.Second
	preemptAfterDivisor = 2
	percentFactor       = 100
	leadTimeFactor      = 1.5
)

// Refusal reasons, as shown to callers and operators.
const (
	ReasonDeadline = "deadline_cannot_be_met"
	ReasonFull     = "queue_full"
	ReasonTooLarge = "larger_than_any_endpoint"
	ReasonNoneUp   = "no_endpoint_up"
)

// NewShard returns a shard that this scheduler has just taken over. For takeoverPeriod it uses only half of the
// capacity, until the gateways have reported the slots that the previous scheduler granted.
func NewShard(id string, incarnation int64, config *Plan, now time.Time) *Shard {
	s := &Shard{
		id: id, incarnation: incarnation, byName: make(map[string]*endpoint),
		waiting: make(map[attemptKey]*waitingRequest), granted: make(map[attemptKey]*grant),
		prefixEndpoints: newPrefixIndex(maxPrefixes), lengthEstimates: NewEstimates(), firstTokenMsByClass: make(map[string]float64), takeoverUntil: now.Add(takeoverPeriod),
	}
	s.SetPlan(now, config)
	return s
}

// SetPlan applies a new plan; the state of the remaining endpoints and all waiting requests are kept.
func (s *Shard) SetPlan(now time.Time, config *Plan) {
	previous := s.byName
	s.config = config
	s.endpoints = nil
	s.byName = make(map[string]*endpoint)
	for _, p := range config.endpoints {
		e, ok := previous[p.Name]
		if !ok {
			e = &endpoint{}
		}
		e.config = p
		s.byName[p.Name] = e
		s.endpoints = append(s.endpoints, e)
	}
	s.rebuildQueue(now)
}

// rebuildQueue moves all waiting requests to a new queue with the plan's policy.
func (s *Shard) rebuildQueue(now time.Time) {
	newQueue, ok := Policies[*waitingRequest]()[s.config.policy]
	if !ok {
		newQueue = newSlackQueue[*waitingRequest]
	}
	s.queue = newQueue(Shares{
		Tiers:    s.config.tiers,
		MinShare: func(class string) float64 { return s.config.class(class).minShare },
		Weight:   s.config.weight,
	})
	for _, w := range s.sortedWaiting() {
		w.class = s.config.class(w.request.Class)
		s.queue.Push(now, w)
	}
}

func (s *Shard) sortedWaiting() []*waitingRequest {
	list := make([]*waitingRequest, 0, len(s.waiting))
	for _, w := range s.waiting {
		list = append(list, w)
	}
	sortByArrival(list)
	return list
}

func sortByArrival(list []*waitingRequest) {
	sort.Slice(list, func(i, j int) bool {
		if !list[i].arrival.Equal(list[j].arrival) {
			return list[i].arrival.Before(list[j].arrival)
		}
		return list[i].request.ID < list[j].request.ID
	})
}

// ---------------------------------------------------------------- inputs

// Submit queues a request for a slot, or grants or refuses it immediately.
func (s *Shard) Submit(now time.Time, gateway string, r SlotRequest) []Decision {
	key := attemptKey{r.ID, r.Attempt}
	if g, ok := s.granted[key]; ok {
		return []Decision{{Gateway: gateway, Grant: &g.message}}
	}
	if _, ok := s.waiting[key]; ok {
		return []Decision{s.queuedDecision(gateway, r)}
	}
	s.counts.Submitted++
	w := s.newWaitingRequest(now, gateway, r)
	if reason, retryAfter := s.admit(now, w); reason != "" {
		return []Decision{s.refuse(w, reason, retryAfter)}
	}
	var out []Decision
	if len(s.waiting) >= maxWaiting {
		victim, ok := s.evictionVictim(w)
		if !ok {
			return []Decision{s.refuse(w, ReasonFull, s.expectedWait(w))}
		}
		out = append(out, s.dequeueAndRefuse(now, victim, ReasonFull, s.expectedWait(victim)))
	}
	s.waiting[key] = w
	s.queue.Push(now, w)
	s.backlog.add(now, w)
	out = append(out, s.grantSlots(now)...)
	if _, stillWaiting := s.waiting[key]; stillWaiting {
		out = append(out, s.queuedDecision(gateway, r))
	}
	return out
}

func (s *Shard) queuedDecision(gateway string, r SlotRequest) Decision {
	return Decision{Gateway: gateway, Queued: &SlotQueued{Shard: s.id, ID: r.ID, Attempt: r.Attempt}}
}

func (s *Shard) newWaitingRequest(now time.Time, gateway string, r SlotRequest) *waitingRequest {
	class := s.config.class(r.Class)
	highTokens, meanTokens := s.lengthEstimates.Of(class, r.Team)
	if r.MaxTokens > 0 {
		highTokens, meanTokens = min(highTokens, r.MaxTokens), min(meanTokens, r.MaxTokens)
	}
	arrival := time.UnixMilli(r.ArrivalMs)
	return &waitingRequest{
		request: r, gateway: gateway, class: class, arrival: arrival, queuedAt: now,
		due: arrival.Add(class.firstTokenTarget - s.grantLeadTime(class)), deadline: time.UnixMilli(r.DeadlineMs),
		cost: r.PromptTokens + max(highTokens, r.DoneTokens), expectedRemaining: max(meanTokens-r.DoneTokens, 1),
	}
}

// Withdraw removes a request that its gateway has cancelled from the queue.
func (s *Shard) Withdraw(now time.Time, id string, attempt int) []Decision {
	key := attemptKey{id, attempt}
	if w, ok := s.waiting[key]; ok {
		s.dequeue(now, w, false)
	}
	return nil
}

// dequeue removes a request from the queue; granted says whether it got a slot.
func (s *Shard) dequeue(now time.Time, w *waitingRequest, granted bool) {
	delete(s.waiting, attemptKey{w.request.ID, w.request.Attempt})
	s.queue.Remove(now, w, granted)
	s.backlog.remove(w)
}

// Progress records the progress of a granted request.
func (s *Shard) Progress(now time.Time, p SlotProgress) {
	e, ok := s.byName[p.Endpoint]
	if !ok {
		return
	}
	e.recordLatency(now, float64(p.FirstMs), timePerTokenMs(p.Tokens, p.StreamMs))
	e.recordSuccess()
	if g, ok := s.granted[attemptKey{p.ID, p.Attempt}]; ok {
		g.doneTokens = p.Tokens
		if p.FirstMs > 0 {
			s.firstTokenMsByClass[g.class.name] = ewma(s.firstTokenMsByClass[g.class.name], float64(p.FirstMs))
		}
	}
}

// grantLeadTime returns how long before its first-token target a request of a class needs its slot, from the measured
// times to first token.
//
// Without it the queue would serve requests up to the moment their target passes: under overload, nearly every grant
// went to a request that then missed its target by the duration of one prefill.
func (s *Shard) grantLeadTime(class *ClassPlan) time.Duration {
	lead := time.Duration(leadTimeFactor * s.firstTokenMsByClass[class.name] * float64(time.Millisecond))
	return min(lead, class.firstTokenTarget/2)
}

func timePerTokenMs(tokens, streamMs int64) float64 {
	if tokens < 2 {
		return 0
	}
	return float64(streamMs) / float64(tokens-1)
}

// Finish releases a slot and grants slots to waiting requests.
func (s *Shard) Finish(now time.Time, d SlotDone) []Decision {
	key := attemptKey{d.ID, d.Attempt}
	if e, ok := s.byName[d.Endpoint]; ok {
		s.recordResult(now, e, d)
	}
	g, ok := s.granted[key]
	if !ok {
		return s.grantSlots(now)
	}
	delete(s.granted, key)
	g.endpoint.release(g.cost)
	s.counts.Finished++
	s.drainRate.add(now, g.cost)
	return s.grantSlots(now)
}

func (s *Shard) recordResult(now time.Time, e *endpoint, d SlotDone) {
	switch d.Result {
	case ResultOK:
		e.recordSuccess()
		e.recordLatency(now, 0, timePerTokenMs(d.Tokens, d.StreamMs))
		s.lengthEstimates.Observe(d.Class, d.Team, d.Tokens)
	case ResultFailed:
		e.recordFailure(now)
	case ResultRefused:
		e.markDraining(now)
	case ResultCancelled, ResultReturned:
		e.probeInFlight = false
	}
}

// Leaving marks an endpoint as draining: it gets no new requests for drainingPeriod.
func (s *Shard) Leaving(now time.Time, name string) {
	if e, ok := s.byName[name]; ok {
		e.markDraining(now)
	}
}

// Adopt reconciles the slot accounting with the list of slots that a gateway holds.
//
// Grants and releases can be lost with a connection or a scheduler. Without the list a new scheduler would overbook the
// endpoints, and an existing one would keep slots for requests that have ended. Grants made within the last
// grantInFlightPeriod are kept even when the list omits them.
func (s *Shard) Adopt(now time.Time, gateway string, a SlotAdopt) []Decision {
	reported := make(map[attemptKey]bool, len(a.Holds))
	for _, h := range a.Holds {
		key := attemptKey{h.ID, h.Attempt}
		reported[key] = true
		s.adoptSlot(now, gateway, key, h)
	}
	for key, g := range s.granted {
		if g.gateway == gateway && !reported[key] && now.Sub(g.grantedAt) > grantInFlightPeriod {
			g.endpoint.release(g.cost)
			delete(s.granted, key)
		}
	}
	return s.grantSlots(now)
}

func (s *Shard) adoptSlot(now time.Time, gateway string, key attemptKey, h Hold) {
	e, known := s.byName[h.Endpoint]
	if _, granted := s.granted[key]; granted || !known {
		return
	}
	s.granted[key] = &grant{key: key, gateway: gateway, endpoint: e, class: s.config.class(h.Class), team: h.Team, cost: h.Cost, grantedAt: now, nonPreemptible: true}
	e.reserve(now, h.Cost)
	s.counts.Adopted++
}

// Forget removes the waiting requests and releases the slots of a failed gateway.
func (s *Shard) Forget(now time.Time, gateway string) []Decision {
	for _, w := range s.waiting {
		if w.gateway == gateway {
			s.dequeue(now, w, false)
		}
	}
	for key, g := range s.granted {
		if g.gateway == gateway {
			g.endpoint.release(g.cost)
			delete(s.granted, key)
		}
	}
	return s.grantSlots(now)
}

// Tick does the periodic work: it updates the latency figures, refuses requests that can no longer meet their deadline,
// grants free slots and preempts less urgent requests.
func (s *Shard) Tick(now time.Time) []Decision {
	s.drainRate.advanceWindow(now)
	s.medianTimePerTokenMs = medianTimePerToken(s.endpoints)
	for _, e := range s.endpoints {
		e.decayStragglerLatency(now, s.medianTimePerTokenMs)
	}
	s.backlog.recount(now, s.config.tiers, s.waiting)
	var out []Decision
	for _, w := range s.unservable(now) {
		out = append(out, s.dequeueAndRefuse(now, w, ReasonDeadline, s.expectedWait(w)))
	}
	out = append(out, s.grantSlots(now)...)
	return append(out, s.preempt(now)...)
}
