package chivecache

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"chivedrift/chivedirectory"
	"chivedrift/chiveevent"
	"chivedrift/chivekernel"
	"chivedrift/chiveplace"
	"chivedrift/chiverequest"
	"chivedrift/chivetable"
)

// ServiceName is the name under which the service registers.
const ServiceName = "cache reconciliation"

const (
	// queryTimeout bounds one query; an engine responds between two of its steps.
	queryTimeout = time.Second
	// pollInterval is how often the service checks for engines to query.
	pollInterval = 100 * time.Millisecond
	// maxConcurrentQueries is the maximum number of engines queried at the same time.
	maxConcurrentQueries = 4
)

// Caches queries the caches of endpoints.
type Caches interface {
	// Held returns the prompt parts that an endpoint has cached. With an error about some parts it returns the others.
	Held(ctx context.Context, endpoint chivedirectory.Endpoint) ([]chiverequest.Part, error)
}

// Pools gives access to the pools that the cache contents are passed to.
type Pools interface {
	// Pool returns the pool with a name, or nil.
	Pool(name string) *chiveplace.Pool
}

// Owners reports which engines this node owns, in a fleet too large for every node to place requests on all engines by
// itself.
type Owners interface {
	// Settled reports whether the node knows the fleet yet.
	Settled() bool
	// Asking reports whether the fleet is large enough that each engine has an owner.
	Asking() bool
	// Owned returns the ids of the engines of a pool that this node owns.
	Owned(pool string) []string
}

// Options are the dependencies of the service.
type Options struct {
	Caches Caches
	Pools  Pools
	Owners Owners
	Logger *slog.Logger
}

// Service queries each engine once, when this node begins to place requests on it.
type Service struct {
	options Options
	mu      sync.Mutex
	// enginePools lists the pools of engines.
	enginePools []string
	succeeded   atomic.Int64
	failed      atomic.Int64
	goroutines  chivekernel.Duties
}

// New returns a service without pools.
func New(options Options) *Service {
	return &Service{options: options}
}

// SetTable applies a new configuration.
func (s *Service) SetTable(table *chivetable.Table) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.enginePools = nil
	for _, p := range table.Pools() {
		if p.Engine.Slots > 0 {
			s.enginePools = append(s.enginePools, p.Name)
		}
	}
}

// Start begins to query engines.
func (s *Service) Start(ctx context.Context) error {
	s.goroutines.Begin(ctx, s.run)
	return nil
}

// Stop ends the goroutines of the service and waits for them.
func (s *Service) Stop(context.Context) error {
	s.goroutines.End()
	return nil
}

// Dump returns how many queries succeeded and failed.
func (s *Service) Dump() any {
	return struct {
		Learnt int64 `json:"learnt"`
		Failed int64 `json:"failed"`
	}{s.succeeded.Load(), s.failed.Load()}
}

func (s *Service) run(ctx context.Context) {
	chivekernel.Every(ctx, pollInterval, func(time.Time) {
		var wg sync.WaitGroup
		for _, e := range s.nextEngines() {
			wg.Go(func() { s.query(ctx, e) })
		}
		wg.Wait()
	})
}

// nextEngines returns the engines to query now.
//
// It returns none until the node knows the fleet, since until then the node takes itself for the owner of all engines:
// each of 295 nodes that start at the same time would query 320 engines, 40 per second, although other nodes own most
// of them.
func (s *Service) nextEngines() (engines []chivedirectory.Endpoint) {
	if !s.options.Owners.Settled() {
		return nil
	}
	s.mu.Lock()
	pools := s.enginePools
	s.mu.Unlock()
	for _, name := range pools {
		pool := s.options.Pools.Pool(name)
		if pool == nil {
			continue
		}
		var owned []string
		if s.options.Owners.Asking() {
			if owned = s.options.Owners.Owned(name); len(owned) == 0 {
				continue
			}
		}
		engines = append(engines, pool.TakeUnasked(owned, maxConcurrentQueries-len(engines))...)
	}
	return engines
}

// query queries one engine. If that fails, the node learns the cache contents more slowly from the requests that it
// sends to the engine.
func (s *Service) query(ctx context.Context, e chivedirectory.Endpoint) {
	queryCtx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	start := time.Now()
	parts, err := s.options.Caches.Held(queryCtx, e)
	if err != nil {
		s.failed.Add(1)
		chiveevent.CacheUnknown.Log(ctx, s.options.Logger, slog.String("endpoint", e.ID), slog.String("error", err.Error()))
	}
	if err != nil && len(parts) == 0 {
		return
	}
	pool := s.options.Pools.Pool(e.Pool)
	if pool == nil {
		return
	}
	tokens := pool.Reconcile(e.Incarnation().Key(), parts)
	s.succeeded.Add(1)
	chiveevent.CacheLearnt.Log(ctx, s.options.Logger, slog.String("endpoint", e.ID), slog.Int("parts", len(parts)), slog.Int64("tokens", tokens),
		slog.Int64("took_ms", time.Since(start).Milliseconds()))
}
