package chivescale

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"chivedrift/chivedirectory"
	"chivedrift/chiveevent"
	"chivedrift/chivekernel"
	"chivedrift/chivelease"
	"chivedrift/chivetable"

	"github.com/vmihailenco/msgpack/v5"
)

// ServiceName is the name under which the service registers.
const ServiceName = "replica orders"

// ErrUnavailable means that the platform rejected an order, as no such replicas are available or it has seen a higher fencing token.
var ErrUnavailable = errors.New("platform: replicas unavailable or fencing token outdated")

const (
	// planInterval is the interval between plans of the lease holder.
	planInterval = 250 * time.Millisecond
	// orderTimeout limits one call to the platform; none is made with less than minRemaining of the tenure left.
	orderTimeout = time.Second
	minRemaining = 100 * time.Millisecond
	// resendInterval is how long after an order it is resent if replicas are missing, because of a crash or a lost order, or if it was refused.
	resendInterval = 3 * time.Second
	// retryInterval is how long after a failed call the next one for the same replicas is made.
	retryInterval = time.Second
	// stabilizationPeriod is how long the number of replicas must be unchanged before it is recorded as the initial number.
	stabilizationPeriod = 2 * time.Second
	// kindsInterval is the minimum interval between reads of the replicas' kinds, kindsTimeout limits one read.
	kindsInterval = time.Second
	kindsTimeout  = 2 * time.Second
	// initialKey is the key under which the initial numbers of replicas are stored for later lease holders.
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
	// OrderReplicas sends an order once; the error wraps ErrUnavailable if the platform rejects it.
	OrderReplicas(ctx context.Context, token int64, order Order) error
	// Preemptible returns for each registered replica, by id, whether it is preemptible.
	Preemptible(ctx context.Context) (map[string]bool, error)
}

// Options holds the dependencies of the service.
type Options struct {
	Lease    Lease
	Platform Platform
	// Load returns the number of requests in progress in a pool on all nodes; ok is false if it is unknown.
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

// sentOrder is the last order for an orderKey.
type sentOrder struct {
	count   int
	at      time.Duration
	refused bool
}

// observedCount is a number of replicas and the time since which it is unchanged.
type observedCount struct {
	count int
	since time.Duration
}

// Service orders replicas while this node holds the lease.
type Service struct {
	o      Options
	duties chivekernel.Duties

	mu        sync.Mutex
	table     *chivetable.Table
	endpoints map[string]chivedirectory.Endpoint

	// The fields below belong to the planning goroutine.
	token    int64
	planners map[string]*Planner
	// initial holds the recorded numbers of replicas before the first order, by pool; observed those that may still change.
	initial  map[string]int
	observed map[string]observedCount
	sent     map[orderKey]sentOrder
	// kinds holds by id whether a replica is preemptible; kindsAt is when it was last requested.
	kinds   map[string]bool
	kindsAt time.Duration
}

// New returns a service that has ordered nothing.
func New(o Options) *Service {
	return &Service{o: o, endpoints: make(map[string]chivedirectory.Endpoint)}
}

// SetTable sets the current configuration.
func (s *Service) SetTable(table *chivetable.Table) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table = table
}

// ApplyEndpoints applies a change to the directory.
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
	s.duties.Begin(ctx, func(ctx context.Context) {
		chivekernel.Every(ctx, planInterval, func(time.Time) { s.round(ctx) })
	})
	return nil
}

// Stop stops planning.
func (s *Service) Stop(context.Context) error {
	s.duties.End()
	return nil
}

// Dump returns the number of known endpoints.
func (s *Service) Dump() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	return struct {
		Endpoints int `json:"endpoints"`
	}{len(s.endpoints)}
}

// round plans every pool that has scaling settings.
func (s *Service) round(ctx context.Context) {
	tenure, ok := s.o.Lease.Tenure()
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
		s.startTenure(ctx, tenure.Token)
	}
	s.readKinds(ctx, endpoints)
	for _, pool := range table.Pools() {
		if pool.Scaling != nil {
			s.plan(ctx, &pool, endpoints)
		}
	}
}

// startTenure resets the planning state and reads the initial numbers recorded by earlier holders.
func (s *Service) startTenure(ctx context.Context, token int64) {
	s.token, s.planners, s.initial = token, make(map[string]*Planner), make(map[string]int)
	s.observed, s.sent = make(map[string]observedCount), make(map[orderKey]sentOrder)
	data := s.o.Lease.Value(initialKey)
	if len(data) == 0 {
		return
	}
	if err := msgpack.Unmarshal(data, &s.initial); err != nil {
		chiveevent.ReplicasUnreadable.Log(ctx, s.o.Logger, slog.String("error", err.Error()))
		s.initial = make(map[string]int)
	}
}

// readKinds reads which replicas are preemptible if the kind of any endpoint is unknown.
func (s *Service) readKinds(ctx context.Context, endpoints map[string]chivedirectory.Endpoint) {
	now := s.o.SinceBoot()
	isKnown := func(id string) bool {
		_, ok := s.kinds[id]
		return ok
	}
	unknown := slices.ContainsFunc(slices.Collect(maps.Keys(endpoints)), func(id string) bool { return !isKnown(id) })
	if !unknown || (s.kindsAt != 0 && now-s.kindsAt < kindsInterval) {
		return
	}
	s.kindsAt = now
	limited, cancel := context.WithTimeout(ctx, kindsTimeout)
	defer cancel()
	if kinds, err := s.o.Platform.Preemptible(limited); err == nil {
		s.kinds = kinds
	}
}

// plan plans a pool and sends the orders that are due.
func (s *Service) plan(ctx context.Context, pool *chivetable.Pool, endpoints map[string]chivedirectory.Endpoint) {
	domains := s.domains(pool, endpoints)
	planner, ok := s.planner(ctx, pool, domains)
	if !ok {
		return
	}
	requests, known := s.o.Load(pool.Name)
	if !known {
		return
	}
	running := make(map[orderKey]int)
	for _, d := range domains {
		running[orderKey{pool.Name, d.Name, false}] = d.OnDemand
		running[orderKey{pool.Name, d.Name, true}] = d.Preemptible
	}
	for _, o := range planner.Plan(s.o.SinceBoot(), requests, domains) {
		o.Pool = pool.Name
		s.order(ctx, planner, o, running[orderKey{o.Pool, o.Domain, o.Preemptible}], requests)
	}
}

// planner returns the planner of a pool; ok is false until the initial number of its replicas is recorded.
func (s *Service) planner(ctx context.Context, pool *chivetable.Pool, domains []Domain) (p *Planner, ok bool) {
	if p := s.planners[pool.Name]; p != nil {
		return p, true
	}
	if _, ok := s.initial[pool.Name]; !ok && !s.recordInitial(ctx, pool.Name, domains) {
		return nil, false
	}
	s.planners[pool.Name] = NewPlanner(s.o.SinceBoot(), *pool.Scaling, s.initial[pool.Name])
	return s.planners[pool.Name], true
}

// recordInitial stores the number of a pool's replicas once it has been unchanged for stabilizationPeriod, and reports whether it did.
func (s *Service) recordInitial(ctx context.Context, pool string, domains []Domain) bool {
	now, total := s.o.SinceBoot(), 0
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
	if err != nil || s.o.Lease.Write(ctx, s.token, initialKey, data) != nil {
		return false
	}
	s.initial = initial
	return true
}

// domains counts the replicas of a pool that accept requests, excluding those of unknown kind.
func (s *Service) domains(pool *chivetable.Pool, endpoints map[string]chivedirectory.Endpoint) []Domain {
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
	var domains []Domain
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		// A failure domain with a price but no replicas may not be in use by the pool.
		if byName[name].Total() > 0 || s.hasOrdered(pool.Name, name) {
			domains = append(domains, *byName[name])
		}
	}
	return domains
}

func (s *Service) hasOrdered(pool, domain string) bool {
	_, onDemand := s.sent[orderKey{pool, domain, false}]
	return onDemand
}

// order sends an order that differs from the last one, or that is unchanged but lacks replicas after resendInterval.
func (s *Service) order(ctx context.Context, planner *Planner, o Order, running int, requests float64) {
	now, key := s.o.SinceBoot(), orderKey{o.Pool, o.Domain, o.Preemptible}
	last, ok := s.sent[key]
	if !ok {
		last = sentOrder{count: running, at: now}
		s.sent[key] = last
	}
	isRecent := now-last.at < resendInterval
	if last.refused && isRecent || last.count == o.Count && (isRecent || running >= o.Count) {
		return
	}
	tenure, ok := s.o.Lease.Tenure()
	if !ok || tenure.Token != s.token || tenure.Remaining < minRemaining {
		return
	}
	limited, cancel := context.WithTimeout(ctx, min(orderTimeout, tenure.Remaining))
	defer cancel()
	err := s.o.Platform.OrderReplicas(limited, s.token, o)
	switch {
	case err == nil:
		s.sent[key] = sentOrder{count: o.Count, at: now}
	case errors.Is(err, ErrUnavailable):
		if o.Preemptible {
			planner.MarkUnavailable(now, o.Domain)
		}
		s.sent[key] = sentOrder{count: o.Count, at: now, refused: true}
	default:
		// The platform may be away: the next try comes a retryInterval later.
		s.sent[key] = sentOrder{count: last.count, at: now - resendInterval + retryInterval, refused: true}
	}
	s.logOrder(ctx, o, running, requests, err)
}

func (s *Service) logOrder(ctx context.Context, o Order, running int, requests float64, err error) {
	attributes := []slog.Attr{
		slog.String("pool", o.Pool), slog.String("failure_domain", o.Domain), slog.Bool("preemptible", o.Preemptible), slog.Int("count", o.Count),
		slog.Int("running", running), slog.Float64("requests", requests), slog.Int64("token", s.token),
	}
	if err != nil {
		chiveevent.ReplicasRefused.Log(ctx, s.o.Logger, append(attributes, slog.String("error", err.Error()))...)
		return
	}
	chiveevent.ReplicasOrdered.Log(ctx, s.o.Logger, attributes...)
}
