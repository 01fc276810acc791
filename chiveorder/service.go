package chiveorder

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"chivedrift/chivekernel"

	"chivedrift/chiveconfig"
	"chivedrift/chiveevent"
	"chivedrift/chivelog"
	"chivedrift/chivemember"
	"chivedrift/chiveroute"
	"chivedrift/chivewire"

	"golang.org/x/time/rate"
)

// ServiceName is the name under which the orders register.
const ServiceName = "order"

const (
	roundEvery = time.Second
	loadEvery  = 5 * time.Second
)

// Service holds the leases of the pools that rendezvous hashing gives this node, and orders what the configuration asks for.
type Service struct {
	self    string
	address string
	network chivewire.Network
	log     chivelog.Log
	logger  *slog.Logger
	config  atomic.Pointer[chiveconfig.Config]
	members atomic.Pointer[[]chivemember.Member]
	loads   *rate.Limiter

	mu     sync.Mutex
	leases *Leases
	offset int64
	owned  map[string]time.Time
	sent   int64
	duties chivekernel.Duties
}

// NewService returns the orders of a node; self names the node and its incarnation, address is its peer address.
func NewService(self, address string, network chivewire.Network, log chivelog.Log, logger *slog.Logger) *Service {
	s := &Service{
		self: self, address: address, network: network, log: log, logger: logger, leases: NewLeases(), owned: make(map[string]time.Time),
		loads: rate.NewLimiter(rate.Every(loadEvery), 1),
	}
	s.members.Store(&[]chivemember.Member{})
	return s
}

// SetConfig takes a configuration that came into force.
func (s *Service) SetConfig(config *chiveconfig.Config) { s.config.Store(config) }

// SetMembers takes a change of the fleet.
func (s *Service) SetMembers(members []chivemember.Member) { s.members.Store(&members) }

// Start begins to look after the leases.
func (s *Service) Start(ctx context.Context) error {
	s.duties.Begin(ctx, s.run)
	return nil
}

// Stop gives the leases back.
func (s *Service) Stop(ctx context.Context) error {
	s.duties.End()
	s.mu.Lock()
	defer s.mu.Unlock()
	for group := range s.owned {
		// A lease that cannot be given back runs out by itself.
		_ = s.append(ctx, Record{Group: group, Holder: s.self, Released: true})
	}
	return nil
}

// Dump returns the leases this node holds and how many orders it sent.
func (s *Service) Dump() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := make(map[string]Lease, len(s.owned))
	for group := range s.owned {
		if lease, ok := s.leases.Of(group); ok {
			held[group] = lease
		}
	}
	return State{Held: held, Sent: s.sent}
}

// State is the dump of the orders.
type State struct {
	Held map[string]Lease `json:"held"`
	Sent int64            `json:"orders_sent"`
}

func (s *Service) run(ctx context.Context) {
	chivekernel.Every(ctx, roundEvery, func(time.Time) {
		s.round(ctx)
	})
}

// round looks after every pool that asks for a version and has this node first in rendezvous order.
func (s *Service) round(ctx context.Context) {
	config := s.config.Load()
	if config == nil {
		return
	}
	for i := range config.Pools {
		pool := &config.Pools[i]
		if len(wanted(pool)) == 0 || !s.first(pool.Name) {
			continue
		}
		if lease, ok := s.hold(ctx, pool); ok {
			s.reconcile(ctx, pool, lease)
		}
	}
}

func (s *Service) first(group string) bool {
	ranked := chiveroute.Ranked("lease/"+group, "", *s.members.Load())
	return len(ranked) > 0 && ranked[0].Address == s.address
}

// hold acquires or renews a lease and reports whether this node may order under it.
func (s *Service) hold(ctx context.Context, pool *chiveconfig.Pool) (Lease, bool) {
	group, waits := pool.Name, !allCheckFencing(pool)
	s.mu.Lock()
	defer s.mu.Unlock()
	until, owns := s.owned[group]
	if !owns || time.Until(until) < Term-renewAfter {
		s.renew(ctx, group)
	}
	return s.usable(group, waits)
}

// renew asks for the lease and reads what the log says of it; what cannot be asked or read leaves the lease as it is.
func (s *Service) renew(ctx context.Context, group string) {
	// The term counts from before the append left: the log's time of the record cannot be earlier.
	asked := time.Now()
	if err := s.append(ctx, Record{Group: group, Holder: s.self}); errors.Is(err, chivelog.ErrNotAppended) {
		return
	}
	if err := s.read(ctx); err != nil {
		return
	}
	s.note(ctx, group, asked)
}

// allCheckFencing reports whether every endpoint of a pool refuses old fencing numbers by itself.
func allCheckFencing(pool *chiveconfig.Pool) bool {
	for i := range pool.Endpoints {
		if !pool.Endpoints[i].ChecksFencing {
			return false
		}
	}
	return true
}

// note books the lease when the log says that it is this node's, and forgets it when it is another's.
func (s *Service) note(ctx context.Context, group string, asked time.Time) {
	lease, ok := s.leases.Of(group)
	_, owned := s.owned[group]
	switch {
	case ok && lease.Holder == s.self:
		s.owned[group] = asked.Add(Term)
		if !owned {
			chiveevent.LeaseTaken.Log(ctx, s.logger, slog.String("group", group), slog.Int64("fencing", lease.Fencing))
		}
	case owned:
		delete(s.owned, group)
		chiveevent.LeaseLost.Log(ctx, s.logger, slog.String("group", group), slog.String("holder", lease.Holder))
	}
}

// usable reports whether the lease has time left and, where endpoints ignore fencing numbers, whether a predecessor's last
// order has had its time to end.
func (s *Service) usable(group string, waits bool) (Lease, bool) {
	until, owns := s.owned[group]
	lease, ok := s.leases.Of(group)
	if !owns || !ok || lease.Holder != s.self || time.Now().After(lastStart(until)) {
		return Lease{}, false
	}
	return lease, !waits || time.Since(lease.Began) > OrderTimeout+margin
}

// lastStart is the latest moment to start an order under a lease.
func lastStart(until time.Time) time.Time {
	return until.Add(-OrderTimeout - margin)
}

func (s *Service) append(ctx context.Context, r Record) error {
	data, err := r.Encode()
	if err != nil {
		return err
	}
	_, err = s.log.Append(ctx, Stream, data)
	return err
}

func (s *Service) read(ctx context.Context) error {
	for {
		b, err := s.log.Read(ctx, Stream, s.offset, 0)
		if err != nil {
			return err
		}
		for _, r := range b.Records {
			s.leases.Apply(r.Offset, time.UnixMilli(r.AtUnixMs), r.Data)
			s.offset = r.Offset + 1
		}
		s.offset = max(s.offset, b.First)
		if s.offset >= b.Next {
			return nil
		}
	}
}

// reconcile gives each endpoint the first order it lacks, those that fetch weights spaced so that the weight store keeps up.
func (s *Service) reconcile(ctx context.Context, pool *chiveconfig.Pool, lease Lease) {
	for i := range pool.Endpoints {
		e := &pool.Endpoints[i]
		done, err := readState(ctx, s.network, s.address, e.Address)
		if err != nil {
			continue
		}
		order, missing := firstMissing(wanted(pool), done)
		if !missing {
			continue
		}
		if order.fetches() && !s.loads.Allow() {
			return
		}
		s.mu.Lock()
		latest := lastStart(s.owned[pool.Name])
		s.mu.Unlock()
		order.Fencing = lease.Fencing
		if err := Send(ctx, s.network, s.address, e.Address, order, latest); err != nil {
			chiveevent.OrderRefused.Log(ctx, s.logger, slog.String("endpoint", e.Name), slog.String("error", err.Error()))
			continue
		}
		s.mu.Lock()
		s.sent++
		s.mu.Unlock()
	}
}
