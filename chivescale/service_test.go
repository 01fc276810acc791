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

// lease is a fake lease that is held while its token is not 0.
type lease struct {
	mu     sync.Mutex
	token  int64
	values map[string][]byte
}

func (l *lease) Tenure() (chivelease.Tenure, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return chivelease.Tenure{Token: l.token, Remaining: time.Second, Era: 1}, l.token > 0
}

// set starts a tenure with a fencing token; 0 ends the tenure.
func (l *lease) set(token int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.token = token
}

func (l *lease) Value(key string) []byte { return l.values[key] }

func (l *lease) Write(_ context.Context, token int64, key string, value []byte) error {
	if token != l.token {
		return chivelease.ErrNotHeld
	}
	l.values[key] = value
	return nil
}

// platform is a fake platform that records orders; it starts replicas only when start is called.
type platform struct {
	t       *testing.T
	service *chivescale.Service
	lease   *lease

	mu        sync.Mutex
	kinds     map[string]bool
	endpoints []chivedirectory.Endpoint
	orders    []chivescale.Order
	// refusal is what orders end with; nil accepts them.
	refusal error
}

func (p *platform) OrderReplicas(_ context.Context, token int64, o chivescale.Order) error {
	if tenure, _ := p.lease.Tenure(); token != tenure.Token {
		p.t.Errorf("order with token %d in the tenure with token %d", token, tenure.Token)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.orders = append(p.orders, o)
	return p.refusal
}

func (p *platform) Preemptible(context.Context) (map[string]bool, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.kinds), nil
}

// takeOrders returns the orders since the last call.
func (p *platform) takeOrders() []chivescale.Order {
	p.mu.Lock()
	defer p.mu.Unlock()
	orders := p.orders
	p.orders = nil
	return orders
}

// start registers count replicas of one kind in a failure domain.
func (p *platform) start(domain string, preemptible bool, count int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for range count {
		e := chivedirectory.Endpoint{ID: fmt.Sprintf("i-%d", len(p.endpoints)), Pool: "engines", FailureDomain: domain}
		p.endpoints = append(p.endpoints, e)
		p.kinds[e.ID] = preemptible
		p.service.ApplyEndpoints(chivedirectory.Diff{Changed: []chivedirectory.Endpoint{e}})
	}
}

func newPlatform(t *testing.T) *platform {
	t.Helper()
	began := time.Now()
	p := &platform{t: t, lease: &lease{values: make(map[string][]byte)}, kinds: make(map[string]bool)}
	p.service = chivescale.New(chivescale.Options{
		Lease: p.lease, Platform: p, Load: func(string) (float64, bool) { return 0, true },
		SinceBoot: func() time.Duration { return time.Since(began) + time.Hour }, Logger: slog.New(slog.DiscardHandler),
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

// Guards against orders while replicas are still registering, and against orders without the lease.
func TestNothingIsOrderedBeforeReplicaCountIsStable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlatform(t)
		p.start("a", false, 10)
		time.Sleep(10 * time.Second)
		if orders := p.takeOrders(); len(orders) > 0 {
			t.Fatalf("ordered without the lease: %v", orders)
		}
		p.lease.set(1)
		for range 3 {
			time.Sleep(time.Second)
			p.start("b", false, 10)
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

// Guards against a new lease holder counting replicas ordered by the previous one as initial.
func TestSuccessorUsesRecordedInitialReplicas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlatform(t)
		for _, d := range []string{"a", "b", "c"} {
			p.start(d, false, 30)
		}
		p.lease.set(1)
		time.Sleep(5 * time.Second)
		for _, d := range []string{"a", "b", "c"} {
			p.start(d, true, 48)
		}
		p.lease.set(0)
		time.Sleep(5 * time.Second)
		p.takeOrders()
		p.lease.set(2)
		time.Sleep(30 * time.Second)
		for _, o := range p.takeOrders() {
			if !o.Preemptible && o.Count > 6 {
				t.Errorf("the new lease holder ordered %d on-demand replicas in failure domain %s", o.Count, o.Domain)
			}
		}
	})
}

// Guards against a storm of orders that the platform refuses or does not answer.
func TestFailedOrdersAreRateLimited(t *testing.T) {
	cases := map[string]struct {
		refusal error
		most    int
	}{
		"refused":    {chivescale.ErrUnavailable, 3 * 60 / 2},
		"unanswered": {context.DeadlineExceeded, 3 * 60 * 2},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newPlatform(t)
				p.refusal = c.refusal
				for _, d := range []string{"a", "b", "c"} {
					p.start(d, false, 30)
				}
				p.lease.set(1)
				time.Sleep(60 * time.Second)
				if orders := len(p.takeOrders()); orders > c.most || orders == 0 {
					t.Errorf("%d orders in a minute, expected %d at most", orders, c.most)
				}
			})
		})
	}
}
