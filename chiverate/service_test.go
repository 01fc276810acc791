//go:build !race

package chiverate_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"chivedrift/chivedistance"
	"chivedrift/chivemember"
	"chivedrift/chiverate"
	"chivedrift/chiverequest"
	"chivedrift/chiveresidency"
	"chivedrift/chivestand"
	"chivedrift/chivewire"
)

const (
	rateKey = "endpoint/e0"
	// burst is how many permits more than the rate allows a fleet may get: one that a bucket holds and one at the start.
	burst = 2
)

// fleet is a number of services on a simulated network.
type fleet struct {
	network  *chivestand.Network
	meshes   []*chivewire.Mesh
	services []*chiverate.Service
}

// withFleet runs a test with services that know each other.
func withFleet(t *testing.T, nodes int, test func(f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{network: chivestand.NewNetwork()}
		for i := range nodes {
			mesh := chivewire.NewMesh(fmt.Sprintf("10.0.0.%d:82", i+1), f.network)
			f.meshes, f.services = append(f.meshes, mesh), append(f.services, chiverate.New(mesh))
			if err := mesh.Start(context.Background()); err != nil {
				t.Fatal(err)
			}
		}
		f.setMembers(f.services, 0, nodes)
		test(f)
		for _, mesh := range f.meshes {
			if err := mesh.Stop(context.Background()); err != nil {
				t.Error(err)
			}
		}
	})
}

// setMembers makes the services consider the nodes from first until before end the members of the fleet.
func (f *fleet) setMembers(services []*chiverate.Service, first, end int) {
	var members []chivemember.Member
	for _, mesh := range f.meshes[first:end] {
		members = append(members, chivemember.Member{Name: mesh.Self(), Address: mesh.Self(), State: chivemember.Alive})
	}
	for _, s := range services {
		s.SetMembers(members)
	}
}

// take has the services ask for permits for some time, as often as they may, and returns how many they got.
func (f *fleet) take(services []*chiverate.Service, perSecond float64, duration time.Duration) (granted int) {
	permits := make(chan int)
	for _, s := range services {
		go func() {
			got := 0
			for end := time.Now().Add(duration); time.Now().Before(end); {
				permit, wait := s.Take(context.Background(), rateKey, chiverequest.Limits{PerSecond: perSecond}, 0)
				if permit {
					got++
				}
				time.Sleep(max(wait, time.Millisecond))
			}
			permits <- got
		}()
	}
	for range services {
		granted += <-permits
	}
	return granted
}

// Guards against nodes that together exceed a rate, or leave most of it unused.
func TestNodesTogetherGetTheRate(t *testing.T) {
	const duration = 20 * time.Second
	for _, nodes := range []int{1, 3, 16} {
		for _, perSecond := range []float64{0.5, 3.2, 20} {
			t.Run(fmt.Sprintf("%d nodes %g a second", nodes, perSecond), func(t *testing.T) {
				withFleet(t, nodes, func(f *fleet) {
					granted := float64(f.take(f.services, perSecond, duration))
					most := perSecond * duration.Seconds()
					if granted > most+burst || granted < 0.9*most-burst {
						t.Errorf("%.0f permits in %v, want about %.0f", granted, duration, most)
					}
				})
			})
		}
	}
}

// Guards against the two sides of a partition that each issue permits for the whole rate.
func TestPartitionedNodesStayWithinTheRate(t *testing.T) {
	const (
		nodes     = 8
		perSecond = 10
		duration  = 20 * time.Second
	)
	for _, cutOff := range []int{1, 3, 4} {
		t.Run(fmt.Sprint(cutOff), func(t *testing.T) {
			withFleet(t, nodes, func(f *fleet) {
				f.setMembers(f.services[:cutOff], 0, cutOff)
				f.setMembers(f.services[cutOff:], cutOff, nodes)
				granted := float64(f.take(f.services, perSecond, duration))
				if most := perSecond * duration.Seconds(); granted > most+2*burst || granted < 0.9*most-2*burst {
					t.Errorf("%.0f permits in %v, want about %.0f", granted, duration, most)
				}
			})
		})
	}
}

// Guards against permits from a node that does not reach the owner of a rate, and against requests that wait for it.
func TestNoPermitWithoutTheOwner(t *testing.T) {
	withFleet(t, 3, func(f *fleet) {
		f.network.Block(func(from, to string) bool { return from != to })
		start, granted := time.Now(), 0
		for _, s := range f.services {
			if permit, _ := s.Take(context.Background(), rateKey, chiverequest.Limits{PerSecond: 1}, 0); permit {
				granted++
			}
		}
		if took := time.Since(start); took > 200*time.Millisecond {
			t.Errorf("three requests waited %v for the owner", took)
		}
		time.Sleep(5 * time.Second)
		if granted = f.take(f.services, 1, 5*time.Second); granted > 5+burst {
			t.Errorf("%d permits in 5 s, want those of the owner alone", granted)
		}
	})
}

// Guards against a new owner of a rate that issues a burst beside the permits of the previous one.
func TestNewOwnerStartsWithoutPermits(t *testing.T) {
	withFleet(t, 5, func(f *fleet) {
		for end := 4; end >= 1; end-- {
			f.setMembers(f.services, 0, end)
			if permit, _ := f.services[0].Take(context.Background(), fmt.Sprint(rateKey, end), chiverequest.Limits{PerSecond: 1}, 0); permit {
				t.Errorf("the owner among %d nodes had a permit at once", end)
			}
		}
	})
}

// Guards against messages of other releases or faulty peers that block a rate for good.
func TestInvalidRatesAreIgnored(t *testing.T) {
	withFleet(t, 2, func(f *fleet) {
		nan := 0.0
		nan /= nan
		for _, perSecond := range []float64{-1, nan} {
			for _, from := range f.meshes {
				for _, to := range f.meshes {
					if err := from.Send(to.Self(), chivewire.KindRateAsk, chiverate.Ask{Number: 1, Key: rateKey, PerSecond: perSecond}); err != nil {
						t.Fatal(err)
					}
				}
			}
		}
		if granted := f.take(f.services, 10, 2*time.Second); granted < 15 {
			t.Errorf("%d permits in 2 s, want about 20", granted)
		}
	})
}

// Guards against a request that waits far longer than its target for an owner whose distance has not been measured.
func TestOwnerInUnmeasuredRegionCostsHalfOfTheTarget(t *testing.T) {
	for target, want := range map[time.Duration]time.Duration{0: 410 * time.Millisecond, 120 * time.Millisecond: 60 * time.Millisecond} {
		withFleet(t, 2, func(f *fleet) {
			f.network.Block(func(from, to string) bool { return from != to })
			var longest time.Duration
			for i, s := range f.services {
				distances := chivedistance.New("here", chiveresidency.Map{"a": "here", "b": "there"})
				distances.SetMembers([]chivemember.Member{{Address: f.meshes[1-i].Self(), Region: "there"}})
				distances.SetConnected(f.meshes[i].IsConnected)
				s.SetDistances(distances)
				startedAt := time.Now()
				s.Take(context.Background(), rateKey, chiverequest.Limits{PerSecond: 1}, target)
				longest = max(longest, time.Since(startedAt))
			}
			if longest != want {
				t.Errorf("target %v: waited %v for the owner, want %v", target, longest, want)
			}
		})
	}
}

// coldPermits has the services ask for permits of a cold endpoint for some time, and returns the largest number in a second and
// the number in all.
func (f *fleet) coldPermits(perSecond float64, duration time.Duration) (most, total int) {
	granted := make(chan time.Time, 1000)
	var asking sync.WaitGroup
	for _, s := range f.services {
		asking.Go(func() {
			for end := time.Now().Add(duration); time.Now().Before(end); {
				permit, wait := s.TakeCold(context.Background(), rateKey, chiverequest.Limits{PerSecond: perSecond}, 0)
				if permit {
					granted <- time.Now()
				}
				time.Sleep(max(wait, time.Millisecond))
			}
		})
	}
	asking.Wait()
	total = len(granted)
	var within []time.Time
	for len(granted) > 0 {
		within = append(within, <-granted)
		for within[len(within)-1].Sub(within[0]) >= time.Second {
			within = within[1:]
		}
		most = max(most, len(within))
	}
	return most, total
}

const (
	coldRate = 5.8
	// coldBound is how many requests in a second an endpoint bears at least.
	coldBound = 13
	// minCold is how many permits in a second a fleet gets at least while it asks all the time.
	minCold = 5
)

// Guards against a cold endpoint that crashes because each node of a fleet that falls apart has a permit at the same moment.
func TestIsolatedNodesStayWithinTheRateOfAColdEndpoint(t *testing.T) {
	for _, nodes := range []int{3, 16, 30} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			withFleet(t, nodes, func(f *fleet) {
				for i := range f.services {
					f.setMembers(f.services[i:i+1], i, i+1)
				}
				if most, _ := f.coldPermits(coldRate, 20*time.Second); most > coldBound {
					t.Errorf("%d permits in a second, at most %d expected", most, coldBound)
				}
			})
		})
	}
}

// Guards against a cold endpoint that crashes because each of many nodes that start at once takes itself for the whole fleet.
func TestStartingNodesIssueNoColdPermits(t *testing.T) {
	const nodes, settleTime = 16, time.Second
	withFleet(t, nodes, func(f *fleet) {
		startedAt := time.Now()
		for i, mesh := range f.meshes {
			f.services[i] = chiverate.New(mesh)
			f.services[i].SetSettled(func() bool { return time.Since(startedAt) >= settleTime })
			f.setMembers(f.services[i:i+1], i, i+1)
		}
		time.AfterFunc(settleTime/2, func() { f.setMembers(f.services, 0, nodes) })
		if most, _ := f.coldPermits(coldRate, 5*time.Second); most > coldBound || most < minCold {
			t.Errorf("%d permits in a second, between %d and %d expected", most, minCold, coldBound)
		}
	})
}

// Guards against a cold endpoint that crashes because its owner and the next one, after a change of the fleet, both issue
// permits for the whole rate.
func TestNewOwnerStaysWithinTheRateOfAColdEndpoint(t *testing.T) {
	const nodes = 9
	withFleet(t, nodes, func(f *fleet) {
		go func() {
			for end := nodes - 1; end > 2; end-- {
				time.Sleep(700 * time.Millisecond)
				for i := range f.services {
					// The nodes learn of the change one after the other.
					f.setMembers(f.services[i:i+1], 0, end)
					time.Sleep(30 * time.Millisecond)
				}
			}
		}()
		if most, _ := f.coldPermits(coldRate, 8*time.Second); most > coldBound {
			t.Errorf("%d permits in a second, at most %d expected", most, coldBound)
		}
	})
}

// Guards against a cold endpoint that crashes because nodes of an earlier release take their even parts of its rate beside the
// permits for the whole of it.
func TestPermitsLeaveOutThePartOfAnEarlierRelease(t *testing.T) {
	const nodes, earlier, duration = 8, 3, 20 * time.Second
	withFleet(t, nodes, func(f *fleet) {
		// The messages of the services that are replaced have arrived.
		time.Sleep(time.Second)
		for i, mesh := range f.meshes {
			f.services[i] = chiverate.New(mesh)
			if i < earlier {
				chivewire.Receive(mesh, chivewire.KindPermitUser, func(string, chiverate.PermitUser) {})
			}
		}
		f.services = f.services[earlier:]
		f.setMembers(f.services, 0, nodes)
		time.Sleep(time.Second)
		_, total := f.coldPermits(coldRate, duration)
		granted := float64(total)
		if most := coldRate * duration.Seconds() * (nodes - earlier) / nodes; granted > most+burst || granted < 0.8*most {
			t.Errorf("%.0f permits in %v, about %.0f expected", granted, duration, most)
		}
	})
}

// Guards against a node that restarts before the others miss it, takes all of them for nodes of an earlier release, and gets next
// to no permits.
func TestRestartedNodeLearnsAgainWhoUsesPermits(t *testing.T) {
	const nodes, duration = 8, 20 * time.Second
	withFleet(t, nodes, func(f *fleet) {
		time.Sleep(time.Second)
		f.services = []*chiverate.Service{chiverate.New(f.meshes[nodes-1])}
		f.setMembers(f.services, 0, nodes)
		time.Sleep(time.Second)
		if _, total := f.coldPermits(coldRate, duration); float64(total) < 0.8*coldRate*duration.Seconds() {
			t.Errorf("%d permits in %v, about %.0f expected", total, duration, coldRate*duration.Seconds())
		}
	})
}
