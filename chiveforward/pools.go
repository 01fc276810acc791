package chiveforward

import (
	"context"
	"errors"
	"log/slog"
	"math"
	"sync"
	"time"

	"chivedrift/chivedirectory"
	"chivedrift/chivegrant"
	"chivedrift/chiveplace"
	"chivedrift/chiverequest"
	"chivedrift/chiveresidency"
	"chivedrift/chivetable"
)

// PoolsName is the name under which the pools register.
const PoolsName = "pools"

// Pools are the pools of the table in force, each with the endpoints of the directory; they hand out places by chiveplace.
type Pools struct {
	domain string
	asker  Asker
	mu     sync.Mutex
	pools  map[string]*chiveplace.Pool
	nodes  int
	// evacuated are the failure domains whose endpoints get nothing.
	evacuated []string
	// regions is the region of each failure domain.
	regions chiveresidency.Map
	table   *chivetable.Table
	// changed has room for one: whoever receives looks at all pools.
	changed chan struct{}
}

// NewPools returns no pools, seen from a failure domain.
func NewPools(domain string) *Pools {
	return &Pools{domain: domain, pools: make(map[string]*chiveplace.Pool), changed: make(chan struct{}, 1)}
}

// Asker places prompts with the help of other nodes.
type Asker interface {
	// Place gets a place, or fails with chivegrant.ErrAlone when the node has to decide alone.
	Place(ctx context.Context, pool *chiveplace.Pool, request *chiverequest.Request, limits chiveplace.Ask) (*chiveplace.Place, error)
	// Home returns the ids of the engines to which other nodes would send a request; empty where they choose among all engines.
	Home(request *chiverequest.Request, limits chiveplace.Ask) []string
}

// SetAsker takes who is asked for places for prompts; it is called before the first request.
func (p *Pools) SetAsker(asker Asker) { p.asker = asker }

// SetRegions takes the region of each failure domain; it is called before the first request.
func (p *Pools) SetRegions(regions chiveresidency.Map) { p.regions = regions }

// SetTable takes a configuration that came into force.
func (p *Pools) SetTable(table *chivetable.Table) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table = table
	for _, t := range table.Pools() {
		p.pool(t.Name).SetEngine(t.Engine)
		p.pool(t.Name).SetWarmUpRate(t.WarmUpRate)
	}
}

// SetEvacuated takes the failure domains whose endpoints get nothing.
func (p *Pools) SetEvacuated(domains []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.evacuated = domains
	for _, pool := range p.pools {
		pool.SetEvacuated(domains)
	}
}

// SetNodes takes how many nodes there are.
func (p *Pools) SetNodes(nodes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.nodes = nodes
	for _, pool := range p.pools {
		pool.SetNodes(nodes)
	}
}

// ApplyEndpoints takes a change of the directory: only the pools that it concerns do something.
func (p *Pools) ApplyEndpoints(diff chivedirectory.Diff) {
	p.mu.Lock()
	defer p.mu.Unlock()
	byPool := make(map[string]chivedirectory.Diff)
	for _, e := range diff.Changed {
		for name, other := range p.pools {
			if name == e.Pool || !other.Has(e.ID) {
				continue
			}
			concerned := byPool[name]
			concerned.Gone = append(concerned.Gone, e)
			byPool[name] = concerned
		}
		concerned := byPool[e.Pool]
		concerned.Changed = append(concerned.Changed, e)
		byPool[e.Pool] = concerned
	}
	for _, e := range diff.Gone {
		concerned := byPool[e.Pool]
		concerned.Gone = append(concerned.Gone, e)
		byPool[e.Pool] = concerned
	}
	for name, concerned := range byPool {
		p.pool(name).ApplyEndpoints(concerned)
	}
}

// pool returns a pool by name, made when it is new; the caller holds the lock.
func (p *Pools) pool(name string) *chiveplace.Pool {
	pool, ok := p.pools[name]
	if !ok {
		pool = chiveplace.NewPool(p.domain)
		pool.OnChange(p.noteChange)
		pool.SetNodes(p.nodes)
		pool.SetEvacuated(p.evacuated)
		p.pools[name] = pool
	}
	return pool
}

// Pool returns the pool of a name, or nil.
func (p *Pools) Pool(name string) *chiveplace.Pool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pools[name]
}

// Changed receives after a change of this node's requests that the other nodes should know of.
func (p *Pools) Changed() <-chan struct{} { return p.changed }

func (p *Pools) noteChange() {
	select {
	case p.changed <- struct{}{}:
	default:
	}
}

// Collect returns what the other nodes should know of this node's requests: what changed since the last call, or everything.
func (p *Pools) Collect(all bool) chiveplace.Report {
	news := chiveplace.Report{All: all}
	for _, each := range p.everyPool() {
		each.Collect(&news, all)
	}
	return news
}

// Hear takes what another node told of its requests.
func (p *Pools) Hear(node string, news chiveplace.Report) {
	for _, each := range p.everyPool() {
		each.Hear(time.Now(), node, &news)
	}
}

// Release drops what other nodes have on endpoints that this node does not keep.
func (p *Pools) Release(kept func(endpoint string) bool) {
	for _, each := range p.everyPool() {
		each.Release(kept)
	}
}

// Forget drops what is known of the requests of nodes that are not alive.
func (p *Pools) Forget(alive map[string]bool) {
	for _, each := range p.everyPool() {
		each.Forget(alive)
	}
}

func (p *Pools) everyPool() []*chiveplace.Pool {
	p.mu.Lock()
	defer p.mu.Unlock()
	pools := make([]*chiveplace.Pool, 0, len(p.pools))
	for _, each := range p.pools {
		pools = append(pools, each)
	}
	return pools
}

// Start does nothing: places are taken on the requests' goroutines.
func (p *Pools) Start(context.Context) error { return nil }

// Stop does nothing.
func (p *Pools) Stop(context.Context) error { return nil }

// Dump returns what is known of each endpoint, by pool.
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
	// queuePoll is how often a waiting request looks for a place.
	queuePoll = 10 * time.Millisecond
	// askPoll is how often it asks other nodes anew.
	askPoll = 50 * time.Millisecond
	// retryWhenReconfigured is when to come back with a request that only another configuration would let run.
	retryWhenReconfigured = 10 * time.Second
)

// choose asks for a place where others know more of the engines than this node, and decides alone where nobody answers.
func (p *Pools) choose(
	ctx context.Context, pool *chiveplace.Pool, request *chiverequest.Request, ask chiveplace.Ask,
) (place *chiveplace.Place, asked bool, err error) {
	if p.asker != nil && request.Prompt != nil {
		place, err = p.asker.Place(ctx, pool, request, ask)
		if !errors.Is(err, chivegrant.ErrAlone) {
			return place, true, err
		}
		ask.Home = p.asker.Home(request, ask)
	}
	place, err = pool.Take(time.Now(), ask)
	return place, false, err
}

// residencyOf returns where a request may be served now: a configuration that takes a region away also holds for requests that wait or
// are repeated.
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

// Take waits a short while for a place.
func (p *Pools) Take(ctx context.Context, request *chiverequest.Request, exclude []string) (Place, error) {
	pool := p.Pool(request.Pool)
	if pool == nil {
		return nil, &chiveplace.RefusedError{Reason: "the pool has no endpoints", RetryAfter: time.Second}
	}
	ask := chiveplace.Ask{Prompt: request.Prompt, Exclude: exclude}
	until := time.Now().Add(chiveplace.Patience(request.Route.Target))
	for {
		residency := p.residencyOf(request)
		if residency.AllowsNone() {
			return nil, &chiveplace.RefusedError{Reason: "the regions of the route and of the team have none in common", RetryAfter: retryWhenReconfigured}
		}
		ask.Domains = p.regions.Domains(residency)
		place, asked, err := p.choose(ctx, pool, request, ask)
		if err == nil {
			return pooled{place}, nil
		}
		if time.Now().After(until) {
			return nil, err
		}
		poll := queuePoll
		if asked {
			poll = askPoll
		}
		select {
		case <-time.After(poll):
		case <-ctx.Done():
			return nil, err
		}
	}
}

// pooled is a place of a pool as the forwarder sees it.
type pooled struct {
	*chiveplace.Place
}

// Target returns the endpoint.
func (p pooled) Target() Target {
	e := p.Endpoint()
	return Target{ID: e.ID, Incarnation: e.Incarnation().Key(), Unique: true, Address: e.Address, FailureDomain: e.FailureDomain}
}

// Preempted never happens: engines preempt by rank themselves.
func (p pooled) Preempted() <-chan struct{} { return nil }

// Why returns the reason, the cost and the next best endpoint.
func (p pooled) Why() []slog.Attr {
	loss, nextBest, nextLoss := p.Loss()
	attributes := []slog.Attr{
		slog.String("because", p.Reason()), slog.Int("candidates", p.Candidates()), slog.Float64("cost", rounded(loss)),
		slog.Int64("tokens_to_read", p.Reads()), slog.Int64("tokens_to_fetch", p.Fetches()), slog.Int64("tokens_again", p.Again()), slog.Int64("tokens_ahead", p.Ahead()),
		slog.Int64("expected_ms", p.Expected().Milliseconds()),
	}
	if owner := p.Owner(); owner != "" {
		attributes = append(attributes, slog.String("owner", owner))
	}
	if nextBest != "" {
		attributes = append(attributes, slog.String("next_best", nextBest), slog.Float64("next_cost", rounded(nextLoss)))
	}
	return attributes
}

// rounded keeps log lines short.
func rounded(cost float64) float64 { return math.Round(cost*roundTo) / roundTo }

const roundTo = 1000
