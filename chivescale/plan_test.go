package chivescale_test

import (
	"testing"
	"time"

	"chivedrift/chivescale"
	"chivedrift/chivetable"
)

// scaling returns settings for three failure domains with cheap preemptible replicas.
func scaling() chivetable.Scaling {
	return chivetable.Scaling{Min: 1, Max: 120, Boot: 4 * time.Second, PreemptiblePrice: 0.18, Prices: map[string]float64{"a": 0.85, "b": 1.2, "c": 1}}
}

const initialReplicas = 90

func domains(onDemand, preemptible int) []chivescale.Domain {
	var all []chivescale.Domain
	for _, name := range []string{"a", "b", "c"} {
		all = append(all, chivescale.Domain{Name: name, OnDemand: onDemand, Preemptible: preemptible})
	}
	return all
}

// total returns the sum of the ordered replicas of one kind.
func total(orders []chivescale.Order, preemptible bool) (count int) {
	for _, o := range orders {
		if o.Preemptible == preemptible {
			count += o.Count
		}
	}
	return count
}

// Guards against on-demand replicas that are removed before the preemptible ones that replace them accept requests.
func TestOnDemandReplicasAreReducedAsPreemptibleOnesStart(t *testing.T) {
	p := chivescale.NewPlanner(0, scaling(), initialReplicas)
	orders := p.Plan(0, 0, domains(30, 0))
	if got := total(orders, false); got != initialReplicas {
		t.Errorf("%d on-demand replicas are ordered before any preemptible one is running", got)
	}
	if got := total(orders, true); got == 0 {
		t.Error("no preemptible replicas are ordered")
	}
	for running := range 49 {
		orders = p.Plan(time.Duration(running)*time.Second, 0, domains(30, running))
		if got := total(orders, false) + 3*running; got < initialReplicas {
			t.Errorf("with %d preemptible replicas in each failure domain, %d replicas remain of %d", running, got, initialReplicas)
		}
	}
	if got := total(orders, false); got > initialReplicas/2 {
		t.Errorf("%d on-demand replicas are kept", got)
	}
}

// Guards against replicas for a burst that are ordered late, or in excess of a failure domain's maximum.
func TestBurstOrdersReplicasImmediately(t *testing.T) {
	p := chivescale.NewPlanner(0, scaling(), initialReplicas)
	p.Plan(0, 400, domains(6, 48))
	before := total(p.Plan(time.Second, 400, domains(6, 48)), true)
	orders := p.Plan(2*time.Second, 1200, domains(6, 48))
	if got := total(orders, true); got < before+100 {
		t.Errorf("%d preemptible replicas are ordered for three times the load, %d before", got, before)
	}
	orders = p.Plan(3*time.Second, 5000, domains(6, 48))
	for _, d := range domains(6, 48) {
		sum := 0
		for _, o := range orders {
			if o.Domain == d.Name {
				sum += o.Count
			}
		}
		if sum > scaling().Max {
			t.Errorf("%d replicas are ordered in failure domain %s, more than the maximum %d", sum, d.Name, scaling().Max)
		}
	}
}

// Guards against replicas that are removed between bursts and lose their caches.
func TestReplicasAreKeptAfterABurst(t *testing.T) {
	p := chivescale.NewPlanner(0, scaling(), initialReplicas)
	p.Plan(25*time.Second, 1000, domains(6, 48))
	peak := total(p.Plan(26*time.Second, 100, domains(6, 80)), true)
	if got := total(p.Plan(44*time.Second, 100, domains(6, 80)), true); got != peak {
		t.Errorf("%d replicas are ordered 19 s after the burst, %d just after it", got, peak)
	}
	if got := total(p.Plan(47*time.Second, 100, domains(6, 80)), true); got >= peak {
		t.Errorf("%d replicas are ordered 22 s after the burst, %d just after it", got, peak)
	}
}

// Guards against a loss of capacity when a failure domain has no preemptible replicas left: the others must replace
// them.
func TestOtherDomainsReplaceUnavailableReplicas(t *testing.T) {
	p := chivescale.NewPlanner(0, scaling(), initialReplicas)
	p.Plan(0, 400, domains(6, 48))
	before := p.Plan(time.Second, 400, domains(6, 48))
	p.MarkUnavailable(time.Second, "b")
	running := domains(6, 48)
	running[1].Preemptible = 0
	after := p.Plan(1100*time.Millisecond, 400, running)
	for i, o := range after {
		if o.Preemptible && o.Domain != "b" && o.Count <= before[i].Count {
			t.Errorf("failure domain %s: %d preemptible replicas are ordered, %d before another one became unavailable", o.Domain, o.Count, before[i].Count)
		}
		if !o.Preemptible && o.Count != before[i].Count {
			t.Errorf("failure domain %s: %d on-demand replicas are ordered, %d before", o.Domain, o.Count, before[i].Count)
		}
	}
}

// Guards against a new lease holder that removes replicas which the previous one ordered for a burst.
func TestSuccessorKeepsRunningReplicas(t *testing.T) {
	p := chivescale.NewPlanner(100*time.Second, scaling(), initialReplicas)
	orders := p.Plan(100*time.Second, 0, domains(6, 100))
	if got := total(orders, true); got != 300 {
		t.Errorf("%d preemptible replicas are ordered, 300 are running", got)
	}
}

// Guards against fewer replicas than the initial ones where preemptible ones are too expensive or do not exist.
func TestReplicasAreNotReducedWithoutCheapPreemptibleOnes(t *testing.T) {
	for _, price := range []float64{0, 0.9} {
		s := scaling()
		s.PreemptiblePrice = price
		p := chivescale.NewPlanner(0, s, initialReplicas)
		orders := p.Plan(0, 0, domains(30, 0))
		if got := total(orders, false); got != initialReplicas || total(orders, true) != 0 {
			t.Errorf("price %v: ordered %v", price, orders)
		}
		if got := total(p.Plan(time.Second, 1200, domains(30, 0)), false); got <= initialReplicas {
			t.Errorf("price %v: %d on-demand replicas are ordered in a burst", price, got)
		}
	}
}

// simulatedFleet is a queue of requests that replicas serve at a fixed rate; onTime and late count the arrived
// requests.
type simulatedFleet struct {
	queued float64
	onTime float64
	late   float64
}

// step simulates one time step. Requests that arrive while the queue takes more than a second to serve count as late.
func (f *simulatedFleet) step(arrivals float64, replicas int, duration time.Duration) {
	const perSecond = 3.5
	capacity := float64(replicas) * perSecond
	if f.queued > capacity {
		f.late += arrivals
	} else {
		f.onTime += arrivals
	}
	f.queued = max(f.queued+arrivals-capacity*duration.Seconds(), 0)
}

// Guards against late requests in a burst of nine seconds at three times the usual rate, with a boot time of four
// seconds.
func TestOrderedReplicasReduceLateRequestsInABurst(t *testing.T) {
	const step = 250 * time.Millisecond
	lateShare := func(orders bool) float64 {
		p, f, preemptible := chivescale.NewPlanner(0, scaling(), initialReplicas), &simulatedFleet{}, initialReplicas
		var ordered []int
		for now := time.Duration(0); now < 30*time.Second; now += step {
			rate := 270.0
			if now >= 5*time.Second && now < 14*time.Second {
				rate *= 3
			}
			replicas := initialReplicas
			if orders {
				replicas = preemptible
			}
			f.step(rate*step.Seconds(), replicas, step)
			planned := total(p.Plan(now, f.queued+rate*0.7, domains(13, preemptible/3)), true)
			ordered = append(ordered, planned)
			if started := len(ordered) - 1 - int(scaling().Boot/step); started >= 0 {
				preemptible = ordered[started]
			}
		}
		return f.late / (f.late + f.onTime)
	}
	fixed, ordered := lateShare(false), lateShare(true)
	t.Logf("share of late requests: %.3f with a fixed number of replicas, %.3f with ordered ones", fixed, ordered)
	if ordered > fixed/2 {
		t.Errorf("%.3f of the requests are late, %.3f with a fixed number of replicas", ordered, fixed)
	}
}
