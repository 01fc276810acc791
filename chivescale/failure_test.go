//go:build !race

package chivescale_test

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	"testing"
	"testing/synctest"
	"time"

	"chivedrift/chivescale"
)

var errStoreAway = errors.New("store away")

// peakRetention is how long replicas are kept after a load peak.
const peakRetention = 20 * time.Second

// Guards against replicas that are paid for, because the platform carries out an unanswered order after a newer one.
func TestLateOrderIsWithdrawn(t *testing.T) {
	for _, late := range []time.Duration{2 * time.Second, 12 * time.Second} {
		t.Run(late.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := &setLoad{requests: calmLoad}
				p := newOnDemandPlatform(t, l)
				p.lease.setToken(1)
				time.Sleep(5 * time.Second)
				l.requests = burstLoad
				time.Sleep(time.Second)
				l.requests = calmLoad
				p.orderErr = errNoAnswer
				time.Sleep(peakRetention - 2*time.Second)
				p.orderErr = nil
				time.Sleep(late)
				time.Sleep(time.Second)
				if ordered := lastCounts(p.takeOrders()); ordered["a"] != 10 {
					t.Fatalf("after the burst %v was ordered", ordered)
				}
				p.startReplicas("a", false, 10)
				time.Sleep(settled)
				if ordered := lastCounts(p.takeOrders()); ordered["a"] != 10 {
					t.Errorf("after the late order %v was sent, expected 10 in failure domain a in place of 20", ordered)
				}
			})
		})
	}
}

// Guards against orders of a holder that was suspended while it lost the lease, and against a successor that does not know
// that they may be carried out.
func TestSuspendedHolderSendsNoOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &setLoad{requests: calmLoad}
		p := newOnDemandPlatform(t, l)
		p.lease.setToken(1)
		time.Sleep(5 * time.Second)
		p.lease.onWrite = func() {
			p.lease.setToken(0)
			time.Sleep(5 * time.Second)
		}
		l.requests = burstLoad
		time.Sleep(10 * time.Second)
		if orders := p.takeOrders(); len(orders) > 0 {
			t.Errorf("the suspended holder ordered %v", orders)
		}
		p.lease.onWrite = nil
		l.requests = calmLoad
		p.lease.setToken(2)
		time.Sleep(settled)
		if ordered := lastCounts(p.takeOrders()); ordered["a"] != 10 {
			t.Errorf("the successor ordered %v, expected 10 in failure domain a", ordered)
		}
	})
}

// Guards against orders that later holders do not know, because the store was away.
func TestNoOtherNumberIsOrderedWithoutTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &setLoad{requests: calmLoad}
		p := newOnDemandPlatform(t, l)
		p.lease.setToken(1)
		time.Sleep(5 * time.Second)
		l.requests = burstLoad
		time.Sleep(time.Second)
		p.takeOrders()
		p.lease.writeErr = errStoreAway
		l.requests = 2 * burstLoad
		time.Sleep(5 * time.Second)
		if orders := p.takeOrders(); len(orders) > 0 {
			t.Errorf("ordered %v without the store", orders)
		}
		p.lease.writeErr = nil
		time.Sleep(time.Second)
		if ordered := lastCounts(p.takeOrders()); ordered["a"] != 40 {
			t.Errorf("ordered %v once the store was back, expected 40 in failure domain a", ordered)
		}
	})
}

// Guards against replicas that are paid for, because the store was restored from a copy of before they were ordered.
func TestOrdersLostByTheStoreAreWithdrawn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &setLoad{requests: calmLoad}
		p := newOnDemandPlatform(t, l)
		p.lease.setToken(1)
		time.Sleep(5 * time.Second)
		burst := func() {
			l.requests = burstLoad
			time.Sleep(time.Second)
			l.requests = calmLoad
		}
		burst()
		time.Sleep(settled)
		older := maps.Clone(p.lease.values)
		burst()
		if ordered := lastCounts(p.takeOrders()); ordered["a"] != 20 {
			t.Fatalf("the burst ordered %v", ordered)
		}
		p.lease.setToken(0)
		time.Sleep(time.Second)
		p.lease.values, p.lease.restores = older, 1
		p.lease.setToken(2)
		time.Sleep(settled)
		if ordered := lastCounts(p.takeOrders()); ordered["a"] != 10 {
			t.Errorf("the successor ordered %v, expected 10 in failure domain a in place of 20", ordered)
		}
	})
}

// Guards against replicas that are paid for, because a lease holder of an earlier release ordered them and stored nothing.
func TestOrdersThatAreNotStoredAreWithdrawn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &setLoad{requests: burstLoad}
		p := newOnDemandPlatform(t, l)
		p.lease.setToken(1)
		time.Sleep(5 * time.Second)
		l.requests = calmLoad
		time.Sleep(settled)
		p.lease.setToken(0)
		time.Sleep(time.Second)
		p.takeOrders()
		p.startReplicas("a", false, 10)
		p.lease.setToken(2)
		time.Sleep(peakRetention - time.Second)
		for _, o := range p.takeOrders() {
			if o.Domain == "a" && o.Count < 20 {
				t.Errorf("the successor ordered %v within the retention of a peak", o)
			}
		}
		time.Sleep(settled)
		if ordered := lastCounts(p.takeOrders()); ordered["a"] != 10 {
			t.Errorf("the successor ordered %v, expected 10 in failure domain a in place of 20", ordered)
		}
	})
}

// Guards against preemptible replicas that are given up in a burst, because a lease holder of an earlier release ordered
// them and stored nothing.
func TestPreemptibleReplicasOfAnEarlierReleaseAreKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFakePlatform(t)
		for _, d := range []string{"a", "b", "c"} {
			p.startReplicas(d, false, 10)
		}
		p.lease.setToken(1)
		time.Sleep(10 * time.Second)
		p.lease.setToken(0)
		time.Sleep(time.Second)
		p.takeOrders()
		for _, d := range []string{"a", "b", "c"} {
			p.startReplicas(d, true, 40)
		}
		p.lease.setToken(2)
		time.Sleep(peakRetention - time.Second)
		for _, o := range p.takeOrders() {
			if o.Preemptible && o.Count < 40 {
				t.Errorf("the successor ordered %v within the retention of a peak", o)
			}
		}
		time.Sleep(settled)
		for _, o := range p.takeOrders() {
			if o.Preemptible && o.Count == 16 {
				return
			}
		}
		t.Error("the successor did not order 16 preemptible replicas after the retention")
	})
}

// Guards against replicas that are ordered late because an order for another failure domain is not answered.
func TestUnansweredOrderDoesNotDelayOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &setLoad{requests: calmLoad}
		p := newOnDemandPlatform(t, l)
		p.lease.setToken(1)
		time.Sleep(5 * time.Second)
		p.silentDomain = "a"
		l.requests = burstLoad
		time.Sleep(500 * time.Millisecond)
		if ordered := lastCounts(p.takeOrders()); ordered["b"] != 20 || ordered["c"] != 20 {
			t.Errorf("ordered %v within 0.5 s, expected 20 in failure domains b and c", ordered)
		}
	})
}

// Guards against a store whose rate of writes is used up by orders that change in many failure domains at once.
func TestOrdersOfOnePassTakeOneWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &setLoad{requests: calmLoad}
		p := newOnDemandPlatform(t, l)
		p.lease.setToken(1)
		time.Sleep(5 * time.Second)
		writes := 0
		p.lease.onWrite = func() { writes++ }
		l.requests = burstLoad
		time.Sleep(settled)
		// One holds the orders, one their outcomes.
		if ordered := lastCounts(p.takeOrders()); len(ordered) != 3 || writes > 2 {
			t.Errorf("%d writes for orders in %d failure domains, expected 2", writes, len(ordered))
		}
	})
}

// Guards against replicas that are missing, because every successor counts a failure domain that has none any more.
func TestLostFailureDomainIsReplacedBySuccessors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &setLoad{requests: calmLoad}
		p := newOnDemandPlatform(t, l)
		p.lease.setToken(1)
		time.Sleep(5 * time.Second)
		l.requests = burstLoad
		time.Sleep(2 * time.Second)
		l.requests = calmLoad
		time.Sleep(settled)
		p.removeReplicas("c")
		p.lease.setToken(0)
		time.Sleep(time.Second)
		p.takeOrders()
		p.lease.setToken(2)
		time.Sleep(settled)
		if ordered := lastCounts(p.takeOrders()); ordered["a"] != 15 || ordered["b"] != 15 || ordered["c"] != 0 {
			t.Errorf("the successor ordered %v, expected 15 in failure domains a and b", ordered)
		}
	})
}

// Guards against surplus replicas that the first holder keeps, although nobody ordered them for a peak.
func TestFirstHolderBalancesFailureDomainsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newOnDemandPlatform(t, &setLoad{requests: calmLoad})
		p.startReplicas("a", false, 12)
		p.lease.setToken(1)
		time.Sleep(5 * time.Second)
		if ordered := lastCounts(p.takeOrders()); ordered["a"] != 14 || ordered["b"] != 14 || ordered["c"] != 14 {
			t.Errorf("ordered %v within 5 s, expected 14 in each failure domain", ordered)
		}
	})
}

// Guards against a store call at every plan while the store is away, which would delay the renewal of the lease.
func TestFailedWritesAreRateLimited(t *testing.T) {
	cases := map[time.Duration]int{0: 14, 700 * time.Millisecond: 7}
	for duration, maxWrites := range cases {
		t.Run(duration.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := &setLoad{requests: calmLoad}
				p := newOnDemandPlatform(t, l)
				p.lease.setToken(1)
				time.Sleep(5 * time.Second)
				p.lease.writeErr, p.lease.writeDuration = errStoreAway, duration
				l.requests = burstLoad
				time.Sleep(10 * time.Second)
				if p.lease.failedWrites == 0 || p.lease.failedWrites > maxWrites {
					t.Errorf("%d writes in 10 s, expected %d at most", p.lease.failedWrites, maxWrites)
				}
			})
		})
	}
}

// Guards against orders that every successor sends again, because the record keeps the era of before a restore.
func TestRestoreSendsOrdersAgainOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &setLoad{requests: calmLoad}
		p := newOnDemandPlatform(t, l)
		p.lease.setToken(1)
		time.Sleep(5 * time.Second)
		l.requests = burstLoad
		time.Sleep(time.Second)
		l.requests = calmLoad
		time.Sleep(settled)
		p.lease.restores = 1
		for i, expected := range []int{3, 0, 0} {
			p.lease.setToken(0)
			time.Sleep(time.Second)
			p.takeOrders()
			p.lease.setToken(int64(2 + i))
			time.Sleep(settled)
			if orders := p.takeOrders(); len(orders) != expected {
				t.Errorf("holder %d after the restore sent %v, expected %d orders", 1+i, orders, expected)
			}
		}
	})
}

// Guards against replicas of a burst that are kept as long as lease holders change often.
func TestFrequentChangesOfHolderDoNotProlongABurst(t *testing.T) {
	for _, tenure := range []time.Duration{2 * time.Second, 14 * time.Second} {
		t.Run(tenure.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := &setLoad{requests: calmLoad}
				p := newOnDemandPlatform(t, l)
				p.lease.setToken(1)
				time.Sleep(5 * time.Second)
				l.requests = burstLoad
				time.Sleep(time.Second)
				l.requests = calmLoad
				for token := int64(2); token < 8; token++ {
					p.lease.setToken(0)
					time.Sleep(time.Second)
					p.lease.setToken(token)
					time.Sleep(tenure)
				}
				if ordered := lastCounts(p.takeOrders()); ordered["a"] != 10 {
					t.Errorf("after six changes of holder %v was ordered last, expected 10 in failure domain a", ordered)
				}
			})
		})
	}
}

// Guards against a stored record that grows with every failure domain that was ever in use.
func TestOrdersForFormerFailureDomainsAreDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newOnDemandPlatform(t, &setLoad{requests: calmLoad})
		p.startReplicas("former", false, 9)
		p.lease.setToken(1)
		time.Sleep(5 * time.Second)
		if !bytes.Contains(p.lease.values["orders"], []byte("former")) {
			t.Fatal("no order for the failure domain was stored")
		}
		p.removeReplicas("former")
		p.lease.setToken(0)
		time.Sleep(time.Second)
		p.lease.setToken(2)
		time.Sleep(settled)
		if bytes.Contains(p.lease.values["orders"], []byte("former")) {
			t.Error("an order for a failure domain without price and replicas is stored")
		}
	})
}

// Guards against orders that are sent again after the period of late orders, although the platform answered that it did not
// execute them.
func TestOrderThatIsNotExecutedIsSentAgainOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &setLoad{requests: calmLoad}
		p := newOnDemandPlatform(t, l)
		p.lease.setToken(1)
		time.Sleep(5 * time.Second)
		p.orderErr = fmt.Errorf("%w: 429", chivescale.ErrNotExecuted)
		l.requests = burstLoad
		time.Sleep(time.Second)
		p.orderErr = nil
		time.Sleep(5 * time.Second)
		if ordered := lastCounts(p.takeOrders()); ordered["a"] != 20 {
			t.Fatalf("the burst ordered %v", ordered)
		}
		for _, d := range []string{"a", "b", "c"} {
			p.startReplicas(d, false, 10)
		}
		time.Sleep(3 * time.Second)
		p.takeOrders()
		time.Sleep(settled)
		if orders := p.takeOrders(); len(orders) > 0 {
			t.Errorf("sent %v again", orders)
		}
	})
}

// Guards against a platform that gets the orders for all failure domains at once after a restore of the store.
func TestOrdersAreSentInPasses(t *testing.T) {
	const domains, perSecond = 100, 5 * 16
	synctest.Test(t, func(t *testing.T) {
		l := &setLoad{requests: calmLoad}
		p := newOnDemandPlatform(t, l)
		for i := range domains {
			p.startReplicas(fmt.Sprintf("d%d", i), false, 1)
		}
		p.lease.setToken(1)
		time.Sleep(5 * time.Second)
		p.takeOrders()
		l.requests = 100 * burstLoad
		time.Sleep(time.Second)
		if orders := p.takeOrders(); len(orders) > perSecond || len(orders) == 0 {
			t.Errorf("%d orders within a second, expected %d at most", len(orders), perSecond)
		}
		time.Sleep(2 * time.Second)
		if ordered := lastCounts(p.takeOrders()); len(ordered) < domains+3-perSecond {
			t.Errorf("%d further failure domains within 2 s", len(ordered))
		}
	})
}
