//go:build !race

package chivequota_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"chivedrift/chivemember"
	"chivedrift/chivequota"
	"chivedrift/chiveroute"
	"chivedrift/chivestand"
	"chivedrift/chivewire"
)

const (
	team = "t"
	// limit and requestTokens are in tokens a second and tokens a request.
	limit         = 1000
	requestTokens = 20
	// burst is what a team may use at once: the tokens that a bucket holds, and one request into debt.
	burst = 2*limit + requestTokens
)

// fleet is a number of services on a simulated network.
type fleet struct {
	network  *chivestand.Network
	members  []chivemember.Member
	services []*chivequota.Service
}

// withFleet runs a test with services that know each other.
func withFleet(t *testing.T, nodes int, test func(f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{network: chivestand.NewNetwork()}
		var meshes []*chivewire.Mesh
		for i := range nodes {
			mesh := chivewire.NewMesh(fmt.Sprintf("10.0.0.%d:82", i+1), f.network)
			meshes, f.services = append(meshes, mesh), append(f.services, chivequota.NewService(mesh))
			f.members = append(f.members, chivemember.Member{Name: mesh.Self(), Address: mesh.Self(), State: chivemember.Alive})
			if err := mesh.Start(context.Background()); err != nil {
				t.Fatal(err)
			}
		}
		f.setMembers(f.services, f.members)
		test(f)
		for _, mesh := range meshes {
			if err := mesh.Stop(context.Background()); err != nil {
				t.Error(err)
			}
		}
	})
}

func (f *fleet) setMembers(services []*chivequota.Service, members []chivemember.Member) {
	for _, s := range services {
		s.SetMembers(slices.Clone(members))
	}
}

// use has services ask for the tokens of requests, as often as they may, and returns how many they got.
func (f *fleet) use(services []*chivequota.Service, duration time.Duration) (used int) {
	tokens := make(chan int)
	for _, s := range services {
		go func() {
			got := 0
			for end := time.Now().Add(duration); time.Now().Before(end); {
				ok, retryAfter := s.Take(context.Background(), team, limit, requestTokens)
				if ok {
					got += requestTokens
				}
				time.Sleep(max(retryAfter, 5*time.Millisecond))
			}
			tokens <- got
		}()
	}
	for range services {
		used += <-tokens
	}
	return used
}

// Guards against a team that gets more than its limit because its callers move between nodes.
func TestTeamWhoseCallersMoveStaysWithinItsLimit(t *testing.T) {
	const steps = 10
	withFleet(t, 9, func(f *fleet) {
		used := 0
		for i := range steps {
			used += f.use(f.services[i%3*3:i%3*3+3], 2*time.Second)
		}
		if most := 2*steps*limit + burst; used > most || used < most*9/10 {
			t.Errorf("%d tokens in %d s, want about %d", used, 2*steps, most)
		}
	})
}

// Guards against the sides of a partition that each give a team its whole limit.
func TestPartitionedNodesStayWithinTheLimitOfATeam(t *testing.T) {
	const (
		nodes    = 8
		duration = 20 * time.Second
	)
	for _, cutOff := range []int{1, 3, 4} {
		t.Run(fmt.Sprint(cutOff), func(t *testing.T) {
			withFleet(t, nodes, func(f *fleet) {
				f.setMembers(f.services[:cutOff], f.members[:cutOff])
				f.setMembers(f.services[cutOff:], f.members[cutOff:])
				used := f.use(f.services, duration)
				if most := int(duration.Seconds())*limit + 2*burst; used > most || used < most*8/10 {
					t.Errorf("%d tokens in %v, want about %d", used, duration, most)
				}
			})
		})
	}
}

// Guards against isolated nodes that each give a team its whole limit.
func TestIsolatedNodesStayWithinTheLimitOfATeam(t *testing.T) {
	const duration = 20 * time.Second
	withFleet(t, 8, func(f *fleet) {
		for i, s := range f.services {
			s.SetMembers([]chivemember.Member{f.members[i]})
		}
		if used, most := f.use(f.services, duration), int(duration.Seconds())*limit+burst+len(f.services)*requestTokens; used > most {
			t.Errorf("%d tokens in %v, want at most %d", used, duration, most)
		}
	})
}

// Guards against owners of a team that each give it a burst whenever they become the owner.
func TestOwnersThatChangeGiveATeamNoBurstEach(t *testing.T) {
	const (
		changes  = 20
		interval = 500 * time.Millisecond
	)
	withFleet(t, 8, func(f *fleet) {
		owner, _ := chiveroute.Owner("quota/"+team, f.members)
		without := slices.DeleteFunc(slices.Clone(f.members), func(m chivemember.Member) bool { return m.Address == owner })
		var changed sync.WaitGroup
		changed.Go(func() {
			for i := range changes {
				time.Sleep(interval)
				if i%2 == 0 {
					f.setMembers(f.services, without)
				} else {
					f.setMembers(f.services, f.members)
				}
			}
		})
		duration := changes * interval
		used := f.use(f.services, duration)
		changed.Wait()
		if most := int(duration.Seconds())*limit + burst + changes*requestTokens; used > most {
			t.Errorf("%d tokens in %v while the owner leaves and returns, want at most %d", used, duration, most)
		}
	})
}

// Guards against callers who return when they were told to and are refused again, since a fraction of a millisecond was cut off.
func TestCallersMayReturnWhenToldTo(t *testing.T) {
	const oddLimit, largeRequest = 997, 331
	withFleet(t, 4, func(f *fleet) {
		for _, s := range f.services {
			for refused := 0; refused < 5; {
				ok, retryAfter := s.Take(context.Background(), team, oddLimit, largeRequest)
				if ok {
					continue
				}
				refused++
				time.Sleep(retryAfter)
				if ok, again := s.Take(context.Background(), team, oddLimit, largeRequest); !ok {
					t.Errorf("told to return after %v, then after %v more", retryAfter, again)
				}
			}
		}
	})
}

// Guards against a team that is refused while its owner does not answer.
func TestTeamIsServedWithoutItsOwner(t *testing.T) {
	withFleet(t, 4, func(f *fleet) {
		f.network.Block(func(from, to string) bool { return from != to })
		if used := f.use(f.services, 10*time.Second); used < 10*limit/2 {
			t.Errorf("%d tokens in 10 s without the owner, want at least half of the limit", used)
		}
	})
}
