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
	// askWithin bounds one question; an engine answers between two steps.
	askWithin = time.Second
	// lookEvery is how often the service looks which engines to ask.
	lookEvery = 100 * time.Millisecond
	// askedMost is how many engines are asked at a time.
	askedMost = 4
)

// Caches asks an endpoint for its cache.
type Caches interface {
	// Held returns the prompt parts that an endpoint holds.
	Held(ctx context.Context, endpoint chivedirectory.Endpoint) ([]chiverequest.Part, error)
}

// Pools are the pools that learn of caches.
type Pools interface {
	// Pool returns the pool of a name, or nil.
	Pool(name string) *chiveplace.Pool
}

// Owners tell which engines this node decides for in a fleet too large for each to decide for all.
type Owners interface {
	// Settled reports whether the node knows the fleet by now.
	Settled() bool
	// Asking reports whether the fleet is that large.
	Asking() bool
	// Owned returns the ids of the engines of a pool that this node owns.
	Owned(pool string) []string
}

// Options are the parts the service is made of.
type Options struct {
	Caches Caches
	Pools  Pools
	Owners Owners
	Logger *slog.Logger
}

// Service asks each engine once for which this node decides.
type Service struct {
	o  Options
	mu sync.Mutex
	// engines are the pools that have engines.
	engines []string
	learnt  atomic.Int64
	failed  atomic.Int64
	duties  chivekernel.Duties
}

// New returns a service that knows no engines yet.
func New(o Options) *Service {
	return &Service{o: o}
}

// SetTable takes which pools have engines.
func (s *Service) SetTable(table *chivetable.Table) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.engines = nil
	for _, p := range table.Pools() {
		if p.Engine.Slots > 0 {
			s.engines = append(s.engines, p.Name)
		}
	}
}

// Start begins to ask.
func (s *Service) Start(ctx context.Context) error {
	s.duties.Begin(ctx, s.run)
	return nil
}

// Stop ends that.
func (s *Service) Stop(context.Context) error {
	s.duties.End()
	return nil
}

// Dump returns how many engines were asked.
func (s *Service) Dump() any {
	return struct {
		Learnt int64 `json:"learnt"`
		Failed int64 `json:"failed"`
	}{s.learnt.Load(), s.failed.Load()}
}

func (s *Service) run(ctx context.Context) {
	chivekernel.Every(ctx, lookEvery, func(time.Time) {
		var wait sync.WaitGroup
		for _, e := range s.next() {
			wait.Go(func() { s.ask(ctx, e) })
		}
		wait.Wait()
	})
}

// next returns the engines to ask now.
//
// Before it knows the fleet a node takes itself for the one that decides for all engines: of 295 nodes that start at once each
// would ask 320 engines, forty in a second, for what another one decides by.
func (s *Service) next() (next []chivedirectory.Endpoint) {
	if !s.o.Owners.Settled() {
		return nil
	}
	s.mu.Lock()
	engines := s.engines
	s.mu.Unlock()
	for _, name := range engines {
		pool := s.o.Pools.Pool(name)
		if pool == nil {
			continue
		}
		var owned []string
		if s.o.Owners.Asking() {
			if owned = s.o.Owners.Owned(name); len(owned) == 0 {
				continue
			}
		}
		next = append(next, pool.TakeUnasked(owned, askedMost-len(next))...)
	}
	return next
}

// ask asks one engine. When it does not answer the node goes on without: what it sends there teaches it the same, more slowly.
func (s *Service) ask(ctx context.Context, e chivedirectory.Endpoint) {
	limited, cancel := context.WithTimeout(ctx, askWithin)
	defer cancel()
	began := time.Now()
	parts, err := s.o.Caches.Held(limited, e)
	if err != nil {
		s.failed.Add(1)
		chiveevent.CacheUnknown.Log(ctx, s.o.Logger, slog.String("endpoint", e.ID), slog.String("error", err.Error()))
		return
	}
	pool := s.o.Pools.Pool(e.Pool)
	if pool == nil {
		return
	}
	tokens := pool.Reconcile(e.Incarnation().Key(), parts)
	s.learnt.Add(1)
	chiveevent.CacheLearnt.Log(ctx, s.o.Logger, slog.String("endpoint", e.ID), slog.Int("parts", len(parts)), slog.Int64("tokens", tokens),
		slog.Int64("took_ms", time.Since(began).Milliseconds()))
}
