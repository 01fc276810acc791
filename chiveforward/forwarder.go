package chiveforward

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"chivedrift/chivedirectory"
	"chivedrift/chivekernel"
	"chivedrift/chiveplace"
	"chivedrift/chiverequest"
	"chivedrift/chivetable"
	"chivedrift/chivewire"
)

// ServiceName is the name under which the forwarder registers.
const ServiceName = "forward"

// Options are the parts a forwarder is made of.
type Options struct {
	Self          string
	FailureDomain string
	Network       chivewire.Network
	Dialect       chiverequest.EndpointDialect
	Budget        *Budget
	Logger        *slog.Logger
}

// Forwarder carries requests to endpoints and their answers back.
type Forwarder struct {
	o      Options
	lanes  *lanes
	mu     sync.Mutex
	pools  map[string]*chiveplace.Pool
	known  []chivedirectory.Endpoint
	duties chivekernel.Duties
}

// New returns a forwarder that knows no endpoint yet.
func New(o Options) *Forwarder {
	return &Forwarder{o: o, lanes: newLanes(o.Network, o.Self), pools: make(map[string]*chiveplace.Pool)}
}

// SetTable takes a configuration that came into force.
func (f *Forwarder) SetTable(table *chivetable.Table) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range table.Pools() {
		f.pool(p.Name).SetEngine(p.Engine)
	}
	f.spread()
}

// SetEndpoints takes a change of the directory.
func (f *Forwarder) SetEndpoints(endpoints []chivedirectory.Endpoint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.known = endpoints
	f.spread()
}

// spread hands each pool its endpoints; the caller holds the lock.
func (f *Forwarder) spread() {
	byPool := make(map[string][]chivedirectory.Endpoint)
	for _, e := range f.known {
		byPool[e.Pool] = append(byPool[e.Pool], e)
	}
	for name := range byPool {
		f.pool(name)
	}
	for name, pool := range f.pools {
		pool.SetEndpoints(byPool[name])
	}
}

// pool returns a pool by name, made when it is new; the caller holds the lock.
func (f *Forwarder) pool(name string) *chiveplace.Pool {
	p, ok := f.pools[name]
	if !ok {
		p = chiveplace.NewPool(f.o.FailureDomain)
		f.pools[name] = p
	}
	return p
}

// Pool returns the pool of a name, or nil.
func (f *Forwarder) Pool(name string) *chiveplace.Pool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.pools[name]
}

// Collect returns what the other nodes should know of this node's requests: what changed since the last call, or everything.
func (f *Forwarder) Collect(all bool) chiveplace.News {
	news := chiveplace.News{All: all}
	for _, p := range f.everyPool() {
		p.Collect(&news, all)
	}
	return news
}

// Hear takes what another node told of its requests.
func (f *Forwarder) Hear(node string, news chiveplace.News) {
	for _, p := range f.everyPool() {
		p.Hear(time.Now(), node, &news)
	}
}

// Forget drops what is known of the requests of nodes that are not alive.
func (f *Forwarder) Forget(alive map[string]bool) {
	for _, p := range f.everyPool() {
		p.Forget(alive)
	}
}

func (f *Forwarder) everyPool() []*chiveplace.Pool {
	f.mu.Lock()
	defer f.mu.Unlock()
	pools := make([]*chiveplace.Pool, 0, len(f.pools))
	for _, p := range f.pools {
		pools = append(pools, p)
	}
	return pools
}

// Start begins to close idle connections.
func (f *Forwarder) Start(ctx context.Context) error {
	f.duties.Begin(ctx, f.sweep)
	return nil
}

// Stop closes every idle connection.
func (f *Forwarder) Stop(context.Context) error {
	f.duties.End()
	f.lanes.closeAll()
	return nil
}

// Dump returns the pools and how many connections were opened and used again.
func (f *Forwarder) Dump() any {
	opened, reused := f.lanes.counts()
	f.mu.Lock()
	defer f.mu.Unlock()
	pools := make(map[string][]chiveplace.SeatState, len(f.pools))
	for name, p := range f.pools {
		pools[name] = p.States(time.Now())
	}
	return struct {
		Pools  map[string][]chiveplace.SeatState `json:"pools"`
		Opened int64                             `json:"connections_opened"`
		Reused int64                             `json:"connections_reused"`
	}{pools, opened, reused}
}

func (f *Forwarder) sweep(ctx context.Context) {
	tick := time.NewTicker(sweepEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			f.lanes.sweep(time.Now())
		}
	}
}

// errDeadline is the cause of a context whose request has run out of time.
var errDeadline = errors.New("the request's time ran out")

const (
	// queueShare is the part of a route's target that a request may wait for a place before it is refused: a refusal must
	// come while the caller can still get its answer elsewhere in time.
	queueShare = 8
	// queuePoll is how often a waiting request looks for a place.
	queuePoll = 10 * time.Millisecond
	// refusalsMost is how many refusals one request takes from endpoints before the caller is told to come back.
	refusalsMost = 3
)

// Run carries a request through to its outcome.
func (f *Forwarder) Run(parent context.Context, request *chiverequest.Request, sink Sink) Result {
	ctx, cancel := context.WithDeadlineCause(parent, request.Deadline, errDeadline)
	defer cancel()
	f.o.Budget.Request(time.Now(), request.Pool)
	r := &run{f: f, request: request, sink: sink, last: request.LastEvent}
	for !r.attempt(ctx) {
	}
	return r.result
}
