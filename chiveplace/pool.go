package chiveplace

import (
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"chivedrift/chivedirectory"
	"chivedrift/chivedistance"
	"chivedrift/chiverequest"
	"chivedrift/chiveresidency"
	"chivedrift/chivetable"
	"chivedrift/chivetime"

	"github.com/cespare/xxhash/v2"
)

const (
	// remoteDomainFactor multiplies the cost of a plain endpoint in another failure domain.
	remoteDomainFactor = 1.15
	// errorCostFactor is the increase of a plain endpoint's cost, relative to its cost without errors, at an error rate
	// of 1.
	errorCostFactor = 12
	// defaultResponseTime, in seconds, is assumed before the first response.
	defaultResponseTime = 0.03
	// poolResponseTimeWeight is the weight of the newest response in the moving average over all endpoints of a pool.
	poolResponseTimeWeight = 0.05
	// unusedResponseTimeFactor multiplies that average for endpoints that were not used for a while. Below 1, so that
	// they are tried even if another one is idle too.
	unusedResponseTimeFactor = 0.9
	// retryAfterFull is the time after which to retry on a pool at capacity, about as long as one answer takes.
	retryAfterFull = 300 * time.Millisecond
	// retryAfterNoEndpoint is the time after which to retry on a pool without endpoints: a node that has just started
	// discovers them within a few hundred milliseconds.
	retryAfterNoEndpoint = 300 * time.Millisecond
	// retryAfterNoVersion is the same for a stream whose software version no endpoint runs: one that crashed restarts
	// within a few seconds.
	retryAfterNoVersion = time.Second
	// retryAfterLeaving is the same for a pool whose endpoints are all leaving: the next ones start within seconds.
	retryAfterLeaving = time.Second
)

// Ask is a request for a place.
type Ask struct {
	// Prompt is nil for requests to plain services.
	Prompt *chiverequest.Prompt
	// Exclude lists endpoints that were tried already, by incarnation key.
	Exclude []string
	// Left is how much longer the caller waits; 0 if that is not known.
	Left time.Duration
	// Among limits the choice to these endpoint ids; nil allows all.
	Among []string
	// Home lists the ids of the endpoints one of which is to cache the shared part of a prompt that no engine has
	// cached yet; empty allows any endpoint.
	Home []string
	// Domains limits the choice, and the endpoints to fetch prompt parts from, to some failure domains.
	Domains chiveresidency.Domains
	// Allows reports whether an endpoint, by its incarnation key, may be chosen; nil allows all.
	Allows func(incarnation string) bool
	// Permitted is the incarnation key of an endpoint with limits for which the caller has a permit; the choice is
	// limited to it. Empty for none.
	Permitted string
	// Most limits the loss of the place. Above Most plus the loss of recomputing MostReads tokens the request is
	// refused, so that other endpoints can be tried first. 0 means no limit.
	Most      float64
	MostReads int64
	// From is the failure domain of the node that sends the request; empty for this node's, or if it is not known.
	From string
	// forPeer means that another node sends the request.
	forPeer bool
}

// allows reports whether the ask allows a candidate.
func (a Ask) allows(cand *candidate) bool { return a.Allows == nil || a.Allows(cand.incarnation) }

// RefusedError tells why a pool has no place for a request and when to retry.
type RefusedError struct {
	Reason     string
	RetryAfter time.Duration
	// Expected is the predicted time to the first event on the best engine, if the request is refused for its predicted
	// wait; otherwise 0.
	Expected time.Duration
	// Evacuated means that operators have evacuated every failure domain in which the pool may serve the request, so that
	// waiting for a place is of no use.
	Evacuated bool
	// Loss is the loss of the best place if it exceeds the limit of the ask, otherwise 0.
	Loss float64
	// Holder is the address of the engine that has computed the longest prefix of the prompt, Held the length of that
	// prefix in tokens.
	Holder string
	Held   int64
}

// Error returns the reason.
func (e *RefusedError) Error() string { return e.Reason }

// Pool chooses among the endpoints of one pool and keeps track of the requests on them. It is safe for concurrent use.
type Pool struct {
	mu          sync.Mutex
	localDomain string
	// distances are the distances of the failure domains; spansRegions tells whether there is more than one region, and
	// farthest is the longest known round trip to a region with endpoints.
	distances    chivedistance.Map
	spansRegions bool
	farthest     time.Duration
	traffic      Traffic
	// regions are the known regions, in the order of their indexes.
	regions []string
	// firstEndpointAt is when the node discovered the first endpoint; zero before.
	firstEndpointAt time.Time
	engine          chivetable.Engine
	// warmUpRate is how many requests a second an endpoint accepts while it warms up, nodeCount how many nodes place
	// requests.
	warmUpRate float64
	nodeCount  int
	// placements counts the requests that this node has placed on the pool.
	placements rateCounter
	// coldRefusals counts this node's requests that were refused while all endpoints were cold.
	coldRefusals rateCounter
	// warmUpPermits means that requests to cold endpoints need permits also while this node knows no other one.
	warmUpPermits bool
	// evacuatedDomains are the failure domains whose endpoints get no requests, usedDomains those in which the pool has had
	// endpoints.
	evacuatedDomains []string
	usedDomains      []string
	// returnedAt is when the evacuation of a failure domain ended, for those that ended lately.
	returnedAt map[string]time.Time
	// byID holds the candidate of each endpoint by id.
	byID map[string]*candidate
	// recorded holds the candidates with a record of their own by incarnation: a process that restarted under the same
	// id has none of the cache contents, queue or measured speed of the former one.
	recorded map[string]*candidate
	// limited holds the candidates whose requests need or needed permits, by incarnation.
	limited map[string]*candidate
	brittle poolBrittleness
	// notices holds what endpoints have stated about their processes, by incarnation.
	notices map[string]*notice
	// reportedLeaving are the incarnations that other nodes have reported as leaving. They get requests only if no
	// other endpoint can take them.
	reportedLeaving map[string]bool
	// emptyRecord is shared by all other candidates and stays empty.
	emptyRecord *record
	// onChange is called when there is a change to report to the other nodes.
	onChange func()
	// prunedAt is when idle records were last dropped.
	prunedAt time.Time
	// sorted holds the candidates in the order of their incarnations, so that a choice among hundreds does not have to
	// sort them.
	sorted []*candidate
	// ttft predicts the time to the first event.
	ttft ttftPredictor
	// responseTime, in seconds, is the moving average over the responses of all endpoints. It is assumed for those
	// without a known response time.
	responseTime float64
	// prefillPauseMs is the learnt pause of streams that run beside a long prefill on an engine of average speed, in
	// milliseconds; 0 before the first measurement.
	prefillPauseMs float64
	// sensitivePause is the longest pause allowed to the latest latency-sensitive request; it is assumed for all
	// others.
	sensitivePause time.Duration
	// rng makes all random choices of the pool, so that they follow from one seed.
	rng *rand.Rand
	// pendingGrants are the places granted to other nodes that have not reported them yet.
	pendingGrants []pendingGrant
	// unreportedPrefills are the prompts sent to engines that have not been reported to the other nodes.
	unreportedPrefills []Read
}

// NewPool returns a pool without endpoints for a node in the given failure domain.
func NewPool(domain string) *Pool {
	return NewSeededPool(domain, rand.Uint64())
}

// NewSeededPool returns a pool whose random choices follow from a seed, so that an experiment can be repeated.
func NewSeededPool(domain string, seed uint64) *Pool {
	return &Pool{localDomain: domain, onChange: func() {}, byID: make(map[string]*candidate), recorded: make(map[string]*candidate), limited: make(map[string]*candidate), notices: make(map[string]*notice), returnedAt: make(map[string]time.Time), emptyRecord: newRecord(0), responseTime: defaultResponseTime, ttft: newTTFTPredictor(), rng: rand.New(rand.NewPCG(seed, 0))}
}

// OnChange sets the function that is called when there is a change to report to the other nodes, such as the start, the
// first event or the end of a request. The function must not block, and must be set before the first request.
func (p *Pool) OnChange(callback func()) { p.onChange = callback }

// SetEngine sets the capacity of the pool's engines; zero for plain services.
func (p *Pool) SetEngine(engine chivetable.Engine) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.engine = engine
	p.emptyRecord.cache.setCapacity(engine.CacheTokens)
	for _, cand := range p.recorded {
		cand.cache.setCapacity(engine.CacheTokens)
	}
}

// SetEndpoints sets the endpoints of the pool and keeps what is known about those that stay.
func (p *Pool) SetEndpoints(endpoints []chivedirectory.Endpoint) {
	p.mu.Lock()
	before := make([]chivedirectory.Endpoint, 0, len(p.sorted))
	for _, cand := range p.sorted {
		before = append(before, cand.endpoint)
	}
	p.mu.Unlock()
	p.ApplyEndpoints(chivedirectory.DiffOf(before, endpoints))
}

// ApplyEndpoints applies a change of the directory to the endpoints of the pool.
func (p *Pool) ApplyEndpoints(diff chivedirectory.Diff) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range diff.Gone {
		p.remove(e.ID)
	}
	for _, e := range diff.Changed {
		cand, ok := p.byID[e.ID]
		if !ok || cand.endpoint.Born != e.Born {
			if p.firstEndpointAt.IsZero() {
				p.firstEndpointAt = time.Now()
			}
			p.recordDomain(e.FailureDomain)
			started := ok || time.Since(p.firstEndpointAt) > discoveryWindow
			// A former process under this id has ended.
			p.remove(e.ID)
			cand = &candidate{endpoint: e, incarnation: e.Incarnation().Key(), idHash: HashID(e.ID), startedEmpty: started, record: p.emptyRecord}
			p.add(cand)
			p.assumeLimits(time.Now(), cand)
			p.attachNotice(cand)
			cand.setEndpoint(time.Now(), e)
			p.setRegion(cand)
			continue
		}
		now := time.Now()
		p.changeWarmUp(now, cand, func() { cand.setEndpoint(now, e) })
		p.setRegion(cand)
	}
	p.updateFarthest()
}

// add adds a candidate; the caller holds the lock.
func (p *Pool) add(cand *candidate) {
	at, _ := p.position(cand.incarnation)
	p.sorted = slices.Insert(p.sorted, at, cand)
	p.byID[cand.endpoint.ID] = cand
}

// remove removes the candidate of an endpoint id; the caller holds the lock.
func (p *Pool) remove(id string) {
	cand, ok := p.byID[id]
	if !ok {
		return
	}
	if cand.record != p.emptyRecord {
		cand.removedAt = time.Now()
	}
	p.detachNotice(time.Now(), cand)
	if at, found := p.position(cand.incarnation); found {
		p.sorted = slices.Delete(p.sorted, at, at+1)
	}
	delete(p.recorded, cand.incarnation)
	delete(p.limited, cand.incarnation)
	delete(p.byID, id)
}

// lookup returns the candidate of an incarnation; the caller holds the lock.
func (p *Pool) lookup(incarnation string) (*candidate, bool) {
	cand, ok := p.byID[chivedirectory.IDOf(incarnation)]
	return cand, ok && cand.incarnation == incarnation
}

// ensureRecord gives a candidate a record of its own, before the first write to it; the caller holds the lock.
func (p *Pool) ensureRecord(now time.Time, cand *candidate) {
	if cand.record == p.emptyRecord {
		cand.record = newRecord(p.engine.CacheTokens)
		if _, present := p.lookup(cand.incarnation); present {
			p.recorded[cand.incarnation] = cand
		}
	}
	cand.lastUsedAt = now
}

// Records returns the number of endpoints with a record of their own.
func (p *Pool) Records() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.recorded)
}

const (
	// pruneThreshold is the number of records up to which a pool keeps idle ones.
	pruneThreshold = 512
	// recordIdleTimeout is how long a record must have been unused to be dropped; by then the engine has cached other
	// prompts.
	recordIdleTimeout = time.Minute
)

// pruneIdleRecords drops long unused records if there are many; the caller holds the lock.
func (p *Pool) pruneIdleRecords(now time.Time) {
	if len(p.recorded) <= pruneThreshold || now.Sub(p.prunedAt) < recordIdleTimeout {
		return
	}
	p.prunedAt = now
	for incarnation, cand := range p.recorded {
		if cand.isIdle(now) && now.Sub(cand.lastUsedAt) > recordIdleTimeout {
			cand.record = p.emptyRecord
			delete(p.recorded, incarnation)
		}
	}
}

// position returns the index of an incarnation in sorted, or the one to insert it at.
func (p *Pool) position(incarnation string) (at int, found bool) {
	return slices.BinarySearchFunc(p.sorted, incarnation, func(cand *candidate, incarnation string) int { return strings.Compare(cand.incarnation, incarnation) })
}

// Has reports whether an endpoint id is in the pool.
func (p *Pool) Has(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, ok := p.byID[id]
	return ok
}

// discoveryWindow is how long after the first endpoint the endpoints that a node discovers are assumed to have run
// before. A node discovers all of them within some hundred milliseconds, which may begin seconds after its own start.
// An endpoint that appears later has just started with an empty cache.
const discoveryWindow = 3 * time.Second

// NotAllowed returns the incarnation keys of those of the given endpoint ids that an ask does not allow or whose failure
// domains are evacuated.
func (p *Pool) NotAllowed(ask Ask, ids []string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if ask.Allows == nil && len(p.evacuatedDomains) == 0 {
		return nil
	}
	var incarnations []string
	for _, id := range ids {
		if cand, ok := p.byID[id]; ok && (p.isEvacuated(cand) || !ask.allows(cand)) {
			incarnations = append(incarnations, cand.incarnation)
		}
	}
	return incarnations
}

// TakeUnasked returns up to limit ready endpoints whose caches may hold something and that it has not returned before,
// for the caller to query their cache contents. The ids limit the search; nil allows all endpoints.
func (p *Pool) TakeUnasked(ids []string, limit int) []chivedirectory.Endpoint {
	p.mu.Lock()
	defer p.mu.Unlock()
	var endpoints []chivedirectory.Endpoint
	for _, cand := range p.allowedCandidates(Ask{Among: ids}) {
		if len(endpoints) == limit {
			break
		}
		if cand.cacheQueried || cand.startedEmpty || !cand.isReady(time.Now()) || p.isEvacuated(cand) || cand.notice.isResting(time.Now()) {
			continue
		}
		cand.cacheQueried = true
		endpoints = append(endpoints, cand.endpoint)
	}
	return endpoints
}

// Reconcile adds the prompt parts that an engine reports as cached, and returns their number of tokens. Reports of
// unknown incarnations are ignored.
func (p *Pool) Reconcile(incarnation string, parts []chiverequest.Part) (tokens int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if cand, ok := p.lookup(incarnation); ok {
		p.ensureRecord(time.Now(), cand)
		return cand.cache.merge(parts)
	}
	return 0
}

// Take reserves a place for a request. The error is a *RefusedError, or a *LimitedError if the chosen endpoint has
// limits and the ask has no permit for it.
func (p *Pool) Take(now time.Time, ask Ask) (*Place, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	place, err := p.choose(now, ask)
	if err != nil {
		return nil, err
	}
	if limited := p.needsPermit(now, place.candidate, ask); limited != nil {
		return nil, limited
	}
	p.countOwn(now, place, ask.Prompt)
	if ask.Prompt != nil {
		p.unreportedPrefills = append(p.unreportedPrefills, Read{Endpoint: place.candidate.incarnation, Parts: ask.Prompt.Parts, Fetched: place.fetchTokens})
	}
	return place, nil
}

// countOwn adds a place to this node's own load.
func (p *Pool) countOwn(now time.Time, place *Place, prompt *chiverequest.Prompt) {
	cand := place.candidate
	p.ensureRecord(now, cand)
	place.crossing = p.crossingOf(cand, prompt)
	if prompt != nil {
		cand.addRequest(now, place)
		cand.cache.touch(prompt.Parts, now.Add(place.expectedTTFT))
	}
	cand.ownRequests++
	cand.dirty = true
	p.placements.add(now)
	p.onChange()
}

// choose returns the best place for a request without adding it to the load.
func (p *Pool) choose(now time.Time, ask Ask) (*Place, error) {
	usable, ready := p.usableCandidates(now, ask)
	if len(usable) == 0 {
		if ready == 0 {
			return nil, p.noEndpoint(ask)
		}
		if wait, resting := p.restWait(now, ask); resting {
			return nil, &RefusedError{Reason: "the pool's endpoints have asked for rest", RetryAfter: wait}
		}
		if wait, limited := p.limitWait(now, ask); limited {
			return nil, &RefusedError{Reason: "the limits of the pool's endpoints are used up", RetryAfter: wait}
		}
		return nil, &RefusedError{Reason: "no endpoint of the pool has a free place", RetryAfter: retryAfterFull}
	}
	place := p.placeOnCheapest(now, p.untriedFirst(usable, ask.Exclude), ask)
	best := place.candidate
	if ask.Prompt != nil {
		place.rank = ask.Prompt.Rank
		place.queuedAhead = best.queuedAhead(place.rank)
		place.expectedTTFT = chivetime.Milliseconds(p.ttft.predict(place.prefillWork())*best.slowdown()) + place.way
		if refused := p.admit(ask.Prompt, p.ttft.queuedMs(place.queuedAhead)*best.slowdown(), place.expectedTTFT); refused != nil {
			refused.Holder, refused.Held = place.holderAddress, place.holderTokens
			return nil, refused
		}
		if place.latencySensitive = p.isLatencySensitive(ask.Prompt); place.latencySensitive {
			p.sensitivePause = ask.Prompt.Pause
		}
	}
	if ask.Most > 0 && place.loss > ask.Most+place.lossPerMs*p.ttft.prefillMs(float64(ask.MostReads)) {
		return nil, &RefusedError{
			Reason: "other engines may cost less", RetryAfter: minRetryAfter, Loss: place.loss, Holder: place.holderAddress, Held: place.holderTokens,
		}
	}
	p.pace(now, best, ask)
	if !ask.forPeer {
		best.notice.probe(now)
	}
	return place, nil
}

// noEndpoint returns the error of an ask that allows no ready endpoint.
func (p *Pool) noEndpoint(ask Ask) *RefusedError {
	switch {
	case p.allEvacuated(ask):
		return &RefusedError{Reason: "all failure domains of the pool are evacuated", RetryAfter: retryAfterEvacuated, Evacuated: true}
	case p.allLeaving(ask):
		return &RefusedError{Reason: "all endpoints of the pool are leaving", RetryAfter: retryAfterLeaving}
	case ask.Allows != nil:
		return &RefusedError{Reason: "no endpoint of the pool runs the software version that began the stream", RetryAfter: retryAfterNoVersion}
	case ask.Domains.IsLimited():
		return &RefusedError{Reason: "no endpoint of the pool is known in the allowed regions", RetryAfter: retryAfterNoEndpoint}
	case len(p.evacuatedDomains) > 0:
		return &RefusedError{Reason: "no endpoint of the pool is known outside the evacuated failure domains", RetryAfter: retryAfterNoEndpoint}
	}
	return &RefusedError{Reason: "no endpoint of the pool is known", RetryAfter: retryAfterNoEndpoint}
}

// allLeaving reports whether all endpoints that an ask allows are leaving; false if there are none.
func (p *Pool) allLeaving(ask Ask) bool {
	allowed := p.allowedCandidates(ask)
	return len(allowed) > 0 && !slices.ContainsFunc(allowed, func(cand *candidate) bool {
		return cand.endpoint.State != chivedirectory.Leaving && !cand.notice.isLeaving()
	})
}

// usableCandidates returns the candidates that can take a request, and the number of ready endpoints in failure domains
// that are allowed and not evacuated. If all candidates with capacity are ejected, it returns these: trying them is
// better than refusing.
func (p *Pool) usableCandidates(now time.Time, ask Ask) (usable []*candidate, ready int) {
	allowed := p.allowedCandidates(ask)
	usable = make([]*candidate, 0, len(allowed))
	slots := slotLimit(p.engine.Slots, ask.Prompt)
	var ejected, returning []*candidate
	for _, cand := range allowed {
		if !p.isEligible(now, cand, ask) {
			continue
		}
		ready++
		if (slots > 0 && cand.load() >= slots) || slices.Contains(ask.Exclude, cand.incarnation) || !cand.noticeAllows(now, ask) {
			continue
		}
		switch {
		case !p.limitsAllow(now, cand, ask):
		case !p.paceAllows(now, cand, ask):
		case cand.isUsable(now) && !cand.notice.isResting(now) && !p.reportedLeaving[cand.incarnation]:
			if p.returnedPart(now, cand) < 1 {
				returning = append(returning, cand)
			} else {
				usable = append(usable, cand)
			}
		default:
			ejected = append(ejected, cand)
		}
	}
	usable = p.admitReturning(now, usable, returning)
	if len(usable) == 0 {
		usable = ejected
	}
	return usable, ready
}

// isEligible reports whether the endpoint is ready and in a failure domain that is allowed and not evacuated, and the ask
// allows it.
func (p *Pool) isEligible(now time.Time, cand *candidate, ask Ask) bool {
	return cand.isReady(now) && !p.isEvacuated(cand) && ask.Domains.Contains(cand.endpoint.FailureDomain) && ask.allows(cand)
}

// allowedCandidates returns the candidates that an ask is limited to. An owner's share of a pool of thousands is looked
// up by id, without a scan of the pool.
func (p *Pool) allowedCandidates(ask Ask) []*candidate {
	if ask.Among == nil {
		return p.sorted
	}
	candidates := make([]*candidate, 0, len(ask.Among))
	for _, id := range ask.Among {
		if cand, ok := p.byID[id]; ok {
			candidates = append(candidates, cand)
		}
	}
	return candidates
}

// placeOnCheapest returns a place on the candidate with the lowest cost.
func (p *Pool) placeOnCheapest(now time.Time, candidates []*candidate, ask Ask) *Place {
	place := &Place{pool: p, startedAt: now, domains: ask.Domains, candidateCount: len(candidates), reason: "least expected time", loss: math.Inf(1), nextLoss: math.Inf(1)}
	if ask.Prompt != nil && p.engine.Slots > 0 {
		p.chooseEngine(now, place, candidates, ask)
		return place
	}
	// The scan starts at a random candidate: nodes with few requests see equal costs at most endpoints, and would all
	// choose the first of them.
	start := p.rng.IntN(len(candidates))
	for i := range candidates {
		cand := candidates[(start+i)%len(candidates)]
		place.consider(cand, p.plainServiceCost(now, cand, ask))
	}
	place.way = p.wayTo(ask, place.candidate)
	return place
}

// chooseEngine fills in the place for the engine with the lowest expected loss.
func (p *Pool) chooseEngine(now time.Time, place *Place, candidates []*candidate, ask Ask) {
	choice := p.newEngineChoice(now, candidates, ask)
	for _, cand := range choice.sample(candidates) {
		place.consider(cand, choice.cost(now, cand))
	}
	place.reason = "least expected loss"
	place.lossPerMs = choice.lossPerMs
	place.prefillTokens, place.fetchTokens, place.recomputeTokens = choice.splitPrompt(place.candidate)
	place.promptTokens = ask.Prompt.Input
	if choice.holder != nil {
		place.holderAddress, place.holderTokens = choice.holder.endpoint.Address, choice.holderTokens
	}
	place.way = p.wayTo(ask, place.candidate)
	if place.fetchTokens > 0 {
		place.fetchFrom = place.holderAddress
		place.way += p.between(choice.holder, place.candidate)
	}
}

// plainServiceCost returns the expected response time of a replica of a plain service, increased for errors and for a
// remote failure domain.
func (p *Pool) plainServiceCost(now time.Time, cand *candidate, ask Ask) float64 {
	cost := float64(cand.load()+1) * cand.expectedResponseTime(now, unusedResponseTimeFactor*p.responseTime) * (1 + errorCostFactor*p.errorRate(now, cand))
	cost += p.wayTo(ask, cand).Seconds()
	if cand.endpoint.FailureDomain != p.localDomain {
		cost *= remoteDomainFactor
	}
	return cost
}

// HashID returns the hash of an endpoint id that Weigh expects.
func HashID(id string) uint64 { return xxhash.Sum64String(id) }

// Weigh returns the rendezvous hash weight of an endpoint, given by the hash of its id, for a prompt part. A request
// may weigh all endpoints of a pool of thousands, so this takes only a few operations (the finalizer of splitmix64).
func Weigh(idHash, part uint64) uint64 {
	x := idHash ^ part*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// EndpointState is the state of one endpoint for debugging output.
type EndpointState struct {
	Endpoint string `json:"endpoint"`
	Address  string `json:"address"`
	// FailureDomain is where the endpoint runs, WayMs the round trip to its region; 0 for the own one.
	FailureDomain string  `json:"failure_domain"`
	WayMs         int64   `json:"way_ms,omitempty"`
	Ready         bool    `json:"ready"`
	Own           int     `json:"own_requests"`
	Others        int     `json:"other_nodes_requests"`
	Waiting       int64   `json:"tokens_waiting"`
	Errors        float64 `json:"error_share"`
	TookMs        float64 `json:"took_ms"`
	Down          bool    `json:"passed_over"`
	// LimitPerSecond and LimitRefusals are the limits that the endpoint states, in requests and in refused requests a
	// second; 0 for none.
	LimitPerSecond float64 `json:"limit_per_second,omitempty"`
	LimitRefusals  int     `json:"limit_refusals,omitempty"`
	// LeavingForMs is how long ago the endpoint first said that it is leaving, RestForMs how much longer it wants no
	// requests from this node; 0 for neither.
	LeavingForMs int64 `json:"leaving_for_ms,omitempty"`
	RestForMs    int64 `json:"rest_for_ms,omitempty"`
	// ColdForMs is how much longer the endpoint warms up; 0 if it does not.
	ColdForMs int64 `json:"cold_for_ms,omitempty"`
}

// States returns what is known about each endpoint, in the order of their incarnations.
func (p *Pool) States(now time.Time) []EndpointState {
	p.mu.Lock()
	defer p.mu.Unlock()
	states := make([]EndpointState, 0, len(p.sorted))
	for _, cand := range p.sorted {
		leavingFor, restFor := cand.notice.durations(now)
		states = append(states, EndpointState{
			LeavingForMs: leavingFor.Milliseconds(), RestForMs: restFor.Milliseconds(), ColdForMs: p.warmUpLeft(now, cand).Milliseconds(),
			Endpoint: cand.incarnation, Address: cand.endpoint.Address, FailureDomain: cand.endpoint.FailureDomain, WayMs: p.wayTo(Ask{}, cand).Milliseconds(), Ready: cand.endpoint.State == chivedirectory.Ready, Own: cand.ownRequests, Others: cand.otherRequests,
			Waiting: cand.queuedTokens(), Errors: cand.errorRate, TookMs: cand.responseTime * 1000, Down: now.Before(cand.ejectedUntil), LimitPerSecond: cand.currentLimits().PerSecond, LimitRefusals: cand.currentLimits().Refusals,
		})
	}
	return states
}
