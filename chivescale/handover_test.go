//go:build !race

package chivescale_test

import (
	"context"
	"errors"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"chivedrift/chivedirectory"
	"chivedrift/chivescale"
	"chivedrift/chivetable"
)

var errNoAnswer = errors.New("no answer")

// setLoad is a load that a test changes.
type setLoad struct{ requests float64 }

func (l *setLoad) load(string) (float64, bool) { return l.requests, true }

// newOnDemandPlatform returns a platform that offers no preemptible replicas.
func newOnDemandPlatform(t *testing.T, l *setLoad) *fakePlatform {
	t.Helper()
	p := newFakePlatform(t)
	p.service.Stop(context.Background())
	startedAt := time.Now()
	p.service = chivescale.New(chivescale.Options{
		Lease: p.lease, Platform: p, Load: l.load,
		SinceBoot: func() time.Duration { return time.Since(startedAt) + time.Hour }, Logger: slog.New(slog.DiscardHandler),
	})
	s := scaling()
	s.PreemptiblePrice = 0
	table, err := chivetable.New(chivetable.Spec{Pools: []chivetable.Pool{{Name: "engines", Scaling: &s}}})
	if err != nil {
		t.Fatal(err)
	}
	p.service.SetTable(table)
	p.service.ApplyEndpoints(chivedirectory.Diff{})
	if err := p.service.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { p.service.Stop(context.Background()) })
	for _, d := range []string{"a", "b", "c"} {
		p.startReplicas(d, false, 10)
	}
	return p
}

// lastCounts returns the last ordered number of on-demand replicas by failure domain.
func lastCounts(orders []chivescale.Order) map[string]int {
	counts := make(map[string]int)
	for _, o := range orders {
		if !o.Preemptible {
			counts[o.Domain] = o.Count
		}
	}
	return counts
}

const (
	burstLoad = 240
	calmLoad  = 4
	settled   = time.Minute
)

// Guards against replicas that are paid for long after a burst, because the next lease holder takes the number of running
// replicas for what its predecessor ordered.
func TestSuccessorWithdrawsOrdersOfItsPredecessor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &setLoad{requests: calmLoad}
		p := newOnDemandPlatform(t, l)
		p.lease.setToken(1)
		time.Sleep(5 * time.Second)
		l.requests = burstLoad
		time.Sleep(time.Second)
		if ordered := lastCounts(p.takeOrders()); ordered["a"] != 20 {
			t.Fatalf("the burst ordered %v", ordered)
		}
		p.lease.setToken(0)
		time.Sleep(time.Second)
		l.requests = calmLoad
		p.lease.setToken(2)
		time.Sleep(5 * time.Second)
		p.startReplicas("a", false, 10)
		time.Sleep(settled)
		if ordered := lastCounts(p.takeOrders()); ordered["a"] != 10 {
			t.Errorf("the successor ordered %v, expected 10 in failure domain a in place of 20", ordered)
		}
	})
}

// Guards against replicas that are paid for long after a burst, because an unanswered order that was carried out is
// treated as one that was not.
func TestUnansweredOrderIsWithdrawn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &setLoad{requests: calmLoad}
		p := newOnDemandPlatform(t, l)
		p.lease.setToken(1)
		time.Sleep(5 * time.Second)
		p.orderErr = errNoAnswer
		l.requests = burstLoad
		time.Sleep(25 * time.Second)
		l.requests = calmLoad
		if ordered := lastCounts(p.takeOrders()); ordered["a"] != 20 {
			t.Fatalf("the burst ordered %v", ordered)
		}
		time.Sleep(25 * time.Second)
		p.orderErr = nil
		p.startReplicas("a", false, 10)
		p.takeOrders()
		time.Sleep(settled)
		if ordered := lastCounts(p.takeOrders()); ordered["a"] != 10 {
			t.Errorf("after the unanswered order %v was sent, expected 10 in failure domain a in place of 20", ordered)
		}
	})
}

// Guards against a successor that gives up replicas right after a burst, whose caches the predecessor would have kept.
func TestSuccessorKeepsOnDemandReplicasAfterABurst(t *testing.T) {
	const afterBurst = 5 * time.Second
	s := scaling()
	s.PreemptiblePrice = 0
	predecessor := chivescale.NewPlanner(0, s, 30)
	burst := predecessor.Plan(0, burstLoad, domains(10, 0))
	kept := predecessor.Plan(afterBurst, calmLoad, domains(20, 0))
	if total(burst, false) != total(kept, false) {
		t.Fatalf("the predecessor ordered %v and %v", burst, kept)
	}
	if after := chivescale.NewPlanner(afterBurst, s, 30).Plan(afterBurst, calmLoad, domains(20, 0)); total(after, false) < total(kept, false) {
		t.Errorf("the predecessor keeps %d replicas, and its successor %d", total(kept, false), total(after, false))
	}
}
