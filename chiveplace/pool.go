package chiveplace

import (
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"chivedrift/chivedirectory"
	"chivedrift/chiverequest"
	"chivedrift/chiveresidency"
	"chivedrift/chivetable"
	"chivedrift/chivetime"

	"github.com/cespare/xxhash/v2"
)

const (
	// farAway is how much dearer a plain endpoint in another failure domain is.
	farAway = 1.15
	// errorWeight is how much dearer an endpoint becomes with its share of errors.
	errorWeight = 12
	// usualTook stands in for the time to an answer, in seconds, while nothing is known.
	usualTook = 0.03
	// retryWhenFull is when a caller should come back to a pool without a free place, in the order of an answer's length.
	retryWhenFull = 300 * time.Millisecond
	// retryWhenNone is when to come back to a pool without any endpoint: a node that has just started learns of them within a
	// few hundred milliseconds.
	retryWhenNone = 300 * time.Millisecond
)

// Ask is one request for a place.
type Ask struct {
	// Prompt is nil for requests to plain services.
	Prompt *chiverequest.Prompt
	// Exclude names endpoints, by id, that were tried already.
	Exclude []string
	// Left is how long the caller still waits; 0 where that is not known.
	Left time.Duration
	// Among limits the choice to some endpoints, by id; nil means all.
	Among []string
	// Home names the endpoints, by id, one of which is to hold the shared part of a prompt that no engine holds yet; empty means any endpoint.
	Home []string
	// Domains limits the choice, and what parts of the prompt are fetched from, to some failure domains.
	Domains chiveresidency.Domains
	// Most is the loss above which other endpoints are to be asked first, beside that of reading so many tokens again; 0 means that
	// there are none.
	Most      float64
	MostReads int64
}

// RefusedError tells why a pool has no place and when to come back.
type RefusedError struct {
	Reason     string
	RetryAfter time.Duration
	// Expected is the predicted time to the first event on the best engine; 0 where no engine had room.
	Expected time.Duration
	// Loss is the expected loss where there is a place that costs more than the ask allows; 0 where there is none.
	Loss float64
	// Holder is the address of the engine that has read the most of the prompt, Held how many leading tokens that are.
	Holder string
	Held   int64
}

// Error returns the reason.
func (e *RefusedError) Error() string { return e.Reason }

// Pool chooses among the endpoints of one pool and keeps the ledger of this node's requests on them.
type Pool struct {
	mu     sync.Mutex
	domain string
	// learned is when the node learned of the first endpoint; zero before.
	learned time.Time
	engine  chivetable.Engine
	// warmUpRate is how many requests a second an endpoint takes while it warms up, nodes how many nodes place requests.
	warmUpRate float64
	nodes      int
	// evacuated are the failure domains whose endpoints get nothing.
	evacuated []string
	// present holds the candidate of each endpoint, by id.
	present map[string]*candidate
	// used are the candidates with a record of their own, by incarnation: a process that started again under its id has nothing of what the one
	// before it held, had waiting or had shown of its speed.
	used map[string]*candidate
	// unused is the record of all others; nothing is written to it.
	unused *record
	// onChange is called when the other nodes should know of a change.
	onChange func()
	// dropped is when records were last dropped.
	dropped time.Time
	// ordered are the candidates by incarnation, so that a choice among hundreds sorts nothing.
	ordered []*candidate
	// forecast predicts times to first events.
	forecast forecast
	// beside is the learnt longest pause of streams beside long reads on an engine of usual speed, in milliseconds; 0 before the first.
	beside float64
	// promise is the pause that the tight streams promise, as the last one did.
	promise time.Duration
	// random draws the engines to weigh in a large pool.
	random *rand.Rand
	// promises are the places that this node took for others and that those have not told of yet.
	promises []promise
	// reads are the prompts that the other nodes have not been told of.
	reads []Read
}

// NewPool returns a pool without endpoints, seen from a failure domain.
func NewPool(domain string) *Pool {
	return NewSeededPool(domain, rand.Uint64())
}

// NewSeededPool returns a pool whose draws follow from a seed, so that an experiment can be repeated.
func NewSeededPool(domain string, seed uint64) *Pool {
	return &Pool{domain: domain, onChange: func() {}, present: make(map[string]*candidate), used: make(map[string]*candidate), unused: newRecord(0), forecast: newForecast(), random: rand.New(rand.NewPCG(seed, 0))}
}

// OnChange takes what is called when a request begins, gets its first event or ends; it must not block, and is set before the first request.
func (p *Pool) OnChange(changed func()) { p.onChange = changed }

// SetEngine takes what the engines of the pool can hold; zero for plain services.
func (p *Pool) SetEngine(engine chivetable.Engine) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.engine = engine
	p.unused.cache.setRoom(engine.CacheTokens)
	for _, s := range p.used {
		s.cache.setRoom(engine.CacheTokens)
	}
}

// SetEvacuated takes the failure domains whose endpoints get nothing.
func (p *Pool) SetEvacuated(domains []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.evacuated = domains
}

// SetEndpoints takes all endpoints of the pool; what is known of those that stay is kept.
func (p *Pool) SetEndpoints(endpoints []chivedirectory.Endpoint) {
	p.mu.Lock()
	before := make([]chivedirectory.Endpoint, 0, len(p.ordered))
	for _, s := range p.ordered {
		before = append(before, s.endpoint)
	}
	p.mu.Unlock()
	p.ApplyEndpoints(chivedirectory.DiffOf(before, endpoints))
}

// ApplyEndpoints takes a change of the endpoints of the pool.
func (p *Pool) ApplyEndpoints(diff chivedirectory.Diff) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range diff.Gone {
		p.remove(e.ID)
	}
	for _, e := range diff.Changed {
		s, ok := p.present[e.ID]
		if !ok || s.endpoint.Born != e.Born {
			if p.learned.IsZero() {
				p.learned = time.Now()
			}
			started := ok || time.Since(p.learned) > startsFor
			// The process before it is over.
			p.remove(e.ID)
			s = &candidate{endpoint: e, incarnation: e.Incarnation().Key(), hash: HashID(e.ID), started: started, record: p.unused}
			p.add(s)
		}
		s.setEndpoint(time.Now(), e)
	}
}

// add adds a candidate; the caller holds the lock.
func (p *Pool) add(s *candidate) {
	at, _ := p.find(s.incarnation)
	p.ordered = slices.Insert(p.ordered, at, s)
	p.present[s.endpoint.ID] = s
}

// remove removes the candidate of an endpoint, by id; the caller holds the lock.
func (p *Pool) remove(id string) {
	s, ok := p.present[id]
	if !ok {
		return
	}
	if s.record != p.unused {
		s.removed = time.Now()
	}
	if at, found := p.find(s.incarnation); found {
		p.ordered = slices.Delete(p.ordered, at, at+1)
	}
	delete(p.used, s.incarnation)
	delete(p.present, id)
}

// candidate returns the candidate of an incarnation; the caller holds the lock.
func (p *Pool) candidate(incarnation string) (*candidate, bool) {
	s, ok := p.present[chivedirectory.IDOf(incarnation)]
	return s, ok && s.incarnation == incarnation
}

// use gives a candidate a record of its own, before anything is noted of it; the caller holds the lock.
func (p *Pool) use(now time.Time, s *candidate) {
	if s.record == p.unused {
		s.record = newRecord(p.engine.CacheTokens)
		if _, present := p.candidate(s.incarnation); present {
			p.used[s.incarnation] = s
		}
	}
	s.lastUsed = now
}

// Records returns the number of endpoints that the pool knows more of than their registration.
func (p *Pool) Records() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.used)
}

const (
	// recordsKept is how many records a pool keeps however long they are not in use.
	recordsKept = 512
	// recordIdle is how long a record has to be out of use to be dropped above that: an engine has read other parts meanwhile.
	recordIdle = time.Minute
)

// dropIdle drops records that have long not been in use where there are many; the caller holds the lock.
func (p *Pool) dropIdle(now time.Time) {
	if len(p.used) <= recordsKept || now.Sub(p.dropped) < recordIdle {
		return
	}
	p.dropped = now
	for incarnation, s := range p.used {
		if s.isIdle(now) && now.Sub(s.lastUsed) > recordIdle {
			s.record = p.unused
			delete(p.used, incarnation)
		}
	}
}

// find returns where a candidate is, or would be, in the order.
func (p *Pool) find(incarnation string) (at int, found bool) {
	return slices.BinarySearchFunc(p.ordered, incarnation, func(s *candidate, incarnation string) int { return strings.Compare(s.incarnation, incarnation) })
}

// Has reports whether an endpoint, by id, is in the pool.
func (p *Pool) Has(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, ok := p.present[id]
	return ok
}

// startsFor is how long after the first endpoint a node takes the endpoints that it learns of for ones that have run before. It learns of all of them
// within some hundred milliseconds, which may begin seconds after its own start. One that comes later has just started and holds nothing.
const startsFor = 3 * time.Second

// TakeUnasked returns ready endpoints, at most a number of them, whose cache may hold something and that were not returned before; among names
// some by id, nil stands for all.
func (p *Pool) TakeUnasked(among []string, most int) []chivedirectory.Endpoint {
	p.mu.Lock()
	defer p.mu.Unlock()
	var unasked []chivedirectory.Endpoint
	for _, s := range p.among(Ask{Among: among}) {
		if len(unasked) == most {
			break
		}
		if s.asked || s.started || s.endpoint.State != chivedirectory.Ready {
			continue
		}
		s.asked = true
		unasked = append(unasked, s.endpoint)
	}
	return unasked
}

// Reconcile takes the parts that an engine, by its incarnation, says it holds, and returns their tokens; parts of incarnations that are not known are dropped.
func (p *Pool) Reconcile(endpoint string, parts []chiverequest.Part) (tokens int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s, ok := p.candidate(endpoint); ok {
		p.use(time.Now(), s)
		return s.cache.reconcile(parts)
	}
	return 0
}

// Take reserves a place for a request; the error is a *RefusedError.
func (p *Pool) Take(now time.Time, ask Ask) (*Place, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	place, err := p.choose(now, ask)
	if err != nil {
		return nil, err
	}
	p.hold(now, place, ask.Prompt)
	if ask.Prompt != nil {
		p.reads = append(p.reads, Read{Endpoint: place.candidate.incarnation, Parts: ask.Prompt.Parts, Fetched: place.fetches})
	}
	return place, nil
}

// hold counts a place among this node's own.
func (p *Pool) hold(now time.Time, place *Place, prompt *chiverequest.Prompt) {
	s := place.candidate
	p.use(now, s)
	if prompt != nil {
		s.begin(now, place)
		s.cache.touch(prompt.Parts, now.Add(place.expected))
	}
	s.own++
	s.dirty = true
	p.onChange()
}

// choose finds the best place for a request and counts it nowhere yet.
func (p *Pool) choose(now time.Time, ask Ask) (*Place, error) {
	usable, present := p.usable(now, ask)
	if len(usable) == 0 {
		switch {
		case present == 0 && ask.Domains.IsLimited():
			return nil, &RefusedError{Reason: "no endpoint of the pool is known in the allowed regions", RetryAfter: retryWhenNone}
		case present == 0 && len(p.evacuated) > 0:
			return nil, &RefusedError{Reason: "no endpoint of the pool is known outside the evacuated failure domains", RetryAfter: retryWhenNone}
		case present == 0:
			return nil, &RefusedError{Reason: "no endpoint of the pool is known", RetryAfter: retryWhenNone}
		}
		return nil, &RefusedError{Reason: "no endpoint of the pool has a free place", RetryAfter: retryWhenFull}
	}
	place := p.cheapest(now, usable, ask)
	best := place.candidate
	if ask.Prompt != nil {
		place.rank = ask.Prompt.Rank
		place.ahead = best.waitingFor(place.rank)
		place.expected = chivetime.Milliseconds(p.forecast.first(place.work()) * best.speed())
		if refused := p.admit(ask.Prompt, p.forecast.waiting(place.ahead)*best.speed(), place.expected); refused != nil {
			refused.Holder, refused.Held = place.holder, place.held
			return nil, refused
		}
		if place.tight = p.isTight(ask.Prompt); place.tight {
			p.promise = ask.Prompt.Pause
		}
	}
	if ask.Most > 0 && place.loss > ask.Most+place.perMs*p.forecast.own(float64(ask.MostReads)) {
		return nil, &RefusedError{
			Reason: "other engines may cost less", RetryAfter: comeBackLeast, Loss: place.loss, Holder: place.holder, Held: place.held,
		}
	}
	if p.warmsUp(now, best) {
		best.warming.taken = now
	}
	return place, nil
}

// usable returns the candidates that can take a request, in order of id, and how many endpoints there are at all. When all of
// those with room are passed over for earlier failures, they are better than none.
func (p *Pool) usable(now time.Time, ask Ask) (usable []*candidate, present int) {
	among := p.among(ask)
	usable = make([]*candidate, 0, len(among))
	slots := slotsFor(p.engine.Slots, ask.Prompt)
	var suspect []*candidate
	for _, s := range among {
		if s.endpoint.State != chivedirectory.Ready || slices.Contains(p.evacuated, s.endpoint.FailureDomain) || !ask.Domains.Contains(s.endpoint.FailureDomain) {
			continue
		}
		present++
		if (slots > 0 && s.load() >= slots) || slices.Contains(ask.Exclude, s.incarnation) {
			continue
		}
		switch {
		case p.warmsUp(now, s) && !p.mayWarm(now, s, ask):
		case s.usable(now):
			usable = append(usable, s)
		default:
			suspect = append(suspect, s)
		}
	}
	if len(usable) == 0 {
		usable = suspect
	}
	return usable, present
}

// among returns the candidates that a request may be placed on, by id; an owner's part of a pool of thousands is looked up, not searched.
func (p *Pool) among(ask Ask) []*candidate {
	if ask.Among == nil {
		return p.ordered
	}
	candidates := make([]*candidate, 0, len(ask.Among))
	for _, id := range ask.Among {
		if s, ok := p.present[id]; ok {
			candidates = append(candidates, s)
		}
	}
	return candidates
}

// cheapest makes a place on the candidate with the least cost, and notes the next best.
func (p *Pool) cheapest(now time.Time, candidates []*candidate, ask Ask) *Place {
	place := &Place{pool: p, began: now, domains: ask.Domains, candidates: len(candidates), reason: "least expected time", loss: math.Inf(1), nextLoss: math.Inf(1)}
	if ask.Prompt != nil && p.engine.Slots > 0 {
		p.cheapestEngine(now, place, candidates, ask)
		return place
	}
	// Nodes with few requests see the same cost at most endpoints; from the same first one on they would all take the same.
	first := p.random.IntN(len(candidates))
	for i := range candidates {
		s := candidates[(first+i)%len(candidates)]
		place.weigh(s, p.plainCost(now, s))
	}
	return place
}

// cheapestEngine puts a place on the engine with the least expected loss.
func (p *Pool) cheapestEngine(now time.Time, place *Place, candidates []*candidate, ask Ask) {
	choice := p.newEngineChoice(now, candidates, ask)
	for _, s := range choice.sample(candidates) {
		place.weigh(s, choice.cost(now, s))
	}
	place.reason = "least expected loss"
	place.perMs = choice.perMs
	place.reads, place.fetches, place.again = choice.split(place.candidate)
	place.input = ask.Prompt.Input
	if choice.holder != nil {
		place.holder, place.held = choice.holder.endpoint.Address, choice.read
	}
	if place.fetches > 0 {
		place.fetchFrom = place.holder
	}
}

// plainCost is the expected time to an answer of a plain service.
func (p *Pool) plainCost(now time.Time, s *candidate) float64 {
	cost := float64(s.load()+1) * s.slowness(now, usualTook) * (1 + errorWeight*s.errors)
	if s.endpoint.FailureDomain != p.domain {
		cost *= farAway
	}
	return cost
}

// HashID returns what Weigh takes in place of an id.
func HashID(id string) uint64 { return xxhash.Sum64String(id) }

// Weigh returns the weight of an endpoint, by the hash of its id, for a part. A pool of thousands is weighed for each request, so
// this is a few operations (the finish of splitmix64).
func Weigh(hash, part uint64) uint64 {
	x := hash ^ part*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// EndpointState is the dump of one endpoint.
type EndpointState struct {
	Endpoint string `json:"endpoint"`
	Address  string `json:"address"`
	// FailureDomain is where the endpoint runs.
	FailureDomain string  `json:"failure_domain"`
	Ready         bool    `json:"ready"`
	Own           int     `json:"own_requests"`
	Others        int     `json:"other_nodes_requests"`
	Waiting       int64   `json:"tokens_waiting"`
	Errors        float64 `json:"error_share"`
	TookMs        float64 `json:"took_ms"`
	Down          bool    `json:"passed_over"`
}

// States returns what is known of each endpoint, by id.
func (p *Pool) States(now time.Time) []EndpointState {
	p.mu.Lock()
	defer p.mu.Unlock()
	states := make([]EndpointState, 0, len(p.ordered))
	for _, s := range p.ordered {
		states = append(states, EndpointState{
			Endpoint: s.incarnation, Address: s.endpoint.Address, FailureDomain: s.endpoint.FailureDomain, Ready: s.endpoint.State == chivedirectory.Ready, Own: s.own, Others: s.others,
			Waiting: s.waitingTokens(), Errors: s.errors, TookMs: s.took * 1000, Down: now.Before(s.downUntil),
		})
	}
	return states
}
