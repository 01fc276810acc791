package chivescale

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"chivedrift/chiveevent"
	"chivedrift/chivelease"
)

const (
	// orderTimeout limits one call to the platform; no call is made with less than minRemaining of the tenure left.
	orderTimeout = time.Second
	minRemaining = 100 * time.Millisecond
	// resendInterval is how long after an order it is sent again if it was refused, or if replicas are missing because
	// of a crash or a lost order.
	resendInterval = 3 * time.Second
	// retryInterval is how long after an unanswered or failed call the next one for the same replicas is made.
	retryInterval = time.Second
	// lateOrderPeriod is the maximum time after which the platform may carry out an unanswered order, in place of newer
	// ones.
	lateOrderPeriod = 15 * time.Second
	// outcomeInterval is the minimum interval between records that hold no new order.
	outcomeInterval = time.Second
	// storeRetryInterval is the minimum interval between the end of a failed write and the next one.
	storeRetryInterval = 750 * time.Millisecond
	// maxOrdersPerPass limits the number of orders that are sent at once.
	maxOrdersPerPass = 16
)

// lastOrder is the last order for an orderKey or, before the first one, the number of replicas when planning began.
type lastOrder struct {
	count int
	// isSent means that there was an order, isInherited that the previous holder sent it and it has not been compared with
	// the running replicas.
	isSent      bool
	isInherited bool
	outcome     outcome
	// sentAt is the time of the last call in this tenure, or 0.
	sentAt time.Duration
	// resendAt is the earliest time at which an order of the same number is sent. Unless the order was accepted, no other
	// number is sent before either.
	resendAt time.Duration
	// unansweredAt is the time of the last unanswered call, which may be carried out within lateOrderPeriod; 0 if there is
	// none.
	unansweredAt time.Duration
}

// isDue reports whether an order for a number of replicas is to be sent.
func (l lastOrder) isDue(now time.Duration, count, running int) bool {
	isEarly := now < l.resendAt
	switch {
	case isEarly && l.outcome != outcomeAccepted:
		return false
	case l.count != count:
		return true
	case isEarly:
		return false
	case l.outcome == outcomeOpen || running < count:
		return true
	}
	return l.unansweredAt != 0 && (running > count || now-l.unansweredAt >= lateOrderPeriod)
}

// stored returns the order as later holders are to see it.
func (l lastOrder) stored(key orderKey) storedOrder {
	o := storedOrder{Pool: key.pool, Domain: key.domain, Preemptible: key.preemptible, Count: l.count, Outcome: l.outcome}
	if l.unansweredAt != 0 {
		o.Outcome = outcomeOpen
	}
	return o
}

// dueOrder is an order that is to be sent.
type dueOrder struct {
	Order
	planner *Planner
	// running is the number of running replicas of this kind, requests the load.
	running  int
	requests float64
}

func (o dueOrder) key() orderKey { return orderKey{o.Pool, o.Domain, o.Preemptible} }

// isDue reports whether an order is to be sent now.
func (s *Service) isDue(o dueOrder) bool {
	return s.lastOrderFor(o).isDue(s.opts.SinceBoot(), o.Count, o.running)
}

// lastOrderFor returns the last order for the same replicas. Before the first one, the running replicas count as ordered.
func (s *Service) lastOrderFor(o dueOrder) lastOrder {
	last, ok := s.lastOrders[o.key()]
	if !ok {
		last = lastOrder{count: o.running, outcome: outcomeAccepted, resendAt: s.opts.SinceBoot() + resendInterval}
	}
	if last.isInherited && o.running > last.count {
		// A holder of an earlier release, which does not store its orders, may have ordered more since.
		last.outcome, last.resendAt = outcomeOpen, 0
	}
	last.isInherited = false
	s.lastOrders[o.key()] = last
	return last
}

// limited returns maxOrdersPerPass of the orders, those first whose last call is longest ago.
func (s *Service) limited(orders []dueOrder) []dueOrder {
	slices.SortStableFunc(orders, func(a, b dueOrder) int {
		return cmp.Compare(s.lastOrders[a.key()].sentAt, s.lastOrders[b.key()].sentAt)
	})
	return orders[:min(len(orders), maxOrdersPerPass)]
}

// sendAll sends orders, the rest in the next passes. Numbers that later holders do not know are stored before.
func (s *Service) sendAll(ctx context.Context, orders []dueOrder) {
	orders = s.limited(orders)
	var unknown, known []dueOrder
	for _, o := range orders {
		if count, ok := s.stored.countOf(o.key()); ok && count == o.Count {
			known = append(known, o)
		} else {
			unknown = append(unknown, o)
		}
	}
	if len(unknown) > 0 && s.store(ctx, s.currentRecord().withOpen(unknown)) {
		known = append(known, unknown...)
	}
	s.send(ctx, known)
}

// send makes one attempt to send each order, all at once, so that an unanswered one does not delay the others.
func (s *Service) send(ctx context.Context, orders []dueOrder) {
	now, results := s.opts.SinceBoot(), make([]error, len(orders))
	tenure, ok := s.opts.Lease.Tenure()
	if !ok || tenure.Token != s.token || tenure.Remaining < minRemaining {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, min(orderTimeout, tenure.Remaining))
	defer cancel()
	var calls sync.WaitGroup
	for i, o := range orders {
		calls.Go(func() { results[i] = s.opts.Platform.OrderReplicas(callCtx, s.token, o.Order) })
	}
	calls.Wait()
	for i, o := range orders {
		s.recordResult(now, o, results[i])
		s.logOrder(ctx, o, results[i])
	}
}

// recordResult records the result of a call that was made at now.
func (s *Service) recordResult(now time.Duration, o dueOrder, err error) {
	last := s.lastOrders[o.key()]
	next := lastOrder{count: o.Count, isSent: true, sentAt: now, unansweredAt: last.unansweredAt, resendAt: now + resendInterval}
	if now-last.unansweredAt >= lateOrderPeriod {
		next.unansweredAt = 0
	}
	switch {
	case err == nil:
		next.outcome = outcomeAccepted
		s.accepted.Add(1)
	case errors.Is(err, ErrUnavailable):
		next.outcome = outcomeRefused
		s.refused.Add(1)
		if o.Preemptible {
			o.planner.MarkUnavailable(now, o.Domain)
		}
	case errors.Is(err, ErrNotExecuted):
		next.outcome, next.resendAt = outcomeOpen, now+retryInterval
		s.refused.Add(1)
	default:
		next.outcome, next.unansweredAt, next.resendAt = outcomeOpen, now, now+retryInterval
		s.unanswered.Add(1)
	}
	s.lastOrders[o.key()] = next
}

func (s *Service) logOrder(ctx context.Context, o dueOrder, err error) {
	attributes := []slog.Attr{
		slog.String("pool", o.Pool), slog.String("failure_domain", o.Domain), slog.Bool("preemptible", o.Preemptible), slog.Int("count", o.Count),
		slog.Int("running", o.running), slog.Float64("requests", o.requests), slog.Int64("token", s.token),
	}
	if err != nil {
		chiveevent.ReplicasRefused.Log(ctx, s.opts.Logger, append(attributes, slog.String("error", err.Error()))...)
		return
	}
	chiveevent.ReplicasOrdered.Log(ctx, s.opts.Logger, attributes...)
}

// isObsolete reports whether later holders do not need an order: its pool has no scaling settings any more, or it was settled
// in an earlier tenure and its failure domain has neither a price nor replicas.
func (s *Service) isObsolete(key orderKey, last lastOrder) bool {
	domains, ok := s.domains[key.pool]
	return !ok || (last.isInherited && last.outcome != outcomeOpen && !slices.Contains(domains, key.domain))
}

// currentRecord returns what later holders need to know. Pools that are not planned yet keep what the previous holder
// stored.
func (s *Service) currentRecord() orderRecord {
	r := orderRecord{Era: s.era, Peaks: maps.Clone(s.stored.Peaks)}
	if r.Peaks == nil {
		r.Peaks = make(map[string]storedPeak)
	}
	for pool, p := range s.planners {
		r.Peaks[pool] = p.stored(s.opts.SinceBoot())
	}
	maps.DeleteFunc(r.Peaks, func(pool string, _ storedPeak) bool { return s.domains[pool] == nil })
	for key, last := range s.lastOrders {
		if last.isSent && !s.isObsolete(key, last) {
			r.Orders = append(r.Orders, last.stored(key))
		}
	}
	r.sort()
	return r
}

// storeOutcomes stores the outcomes of orders and load peaks in a record, if they have changed and outcomeInterval has passed.
func (s *Service) storeOutcomes(ctx context.Context, r orderRecord) {
	if len(r.Orders) > 0 && s.opts.SinceBoot()-s.storedAt >= outcomeInterval && !r.equal(s.stored) {
		s.store(ctx, r)
	}
}

// store writes a record for later holders and reports whether it did. For storeRetryInterval after a failed write it makes no
// attempt, since a write delays the renewal of the lease.
func (s *Service) store(ctx context.Context, r orderRecord) bool {
	now := s.opts.SinceBoot()
	if s.isStoreFailing && now-s.storedAt < storeRetryInterval {
		return false
	}
	s.storedAt, s.isStoreFailing = now, true
	r.Era = s.era
	data, err := r.encode()
	if err == nil {
		err = s.opts.Lease.Write(ctx, s.token, ordersKey, data)
	}
	if err != nil {
		s.storedAt = s.opts.SinceBoot()
		if !errors.Is(err, chivelease.ErrNotHeld) {
			chiveevent.OrdersNotStored.Log(ctx, s.opts.Logger, slog.Int64("token", s.token), slog.String("error", err.Error()))
		}
		return false
	}
	s.stored, s.isStoreFailing = r, false
	return true
}

// inherit continues with the orders that the previous holder stored. Orders with an open outcome, and all orders if the
// store may have lost newer ones, are sent again with the number then wanted.
func (s *Service) inherit(ctx context.Context, tenure chivelease.Tenure) {
	s.era, s.stored, s.storedAt, s.isStoreFailing = tenure.Era, orderRecord{Era: tenure.Era}, 0, false
	data := s.opts.Lease.Value(ordersKey)
	if len(data) == 0 {
		return
	}
	r, err := decodeOrders(data)
	if err != nil {
		chiveevent.OrdersUnreadable.Log(ctx, s.opts.Logger, slog.String("error", err.Error()))
		return
	}
	s.stored = r
	open := 0
	for _, o := range r.Orders {
		last := lastOrder{count: o.Count, isSent: true, isInherited: true, outcome: o.Outcome, resendAt: s.opts.SinceBoot() + resendInterval}
		if o.Outcome == outcomeOpen || r.Era != tenure.Era {
			last.outcome, last.resendAt = outcomeOpen, 0
			open++
		}
		s.lastOrders[o.key()] = last
	}
	chiveevent.OrdersInherited.Log(ctx, s.opts.Logger, slog.Int64("token", s.token), slog.Int("orders", len(r.Orders)), slog.Int("sent_again", open))
}

// newPlanner returns the planner of a pool, which continues what the previous holder stored. isFirst means that no holder
// has ordered replicas of the pool.
func (s *Service) newPlanner(pool string, p *Planner, isFirst bool) *Planner {
	if isFirst && !p.usesPreemptible() {
		p.keepsRunningUntil = 0
	}
	if peak, ok := s.stored.Peaks[pool]; ok {
		p.resume(s.opts.SinceBoot(), peak, s.stored.ordersOf(pool), s.stored.Era == s.era)
	}
	return p
}

// hasUnstoredOrders reports whether more replicas of a pool run than the previous holder stored, so that a holder of an
// earlier release, which does not store its orders, may have ordered them since.
func (s *Service) hasUnstoredOrders(running map[orderKey]int) bool {
	for key, count := range running {
		if last := s.lastOrders[key]; last.isInherited && count > last.count {
			return true
		}
	}
	return false
}
