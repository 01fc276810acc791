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

// ServiceName is the name under which the service registers.
const ServiceName = "order"

const (
	reconcileInterval = time.Second
	fetchInterval     = 5 * time.Second
)

// Service holds the leases of the pools for which rendezvous hashing ranks this node first, and sends the orders that
// the endpoints of these pools lack.
type Service struct {
	self    string
	address string
	network chivewire.Network
	log     chivelog.Log
	logger  *slog.Logger
	config  atomic.Pointer[chiveconfig.Config]
	members atomic.Pointer[[]chivemember.Member]
	// fetchLimiter limits the orders that make endpoints fetch weights, over all pools.
	fetchLimiter *rate.Limiter

	mu     sync.Mutex
	leases *Leases
	// nextOffset is the log offset of the next record to apply to leases.
	nextOffset int64
	// heldUntil holds the end of each lease that this node holds, by group.
	heldUntil  map[string]time.Time
	orderCount int64
	tasks      chivekernel.Duties
}

// NewService returns the service of a node; self identifies the node and its incarnation, address is its peer address.
func NewService(self, address string, network chivewire.Network, log chivelog.Log, logger *slog.Logger) *Service {
	s := &Service{
		self: self, address: address, network: network, log: log, logger: logger, leases: NewLeases(), heldUntil: make(map[string]time.Time),
		fetchLimiter: rate.NewLimiter(rate.Every(fetchInterval), 1),
	}
	s.members.Store(&[]chivemember.Member{})
	return s
}

// SetConfig sets the current configuration.
func (s *Service) SetConfig(config *chiveconfig.Config) { s.config.Store(config) }

// SetMembers sets the members of the fleet.
func (s *Service) SetMembers(members []chivemember.Member) { s.members.Store(&members) }

// Start starts the background loop that renews leases and sends orders.
func (s *Service) Start(ctx context.Context) error {
	s.tasks.Begin(ctx, s.run)
	return nil
}

// Stop ends the background loop and releases the leases.
func (s *Service) Stop(ctx context.Context) error {
	s.tasks.End()
	s.mu.Lock()
	defer s.mu.Unlock()
	for group := range s.heldUntil {
		// A lease that cannot be released expires.
		_ = s.appendRecord(ctx, Record{Group: group, Holder: s.self, Released: true})
	}
	return nil
}

// Dump returns the leases that this node holds and the number of orders that it has sent.
func (s *Service) Dump() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := make(map[string]Lease, len(s.heldUntil))
	for group := range s.heldUntil {
		if lease, ok := s.leases.Of(group); ok {
			held[group] = lease
		}
	}
	return State{Held: held, Sent: s.orderCount}
}

// State is the result of Dump.
type State struct {
	Held map[string]Lease `json:"held"`
	Sent int64            `json:"orders_sent"`
}

func (s *Service) run(ctx context.Context) {
	chivekernel.Every(ctx, reconcileInterval, func(time.Time) {
		s.reconcileAll(ctx)
	})
}

// reconcileAll reconciles every pool whose configuration requires orders and for which rendezvous hashing ranks this
// node first.
func (s *Service) reconcileAll(ctx context.Context) {
	config := s.config.Load()
	if config == nil {
		return
	}
	for i := range config.Pools {
		pool := &config.Pools[i]
		if len(desiredOrders(pool)) == 0 || !s.isFirstRanked(pool.Name) {
			continue
		}
		if lease, ok := s.ensureLease(ctx, pool); ok {
			s.reconcilePool(ctx, pool, lease)
		}
	}
}

func (s *Service) isFirstRanked(group string) bool {
	ranked := chiveroute.Ranked("lease/"+group, "", *s.members.Load())
	return len(ranked) > 0 && ranked[0].Address == s.address
}

// ensureLease requests or renews the lease of a pool if that is due, and reports whether this node may send orders
// under it.
func (s *Service) ensureLease(ctx context.Context, pool *chiveconfig.Pool) (Lease, bool) {
	group, awaitPredecessor := pool.Name, !allCheckFencing(pool)
	s.mu.Lock()
	defer s.mu.Unlock()
	until, isHeld := s.heldUntil[group]
	if !isHeld || time.Until(until) < Term-renewInterval {
		s.requestLease(ctx, group)
	}
	return s.usableLease(group, awaitPredecessor)
}

// requestLease appends a request for a lease and reads from the log whether it took effect. If the request is not
// appended or the log cannot be read, the lease is left as it was.
func (s *Service) requestLease(ctx context.Context, group string) {
	// The term is measured from before the append, because the log's time of the record cannot be earlier.
	requestedAt := time.Now()
	if err := s.appendRecord(ctx, Record{Group: group, Holder: s.self}); errors.Is(err, chivelog.ErrNotAppended) {
		return
	}
	if err := s.readLeases(ctx); err != nil {
		return
	}
	s.updateHeld(ctx, group, requestedAt)
}

// allCheckFencing reports whether every endpoint of a pool refuses orders with a stale fencing token.
func allCheckFencing(pool *chiveconfig.Pool) bool {
	for i := range pool.Endpoints {
		if !pool.Endpoints[i].ChecksFencing {
			return false
		}
	}
	return true
}

// updateHeld records in heldUntil whether this node holds a lease according to the log.
func (s *Service) updateHeld(ctx context.Context, group string, requestedAt time.Time) {
	lease, ok := s.leases.Of(group)
	_, wasHeld := s.heldUntil[group]
	switch {
	case ok && lease.Holder == s.self:
		s.heldUntil[group] = requestedAt.Add(Term)
		if !wasHeld {
			chiveevent.LeaseTaken.Log(ctx, s.logger, slog.String("group", group), slog.Int64("fencing", lease.Fencing))
		}
	case wasHeld:
		delete(s.heldUntil, group)
		chiveevent.LeaseLost.Log(ctx, s.logger, slog.String("group", group), slog.String("holder", lease.Holder))
	}
}

// usableLease returns the lease of a group and reports whether orders may be sent under it: enough of the lease is left
// and, with awaitPredecessor, the last order of the previous holder has had time to finish.
func (s *Service) usableLease(group string, awaitPredecessor bool) (Lease, bool) {
	until, isHeld := s.heldUntil[group]
	lease, ok := s.leases.Of(group)
	if !isHeld || !ok || lease.Holder != s.self || time.Now().After(latestSendTime(until)) {
		return Lease{}, false
	}
	return lease, !awaitPredecessor || time.Since(lease.Began) > OrderTimeout+safetyMargin
}

// latestSendTime returns the latest time to send an order under a lease that is held until the given time.
func latestSendTime(until time.Time) time.Time {
	return until.Add(-OrderTimeout - safetyMargin)
}

func (s *Service) appendRecord(ctx context.Context, r Record) error {
	data, err := r.Encode()
	if err != nil {
		return err
	}
	_, err = s.log.Append(ctx, Stream, data)
	return err
}

func (s *Service) readLeases(ctx context.Context) error {
	for {
		batch, err := s.log.Read(ctx, Stream, s.nextOffset, 0)
		if err != nil {
			return err
		}
		for _, r := range batch.Records {
			s.leases.Apply(r.Offset, time.UnixMilli(r.AtUnixMs), r.Data)
			s.nextOffset = r.Offset + 1
		}
		s.nextOffset = max(s.nextOffset, batch.First)
		if s.nextOffset >= batch.Next {
			return nil
		}
	}
}

// reconcilePool sends each endpoint of a pool the first order that it lacks. Orders that make an endpoint fetch weights
// are rate-limited, so that the weight store keeps up.
func (s *Service) reconcilePool(ctx context.Context, pool *chiveconfig.Pool, lease Lease) {
	for i := range pool.Endpoints {
		e := &pool.Endpoints[i]
		done, err := readCompletedOrders(ctx, s.network, s.address, e.Address)
		if err != nil {
			continue
		}
		order, missing := firstMissing(desiredOrders(pool), done)
		if !missing {
			continue
		}
		if order.fetchesWeights() && !s.fetchLimiter.Allow() {
			return
		}
		s.mu.Lock()
		latest := latestSendTime(s.heldUntil[pool.Name])
		s.mu.Unlock()
		order.Fencing = lease.Fencing
		if err := Send(ctx, s.network, s.address, e.Address, order, latest); err != nil {
			chiveevent.OrderRefused.Log(ctx, s.logger, slog.String("endpoint", e.Name), slog.String("error", err.Error()))
			continue
		}
		s.mu.Lock()
		s.orderCount++
		s.mu.Unlock()
	}
}
