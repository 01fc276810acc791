package chivescale

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"chivedrift/chivedirectory"
	"chivedrift/chiveevent"
	"chivedrift/chivekernel"
	"chivedrift/chivelease"
	"chivedrift/chivetable"
	"chivedrift/chivewire"

	"github.com/vmihailenco/msgpack/v5"
)

// ServiceName is the name under which the service registers.
const ServiceName = "replica orders"

// ErrUnavailable means that the platform rejected an order, because no such replicas are available or it has seen a
// higher fencing token.
var ErrUnavailable = errors.New("platform: replicas unavailable or fencing token outdated")

// ErrNotExecuted means that the platform did not and will not carry out an order, which may be sent again.
var ErrNotExecuted = errors.New("platform: order not executed")

const (
	// planInterval is the interval at which the lease holder plans.
	planInterval = 250 * time.Millisecond
	// stabilizationPeriod is how long the number of replicas must be unchanged before it is recorded as the initial
	// number.
	stabilizationPeriod = 2 * time.Second
	// kindsInterval is the minimum interval between reads of which replicas are preemptible, kindsTimeout limits one
	// read.
	kindsInterval = time.Second
	kindsTimeout  = 2 * time.Second
	// initialKey is the lease key under which the initial numbers of replicas are stored for later holders.
	initialKey = "replicas"
)

// Lease determines whether this node may order replicas, and stores values for later holders.
type Lease interface {
	// Tenure returns the current tenure; ok is false while this node must not act.
	Tenure() (t chivelease.Tenure, ok bool)
	// Value returns the value last written under a key.
	Value(key string) []byte
	// Write stores a value for this node and later holders.
	Write(ctx context.Context, token int64, key string, value []byte) error
}

// Platform accepts orders.
type Platform interface {
	// OrderReplicas makes one attempt to send an order; the error wraps ErrUnavailable if the platform rejects it,
	// and ErrNotExecuted if it asks for a later attempt.
	OrderReplicas(ctx context.Context, token int64, order Order) error
	// Preemptible returns, by id, whether each registered replica is preemptible.
	Preemptible(ctx context.Context) (map[string]bool, error)
}

// Options holds the dependencies of the service.
type Options struct {
	Lease    Lease
	Platform Platform
	// Load returns the number of requests in progress in a pool over all nodes; ok is false if it is unknown.
	Load func(pool string) (requests float64, ok bool)
	// SinceBoot reads a clock that keeps running while the machine is suspended.
	SinceBoot func() time.Duration
	Logger    *slog.Logger
}

// orderKey identifies the replicas that an order applies to.
type orderKey struct {
	pool        string
	domain      string
	preemptible bool
}

// observedCount is a number of replicas and the time since which it has been unchanged.
type observedCount struct {
	count int
	since time.Duration
}

// Service orders replicas while this node holds the lease.
type Service struct {
	opts  Options
	tasks chivekernel.Duties

	mu        sync.Mutex
	table     *chivetable.Table
	endpoints map[string]chivedirectory.Endpoint
	// published is the record that Dump returns.
	published orderRecord

	// The fields below are accessed only by the planning goroutine. All but kinds and kindsAt are reset when a tenure
	// starts. token is the fencing token of the current tenure, or 0.
	token    int64
	planners map[string]*Planner
	// initial holds the recorded numbers of replicas before the first order, by pool; observed holds those that may
	// still change.
	initial    map[string]int
	observed   map[string]observedCount
	lastOrders map[orderKey]lastOrder
	// domains holds the failure domains with a price or replicas, by pool with scaling settings.
	domains map[string][]string
	// stored is the record that later holders see, era that of the store in this tenure, storedAt the time of the last
	// attempt to write, isStoreFailing that it failed.
	stored         orderRecord
	era            int64
	storedAt       time.Duration
	isStoreFailing bool
	// kinds holds, by id, whether a replica is preemptible; kindsAt is when it was last requested.
	kinds   map[string]bool
	kindsAt time.Duration

	// accepted, refused and unanswered are the values of Counts.
	accepted   atomic.Int64
	refused    atomic.Int64
	unanswered atomic.Int64
}

// Counts holds the numbers of orders of this node since its start, by outcome.
type Counts struct {
	Accepted   int64 `json:"accepted"`
	Refused    int64 `json:"refused"`
	Unanswered int64 `json:"unanswered"`
}

// New returns a service that has not sent any orders.
func New(opts Options) *Service {
	return &Service{opts: opts, endpoints: make(map[string]chivedirectory.Endpoint)}
}

// SetTable sets the current configuration.
func (s *Service) SetTable(table *chivetable.Table) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table = table
}

// ApplyEndpoints applies a change of the endpoint directory.
func (s *Service) ApplyEndpoints(diff chivedirectory.Diff) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range diff.Changed {
		s.endpoints[e.ID] = e
	}
	for _, e := range diff.Gone {
		delete(s.endpoints, e.ID)
	}
}

// Start starts planning.
func (s *Service) Start(ctx context.Context) error {
	s.tasks.Begin(ctx, func(ctx context.Context) {
		chivekernel.Every(ctx, planInterval, func(time.Time) { s.planAll(ctx) })
	})
	return nil
}

// Stop stops planning.
func (s *Service) Stop(context.Context) error {
	s.tasks.End()
	return nil
}

// Counts returns the numbers of orders of this node since its start, by outcome.
func (s *Service) Counts() Counts {
	return Counts{Accepted: s.accepted.Load(), Refused: s.refused.Load(), Unanswered: s.unanswered.Load()}
}

// orderDump is the last order for some replicas.
type orderDump struct {
	Pool        string `json:"pool"`
	Domain      string `json:"failure_domain"`
	Preemptible bool   `json:"preemptible"`
	Count       int    `json:"count"`
	Outcome     string `json:"outcome"`
}

// Dump returns the number of known endpoints, the numbers of orders by outcome, and the orders and load peaks of this
// node's last tenure.
func (s *Service) Dump() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	orders := make([]orderDump, 0, len(s.published.Orders))
	for _, o := range s.published.Orders {
		orders = append(orders, orderDump{o.Pool, o.Domain, o.Preemptible, o.Count, o.Outcome.String()})
	}
	peaks := make(map[string]float64)
	for pool, p := range s.published.Peaks {
		peaks[pool] = p.Requests
	}
	return struct {
		Endpoints int                `json:"endpoints"`
		Counts    Counts             `json:"counts"`
		Orders    []orderDump        `json:"orders"`
		Peaks     map[string]float64 `json:"load_peaks"`
	}{len(s.endpoints), s.Counts(), orders, peaks}
}

// publish makes a record available to Dump.
func (s *Service) publish(r orderRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.published = r
}

// planAll plans every pool that has scaling settings, if this node holds the lease.
func (s *Service) planAll(ctx context.Context) {
	tenure, ok := s.opts.Lease.Tenure()
	if !ok {
		s.token = 0
		return
	}
	s.mu.Lock()
	table, endpoints := s.table, maps.Clone(s.endpoints)
	s.mu.Unlock()
	if table == nil || len(endpoints) == 0 {
		return
	}
	if s.token != tenure.Token {
		s.startTenure(ctx, tenure)
	}
	s.readKinds(ctx, endpoints)
	s.domains = make(map[string][]string)
	var due []dueOrder
	for _, pool := range table.Pools() {
		if pool.Scaling != nil {
			due = append(due, s.planPool(ctx, &pool, endpoints)...)
		}
	}
	s.sendAll(ctx, due)
	record := s.currentRecord()
	s.storeOutcomes(ctx, record)
	s.publish(record)
}

// startTenure resets the planning state and reads the initial numbers of replicas and the orders of earlier holders.
func (s *Service) startTenure(ctx context.Context, tenure chivelease.Tenure) {
	s.token, s.planners, s.initial = tenure.Token, make(map[string]*Planner), make(map[string]int)
	s.observed, s.lastOrders = make(map[string]observedCount), make(map[orderKey]lastOrder)
	s.inherit(ctx, tenure)
	data := s.opts.Lease.Value(initialKey)
	if len(data) == 0 {
		return
	}
	initial, err := chivewire.Decode[map[string]int](data)
	if err != nil {
		chiveevent.ReplicasUnreadable.Log(ctx, s.opts.Logger, slog.String("error", err.Error()))
		return
	}
	maps.Copy(s.initial, initial)
}

// readKinds reads which replicas are preemptible if the kind of any endpoint is unknown.
func (s *Service) readKinds(ctx context.Context, endpoints map[string]chivedirectory.Endpoint) {
	now := s.opts.SinceBoot()
	isKnown := func(id string) bool {
		_, ok := s.kinds[id]
		return ok
	}
	unknown := slices.ContainsFunc(slices.Collect(maps.Keys(endpoints)), func(id string) bool { return !isKnown(id) })
	if !unknown || (s.kindsAt != 0 && now-s.kindsAt < kindsInterval) {
		return
	}
	s.kindsAt = now
	callCtx, cancel := context.WithTimeout(ctx, kindsTimeout)
	defer cancel()
	if kinds, err := s.opts.Platform.Preemptible(callCtx); err == nil {
		s.kinds = kinds
	}
}

// planPool plans a pool and returns the orders that are due. It returns none while the load is unknown.
func (s *Service) planPool(ctx context.Context, pool *chivetable.Pool, endpoints map[string]chivedirectory.Endpoint) (due []dueOrder) {
	domains := s.countReplicas(pool, endpoints)
	planner, ok := s.plannerFor(ctx, pool, domains)
	if !ok {
		return nil
	}
	requests, known := s.opts.Load(pool.Name)
	if !known {
		return nil
	}
	running := make(map[orderKey]int)
	for _, d := range domains {
		running[orderKey{pool.Name, d.Name, false}] = d.OnDemand
		running[orderKey{pool.Name, d.Name, true}] = d.Preemptible
	}
	if s.hasUnstoredOrders(running) {
		planner.keepRunning(s.opts.SinceBoot())
	}
	for _, o := range planner.Plan(s.opts.SinceBoot(), requests, domains) {
		o.Pool = pool.Name
		d := dueOrder{Order: o, planner: planner, running: running[orderKey{o.Pool, o.Domain, o.Preemptible}], requests: requests}
		if s.isDue(d) {
			due = append(due, d)
		}
	}
	return due
}

// plannerFor returns the planner of a pool; ok is false until the initial number of its replicas is recorded.
func (s *Service) plannerFor(ctx context.Context, pool *chivetable.Pool, domains []Domain) (p *Planner, ok bool) {
	if p := s.planners[pool.Name]; p != nil {
		return p, true
	}
	_, isRecorded := s.initial[pool.Name]
	if !isRecorded && !s.recordInitial(ctx, pool.Name, domains) {
		return nil, false
	}
	planner := NewPlanner(s.opts.SinceBoot(), *pool.Scaling, s.initial[pool.Name])
	s.planners[pool.Name] = s.newPlanner(pool.Name, planner, !isRecorded)
	return planner, true
}

// recordInitial stores the number of a pool's replicas once it has been unchanged for stabilizationPeriod, and reports
// whether it did.
func (s *Service) recordInitial(ctx context.Context, pool string, domains []Domain) bool {
	now, total := s.opts.SinceBoot(), 0
	for _, d := range domains {
		total += d.Total()
	}
	if c, ok := s.observed[pool]; !ok || c.count != total {
		s.observed[pool] = observedCount{total, now}
	}
	if total == 0 || now-s.observed[pool].since < stabilizationPeriod {
		return false
	}
	initial := maps.Clone(s.initial)
	initial[pool] = total
	data, err := msgpack.Marshal(initial)
	if err != nil || s.opts.Lease.Write(ctx, s.token, initialKey, data) != nil {
		return false
	}
	s.initial = initial
	return true
}

// countReplicas counts the replicas of a pool that accept requests, by failure domain and kind, excluding those of
// unknown kind.
func (s *Service) countReplicas(pool *chivetable.Pool, endpoints map[string]chivedirectory.Endpoint) []Domain {
	byName := make(map[string]*Domain)
	for name := range pool.Scaling.Prices {
		byName[name] = &Domain{Name: name}
	}
	for id, e := range endpoints {
		preemptible, known := s.kinds[id]
		if e.Pool != pool.Name || e.State == chivedirectory.Leaving || !known {
			continue
		}
		d := byName[e.FailureDomain]
		if d == nil {
			d = &Domain{Name: e.FailureDomain}
			byName[e.FailureDomain] = d
		}
		if preemptible {
			d.Preemptible++
		} else {
			d.OnDemand++
		}
	}
	s.domains[pool.Name] = slices.Sorted(maps.Keys(byName))
	var domains []Domain
	for _, name := range s.domains[pool.Name] {
		// A failure domain with a price but no replicas may not be in use by the pool.
		if byName[name].Total() > 0 || s.wasPlanned(pool.Name, name) {
			domains = append(domains, *byName[name])
		}
	}
	return domains
}

// wasPlanned reports whether a failure domain has been planned in the current tenure.
func (s *Service) wasPlanned(pool, domain string) bool {
	last, ok := s.lastOrders[orderKey{pool, domain, false}]
	return ok && !last.isInherited
}
