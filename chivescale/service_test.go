//go:build !race

package chivescale_test

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"chivedrift/chivedirectory"
	"chivedrift/chivelease"
	"chivedrift/chivescale"
	"chivedrift/chivetable"
)

// fakeLease is a lease that is held while its token is not 0.
type fakeLease struct {
	mu     sync.Mutex
	token  int64
	values map[string][]byte
	// restores is the number of times that the store was restored from an older copy.
	restores int64
	// writeErr is the result of every write after writeDuration, failedWrites their number; onWrite, if not nil, runs after a value is written.
	writeErr      error
	writeDuration time.Duration
	failedWrites  int
	onWrite       func()
}

func (l *fakeLease) Tenure() (chivelease.Tenure, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return chivelease.Tenure{Token: l.token, Remaining: time.Second, Era: 1 + l.restores}, l.token > 0
}

// setToken starts a tenure with a fencing token; 0 ends the tenure.
func (l *fakeLease) setToken(token int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.token = token
}

func (l *fakeLease) Value(key string) []byte { return l.values[key] }

func (l *fakeLease) Write(_ context.Context, token int64, key string, value []byte) error {
	if token != l.token {
		return chivelease.ErrNotHeld
	}
	if l.writeErr != nil {
		l.failedWrites++
		time.Sleep(l.writeDuration)
		return l.writeErr
	}
	l.values[key] = value
	if l.onWrite != nil {
		l.onWrite()
	}
	return nil
}

// fakePlatform records orders without carrying them out; replicas are added by startReplicas.
type fakePlatform struct {
	t       *testing.T
	service *chivescale.Service
	lease   *fakeLease

	mu        sync.Mutex
	kinds     map[string]bool
	endpoints []chivedirectory.Endpoint
	orders    []chivescale.Order
	// orderErr is the result of every order.
	orderErr error
	// silentDomain is the failure domain whose orders are not answered.
	silentDomain string
}

func (p *fakePlatform) OrderReplicas(ctx context.Context, token int64, o chivescale.Order) error {
	if o.Domain == p.silentDomain {
		<-ctx.Done()
		return ctx.Err()
	}
	if tenure, _ := p.lease.Tenure(); token != tenure.Token {
		p.t.Errorf("order with token %d in the tenure with token %d", token, tenure.Token)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.orders = append(p.orders, o)
	return p.orderErr
}

func (p *fakePlatform) Preemptible(context.Context) (map[string]bool, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.kinds), nil
}

// takeOrders returns the orders since the last call.
func (p *fakePlatform) takeOrders() []chivescale.Order {
	p.mu.Lock()
	defer p.mu.Unlock()
	orders := p.orders
	p.orders = nil
	return orders
}

// startReplicas registers replicas of one kind in a failure domain.
func (p *fakePlatform) startReplicas(domain string, preemptible bool, count int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for range count {
		e := chivedirectory.Endpoint{ID: fmt.Sprintf("i-%d", len(p.endpoints)), Pool: "engines", FailureDomain: domain}
		p.endpoints = append(p.endpoints, e)
		p.kinds[e.ID] = preemptible
		p.service.ApplyEndpoints(chivedirectory.Diff{Changed: []chivedirectory.Endpoint{e}})
	}
}

// removeReplicas removes all replicas in a failure domain.
func (p *fakePlatform) removeReplicas(domain string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.endpoints {
		if e.FailureDomain == domain {
			p.service.ApplyEndpoints(chivedirectory.Diff{Gone: []chivedirectory.Endpoint{e}})
		}
	}
}

func newFakePlatform(t *testing.T) *fakePlatform {
	t.Helper()
	startedAt := time.Now()
	p := &fakePlatform{t: t, lease: &fakeLease{values: make(map[string][]byte)}, kinds: make(map[string]bool)}
	p.service = chivescale.New(chivescale.Options{
		Lease: p.lease, Platform: p, Load: func(string) (float64, bool) { return 0, true },
		SinceBoot: func() time.Duration { return time.Since(startedAt) + time.Hour }, Logger: slog.New(slog.DiscardHandler),
	})
	s := scaling()
	table, err := chivetable.New(chivetable.Spec{Pools: []chivetable.Pool{{Name: "engines", Scaling: &s}}})
	if err != nil {
		t.Fatal(err)
	}
	p.service.SetTable(table)
	if err := p.service.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { p.service.Stop(context.Background()) })
	return p
}

// Guards against orders without the lease, and against orders while replicas are still registering, which would count
// too few as initial.
func TestNothingIsOrderedBeforeReplicaCountIsStable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFakePlatform(t)
		p.startReplicas("a", false, 10)
		time.Sleep(10 * time.Second)
		if orders := p.takeOrders(); len(orders) > 0 {
			t.Fatalf("ordered without the lease: %v", orders)
		}
		p.lease.setToken(1)
		for range 3 {
			time.Sleep(time.Second)
			p.startReplicas("b", false, 10)
		}
		if orders := p.takeOrders(); len(orders) > 0 {
			t.Fatalf("ordered while replicas were registering: %v", orders)
		}
		time.Sleep(5 * time.Second)
		if total(p.takeOrders(), true) == 0 {
			t.Error("no preemptible replicas ordered after the number of replicas was stable")
		}
	})
}

// Guards against a new lease holder that counts replicas ordered by the previous one as initial.
func TestSuccessorUsesRecordedInitialReplicas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFakePlatform(t)
		for _, d := range []string{"a", "b", "c"} {
			p.startReplicas(d, false, 30)
		}
		p.lease.setToken(1)
		time.Sleep(5 * time.Second)
		for _, d := range []string{"a", "b", "c"} {
			p.startReplicas(d, true, 48)
		}
		p.lease.setToken(0)
		time.Sleep(5 * time.Second)
		p.takeOrders()
		p.lease.setToken(2)
		time.Sleep(30 * time.Second)
		for _, o := range p.takeOrders() {
			if !o.Preemptible && o.Count > 6 {
				t.Errorf("the new lease holder ordered %d on-demand replicas in failure domain %s", o.Count, o.Domain)
			}
		}
	})
}

// Guards against orders that are sent again at every plan while the platform refuses or does not answer them.
func TestFailedOrdersAreRateLimited(t *testing.T) {
	cases := map[string]struct {
		orderErr  error
		maxOrders int
	}{
		"refused":    {chivescale.ErrUnavailable, 3 * 60 / 2},
		"unanswered": {context.DeadlineExceeded, 3 * 60 * 2},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newFakePlatform(t)
				p.orderErr = c.orderErr
				for _, d := range []string{"a", "b", "c"} {
					p.startReplicas(d, false, 30)
				}
				p.lease.setToken(1)
				time.Sleep(60 * time.Second)
				if orders := len(p.takeOrders()); orders > c.maxOrders || orders == 0 {
					t.Errorf("%d orders in a minute, expected %d at most", orders, c.maxOrders)
				}
			})
		})
	}
}
