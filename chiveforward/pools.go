package chiveforward

import (
	"context"
	"errors"
	"log/slog"
	"math"
	"slices"
	"sync"
	"time"

	"chivedrift/chivedirectory"
	"chivedrift/chivedistance"
	"chivedrift/chivegrant"
	"chivedrift/chiveplace"
	"chivedrift/chiverequest"
	"chivedrift/chiveresidency"
	"chivedrift/chivetable"
)

// PoolsName is the name under which the pools register.
const PoolsName = "pools"

// Pools holds the pools of the current routing table with their endpoints from the directory. It selects endpoints by
// means of chiveplace.
type Pools struct {
	failureDomain string
	remote        Asker
	rates         Rates
	versionOf     func(incarnation string) string
	mu            sync.Mutex
	pools         map[string]*chiveplace.Pool
	nodes         int
	// evacuated are the failure domains whose endpoints get no requests. While evacuationsKnown returns false, no endpoint
	// does.
	evacuated        []string
	evacuationsKnown func() bool
	// reportedLeaving are the incarnations that other nodes have reported as leaving.
	reportedLeaving map[string]bool
	// regions is the region of each failure domain.
	regions   chiveresidency.Map
	distances chivedistance.Map
	table     *chivetable.Table
	crossings crossingCounters
	traffic   chiveplace.Traffic
	// changed has a buffer of one: a receiver collects the changes of all pools.
	changed chan struct{}
}

// NewPools returns an empty Pools for a node in a failure domain.
func NewPools(failureDomain string) *Pools {
	return &Pools{failureDomain: failureDomain, pools: make(map[string]*chiveplace.Pool), changed: make(chan struct{}, 1), versionOf: func(string) string { return "" }, evacuationsKnown: func() bool { return true }}
}

// Asker selects endpoints for prompts with the help of other nodes.
type Asker interface {
	// Place selects an endpoint. It returns chivegrant.ErrAlone if the node has to decide by itself.
	Place(ctx context.Context, pool *chiveplace.Pool, request *chiverequest.Request, ask chiveplace.Ask) (*chiveplace.Place, error)
	// Home returns the IDs of the engines to which other nodes would send the request; empty if they consider all
	// engines.
	Home(request *chiverequest.Request, ask chiveplace.Ask) []string
}

// SetAsker sets the Asker for requests with prompts; it must be called before the first request.
func (p *Pools) SetAsker(remote Asker) { p.remote = remote }

// Rates issues permits within limits that all nodes share.
type Rates interface {
	// Take asks for a permit within the limits of a key, for a request with a latency target. If it is not granted, Take returns how long to wait before asking
	// again.
	Take(ctx context.Context, key string, limits chiverequest.Limits, target time.Duration) (granted bool, wait time.Duration)
	// TakeCold is Take for an endpoint that is cold.
	TakeCold(ctx context.Context, key string, limits chiverequest.Limits, target time.Duration) (granted bool, wait time.Duration)
	// Release returns a permit under a limit on refusals after its request has ended. If the request was refused for want
	// of room, load is how many requests the endpoint had then.
	Release(key string, refused bool, load int)
}

// SetRates sets the Rates for endpoints that state limits or are cold; it must be called before the first request.
func (p *Pools) SetRates(rates Rates) { p.rates = rates }

// SetVersions sets the function that returns the software version of an endpoint's incarnation, empty if it is not known;
// it must be called before the first request.
func (p *Pools) SetVersions(versionOf func(incarnation string) string) { p.versionOf = versionOf }

// SetRegions sets the region of each failure domain; it must be called before the first request.
func (p *Pools) SetRegions(regions chiveresidency.Map) { p.regions = regions }

// SetDistances sets how far the regions are.
func (p *Pools) SetDistances(distances chivedistance.Map) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.distances = distances
	for _, pool := range p.pools {
		pool.SetDistances(distances)
	}
}

// SetTraffic sets what bytes between regions cost; it must be called before the first endpoint is known.
func (p *Pools) SetTraffic(traffic chiveplace.Traffic) { p.traffic = traffic }

// SetTable applies a routing table.
func (p *Pools) SetTable(table *chivetable.Table) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table = table
	for _, t := range table.Pools() {
		p.pool(t.Name).SetEngine(t.Engine)
		p.pool(t.Name).SetWarmUpRate(t.WarmUpRate)
	}
}

// SetEvacuated sets the failure domains whose endpoints get no requests.
func (p *Pools) SetEvacuated(domains []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.evacuated = domains
	for _, pool := range p.pools {
		pool.SetEvacuated(domains)
	}
}

// SetEvacuationsKnown sets the function that reports whether this node knows the evacuations yet; it must be called before
// the first request.
func (p *Pools) SetEvacuationsKnown(known func() bool) { p.evacuationsKnown = known }

// SetNodes sets the number of nodes.
func (p *Pools) SetNodes(nodes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.nodes = nodes
	for _, pool := range p.pools {
		pool.SetNodes(nodes)
	}
}

// SetReportedLeaving sets the incarnations that other nodes have reported as leaving.
func (p *Pools) SetReportedLeaving(incarnations []string) {
	leaving := make(map[string]bool, len(incarnations))
	for _, incarnation := range incarnations {
		leaving[incarnation] = true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reportedLeaving = leaving
	for _, pool := range p.pools {
		pool.SetReportedLeaving(leaving)
	}
}

// ApplyEndpoints applies a directory change to the pools that it affects.
func (p *Pools) ApplyEndpoints(diff chivedirectory.Diff) {
	p.mu.Lock()
	defer p.mu.Unlock()
	byPool := make(map[string]chivedirectory.Diff)
	for _, e := range diff.Changed {
		for name, other := range p.pools {
			if name == e.Pool || !other.Has(e.ID) {
				continue
			}
			poolDiff := byPool[name]
			poolDiff.Gone = append(poolDiff.Gone, e)
			byPool[name] = poolDiff
		}
		poolDiff := byPool[e.Pool]
		poolDiff.Changed = append(poolDiff.Changed, e)
		byPool[e.Pool] = poolDiff
	}
	for _, e := range diff.Gone {
		poolDiff := byPool[e.Pool]
		poolDiff.Gone = append(poolDiff.Gone, e)
		byPool[e.Pool] = poolDiff
	}
	for name, poolDiff := range byPool {
		p.pool(name).ApplyEndpoints(poolDiff)
	}
}

// pool returns the pool with a name and creates it if necessary; the caller holds the lock.
func (p *Pools) pool(name string) *chiveplace.Pool {
	pool, ok := p.pools[name]
	if !ok {
		pool = chiveplace.NewPool(p.failureDomain)
		pool.OnChange(p.signalChange)
		pool.SetNodes(p.nodes)
		pool.SetDistances(p.distances)
		pool.SetTraffic(p.traffic)
		if p.rates != nil {
			pool.RequireWarmUpPermits()
		}
		pool.SetEvacuated(p.evacuated)
		pool.SetReportedLeaving(p.reportedLeaving)
		p.pools[name] = pool
	}
	return pool
}

// Pool returns the pool with a name, or nil.
func (p *Pools) Pool(name string) *chiveplace.Pool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pools[name]
}

// Changed receives a value after this node's load changed in a way that other nodes should know.
func (p *Pools) Changed() <-chan struct{} { return p.changed }

func (p *Pools) signalChange() {
	select {
	case p.changed <- struct{}{}:
	default:
	}
}

// Collect returns a report of this node's load for the other nodes: the changes since the last call, or everything.
func (p *Pools) Collect(all bool) chiveplace.Report {
	report := chiveplace.Report{All: all}
	for _, pool := range p.allPools() {
		pool.Collect(&report, all)
	}
	report.Limits = p.limits(!all)
	return report
}

// ChangedLimits returns the limits of endpoints that changed since the last call.
func (p *Pools) ChangedLimits() []chiveplace.EndpointLimits { return p.limits(true) }

func (p *Pools) limits(onlyChanged bool) (limits []chiveplace.EndpointLimits) {
	for _, pool := range p.allPools() {
		limits = append(limits, pool.Limits(onlyChanged)...)
	}
	return limits
}

// Hear applies another node's report of its load.
func (p *Pools) Hear(node string, report chiveplace.Report) {
	for _, pool := range p.allPools() {
		pool.Hear(time.Now(), node, &report)
	}
}

// Release drops other nodes' load on endpoints that this node does not keep track of.
func (p *Pools) Release(kept func(endpoint string) bool) {
	for _, pool := range p.allPools() {
		pool.Release(kept)
	}
}

// Forget drops the load of nodes that are not alive.
func (p *Pools) Forget(alive map[string]bool) {
	for _, pool := range p.allPools() {
		pool.Forget(alive)
	}
}

func (p *Pools) allPools() []*chiveplace.Pool {
	p.mu.Lock()
	defer p.mu.Unlock()
	pools := make([]*chiveplace.Pool, 0, len(p.pools))
	for _, pool := range p.pools {
		pools = append(pools, pool)
	}
	return pools
}

// Start does nothing: endpoints are selected on the requests' goroutines.
func (p *Pools) Start(context.Context) error { return nil }

// Stop does nothing.
func (p *Pools) Stop(context.Context) error { return nil }

// Dump returns the state of each endpoint, by pool.
func (p *Pools) Dump() any {
	p.mu.Lock()
	defer p.mu.Unlock()
	dump := make(map[string][]chiveplace.EndpointState, len(p.pools))
	for name, pool := range p.pools {
		dump[name] = pool.States(time.Now())
	}
	return dump
}

const (
	// localPollInterval is how often a waiting request tries again to get an endpoint.
	localPollInterval = 10 * time.Millisecond
	// remotePollInterval is the same for requests that ask other nodes.
	remotePollInterval = 50 * time.Millisecond
	// startingRetryAfter is when to retry a request at a node that has just started.
	startingRetryAfter = 300 * time.Millisecond
	// noRegionRetryAfter is when to retry a request that no region may serve until the configuration changes.
	noRegionRetryAfter = 10 * time.Second
)

// choose asks other nodes, which may know more about the engines, to select an endpoint for a prompt. If they cannot,
// and for requests without a prompt, this node selects one by itself.
func (p *Pools) choose(
	ctx context.Context, pool *chiveplace.Pool, request *chiverequest.Request, ask chiveplace.Ask,
) (place *chiveplace.Place, asked bool, err error) {
	if p.remote != nil && request.Prompt != nil {
		place, err = p.remote.Place(ctx, pool, request, ask)
		if !errors.Is(err, chivegrant.ErrAlone) {
			return place, true, err
		}
		ask.Home = p.remote.Home(request, ask)
	}
	place, err = pool.Take(time.Now(), ask)
	return place, false, err
}

// chooseWithinLimits selects an endpoint as choose does, and gets a permit if it has limits. While there is none,
// other endpoints are selected.
func (p *Pools) chooseWithinLimits(
	ctx context.Context, pool *chiveplace.Pool, request *chiverequest.Request, ask chiveplace.Ask,
) (place *chiveplace.Place, asked bool, err error) {
	for {
		place, asked, err = p.choose(ctx, pool, request, ask)
		var limited *chiveplace.LimitedError
		if !errors.As(err, &limited) {
			return place, asked, err
		}
		if granted, wait := p.takePermit(ctx, limited, request.Route.Target); !granted {
			pool.LimitUsedUp(limited.Endpoint, time.Now().Add(wait))
			continue
		}
		permitted := ask
		permitted.Permitted = limited.Endpoint
		if place, err = pool.Take(time.Now(), permitted); err == nil {
			return place, asked, nil
		}
		// The endpoint has just left or become full.
		p.returnPermit(limited)
		pool.LimitUsedUp(limited.Endpoint, time.Now().Add(localPollInterval))
	}
}

// chooseOnceReady selects an endpoint as chooseWithinLimits does, but none before the evacuations are known.
func (p *Pools) chooseOnceReady(
	ctx context.Context, pool *chiveplace.Pool, request *chiverequest.Request, ask chiveplace.Ask,
) (place *chiveplace.Place, asked bool, err error) {
	if !p.evacuationsKnown() {
		return nil, false, &chiveplace.RefusedError{Reason: "the node does not know yet which failure domains are evacuated", RetryAfter: startingRetryAfter}
	}
	return p.chooseWithinLimits(ctx, pool, request, ask)
}

// limitsKey is the key of an endpoint's limits.
func limitsKey(incarnation string) string { return "endpoint/" + incarnation }

// takePermit asks for a permit for an endpoint with limits; see Rates.Take.
func (p *Pools) takePermit(ctx context.Context, limited *chiveplace.LimitedError, target time.Duration) (granted bool, wait time.Duration) {
	if p.rates == nil {
		return !limited.Cold, localPollInterval
	}
	if limited.Cold {
		return p.rates.TakeCold(ctx, limitsKey(limited.Endpoint), limited.Limits, target)
	}
	return p.rates.Take(ctx, limitsKey(limited.Endpoint), limited.Limits, target)
}

// returnPermit returns a permit that is not used. One of a rate is lost, which keeps the fleet within the rate.
func (p *Pools) returnPermit(limited *chiveplace.LimitedError) {
	if p.rates != nil && limited.Limits.Refusals > 0 {
		p.rates.Release(limitsKey(limited.Endpoint), false, 0)
	}
}

// LimitedEndpoints returns the number of endpoints with limits.
func (p *Pools) LimitedEndpoints() int {
	count := 0
	for _, pool := range p.allPools() {
		count += pool.LimitedEndpoints()
	}
	return count
}

// ColdEndpoints returns the number of endpoints that are warming up.
func (p *Pools) ColdEndpoints() int {
	count, now := 0, time.Now()
	for _, pool := range p.allPools() {
		count += pool.ColdEndpoints(now)
	}
	return count
}

// StateNotice records what an endpoint, identified by its incarnation, has stated about its process on a connection
// that this node shares with another one. It reports whether that was not known.
func (p *Pools) StateNotice(now time.Time, incarnation string, notice chiverequest.Notice) (changed bool) {
	for _, pool := range p.allPools() {
		changed = pool.StateNotice(now, incarnation, notice) || changed
	}
	return changed
}

// StateWarmUp records how much longer an endpoint, identified by its incarnation, is cold by what it has stated to this node or
// to a peer. It reports whether that was not known.
func (p *Pools) StateWarmUp(now time.Time, incarnation string, left time.Duration) (changed bool) {
	for _, pool := range p.allPools() {
		changed = pool.StateWarmUp(now, incarnation, left) || changed
	}
	return changed
}

// Accepts reports whether the endpoint at an address takes requests of this node.
func (p *Pools) Accepts(address string) bool {
	now := time.Now()
	return !slices.ContainsFunc(p.allPools(), func(pool *chiveplace.Pool) bool {
		return pool.IsClosed(now, address) || pool.IsEvacuated(address)
	})
}

// NoticeCounts returns how many listed endpoints have said that they are leaving, and how many want no requests from this
// node now.
func (p *Pools) NoticeCounts() (counts chiveplace.NoticeCounts) {
	now := time.Now()
	for _, pool := range p.allPools() {
		inPool := pool.NoticeCounts(now)
		counts.Leaving += inPool.Leaving
		counts.Resting += inPool.Resting
	}
	return counts
}

// residencyOf returns the regions in which a request may be served now. A configuration change that removes a region
// also applies to requests that are waiting or being retried.
func (p *Pools) residencyOf(request *chiverequest.Request) chiveresidency.Policy {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.table == nil {
		return request.Residency
	}
	current, ok := p.table.Residency(request.Route.Name, request.Team)
	if !ok {
		return request.Residency
	}
	return request.Residency.Intersect(current)
}

// allowedBy returns the function that reports which endpoints may go on with a stream; nil for one that has not begun.
func (p *Pools) allowedBy(origin *chiverequest.Origin) func(incarnation string) bool {
	if origin == nil {
		return nil
	}
	return func(incarnation string) bool { return origin.Allows(incarnation, p.versionOf) }
}

// Take waits a limited time for an endpoint that can take the request.
func (p *Pools) Take(ctx context.Context, request *chiverequest.Request, exclude []string) (Place, error) {
	pool := p.Pool(request.Pool)
	if pool == nil {
		return nil, &chiveplace.RefusedError{Reason: "the pool has no endpoints", RetryAfter: time.Second}
	}
	ask := chiveplace.Ask{Prompt: request.Prompt, Exclude: exclude, Allows: p.allowedBy(request.Origin)}
	deadline := time.Now().Add(chiveplace.Patience(request.Route.Target))
	for {
		residency := p.residencyOf(request)
		if residency.AllowsNone() {
			return nil, &chiveplace.RefusedError{Reason: "the regions of the route and of the team have none in common", RetryAfter: noRegionRetryAfter}
		}
		ask.Domains = p.regions.Domains(residency)
		place, asked, err := p.chooseOnceReady(ctx, pool, request, ask)
		if err == nil {
			p.crossings.add(place.Crossing())
			kept := request.WithoutContent()
			allowed := func() chiveresidency.Domains { return p.regions.Domains(p.residencyOf(kept)) }
			return pooledPlace{place, p.rates, p.versionOf(place.Endpoint().Incarnation().Key()), allowed}, nil
		}
		var refused *chiveplace.RefusedError
		if errors.As(err, &refused) && refused.Evacuated {
			return nil, err
		}
		if time.Now().After(deadline) {
			return nil, withColdRetry(pool, ask, err)
		}
		interval := localPollInterval
		if asked {
			interval = remotePollInterval
		}
		select {
		case <-time.After(interval):
		case <-ctx.Done():
			return nil, err
		}
	}
}

// withColdRetry returns the error of a refused request with the time to return if all endpoints are cold.
func withColdRetry(pool *chiveplace.Pool, ask chiveplace.Ask, err error) error {
	var refused *chiveplace.RefusedError
	if !errors.As(err, &refused) {
		return err
	}
	retryAfter, allCold := pool.ColdRetryAfter(time.Now(), ask)
	if !allCold {
		return err
	}
	spread := *refused
	spread.RetryAfter = retryAfter
	return &spread
}

// pooledPlace implements Place for an endpoint of a pool.
type pooledPlace struct {
	*chiveplace.Place
	rates   Rates
	version string
	// allowed returns the failure domains in which the request may be served now.
	allowed func() chiveresidency.Domains
}

// Accepts reports whether the endpoint takes the request at this moment: a change of the configuration or an evacuation
// since it was chosen counts, also where it would fetch parts of the prompt from.
func (p pooledPlace) Accepts(now time.Time) bool {
	allowed := p.allowed()
	return p.Place.Accepts(now) && p.IsWithin(allowed) && p.MayFetchWithin(allowed)
}

// FetchFrom returns the address from which the endpoint may fetch parts of the prompt at this moment; empty for none.
func (p pooledPlace) FetchFrom() string { return p.FetchWithin(p.allowed()) }

// Done releases the place, and its permit if the endpoint can refuse only a few requests.
func (p pooledPlace) Done(now time.Time, ending chiveplace.Ending) time.Duration {
	ejected := p.Place.Done(now, ending)
	if p.rates != nil && p.Limits().Refusals > 0 {
		p.rates.Release(limitsKey(p.Endpoint().Incarnation().Key()), ending == chiveplace.EndedFull, p.Load())
	}
	return ejected
}

// Target returns the endpoint.
func (p pooledPlace) Target() Target {
	e := p.Endpoint()
	return Target{ID: e.ID, Incarnation: e.Incarnation().Key(), Unique: true, Address: e.Address, FailureDomain: e.FailureDomain, Version: p.version}
}

// Preempted returns nil, because engines preempt requests by rank themselves.
func (p pooledPlace) Preempted() <-chan struct{} { return nil }

// Why returns the reason for the selection, the cost, and the next best endpoint.
func (p pooledPlace) Why() []slog.Attr {
	loss, nextBest, nextLoss := p.Loss()
	attributes := []slog.Attr{
		slog.String("because", p.Reason()), slog.Int("candidates", p.Candidates()), slog.Float64("cost", roundForLog(loss)),
		slog.Int64("tokens_to_read", p.Reads()), slog.Int64("tokens_to_fetch", p.Fetches()), slog.Int64("tokens_again", p.Again()), slog.Int64("tokens_ahead", p.Ahead()),
		slog.Int64("expected_ms", p.Expected().Milliseconds()),
	}
	if crossing := p.Crossing(); crossing != chiveplace.CrossingNone {
		attributes = append(attributes, slog.String("other_region", crossing.String()))
	}
	if owner := p.Owner(); owner != "" {
		attributes = append(attributes, slog.String("owner", owner))
	}
	if limits := p.Limits(); !limits.IsZero() {
		attributes = append(attributes, slog.Float64("limit_per_second", limits.PerSecond), slog.Int("limit_refusals", limits.Refusals))
	}
	if nextBest != "" {
		attributes = append(attributes, slog.String("next_best", nextBest), slog.Float64("next_cost", roundForLog(nextLoss)))
	}
	return attributes
}

// roundForLog rounds a value to three decimal places to keep log lines short.
func roundForLog(cost float64) float64 { return math.Round(cost*roundingFactor) / roundingFactor }

const roundingFactor = 1000
