//go:build !race

package chiverate_test

import (
	"slices"
	"sync"
	"testing"
	"time"

	"chivedrift/chivemember"
	"chivedrift/chiveroute"
)

// owned returns the members of the fleet, the owner of the rate, and the members without it.
func (f *fleet) owned() (members []chivemember.Member, owner string, without []chivemember.Member) {
	for _, mesh := range f.meshes {
		members = append(members, chivemember.Member{Name: mesh.Self(), Address: mesh.Self(), State: chivemember.Alive})
	}
	owner, _ = chiveroute.Owner("rate/"+rateKey, members)
	without = slices.DeleteFunc(slices.Clone(members), func(m chivemember.Member) bool { return m.Address == owner })
	return members, owner, without
}

// Guards against an owner that saves up permits while another node owns the rate, and issues them when it owns it again.
func TestOwnerThatReturnsHasNoPermitsSavedUp(t *testing.T) {
	const (
		nodes     = 8
		perSecond = 20
		changes   = 20
		interval  = 500 * time.Millisecond
	)
	withFleet(t, nodes, func(f *fleet) {
		members, _, without := f.owned()
		var changed sync.WaitGroup
		changed.Go(func() {
			for i := range changes {
				time.Sleep(interval)
				now := members
				if i%2 == 0 {
					now = without
				}
				for _, s := range f.services {
					s.SetMembers(now)
				}
			}
		})
		duration := changes * interval
		granted := float64(f.take(f.services, perSecond, duration))
		changed.Wait()
		if most := perSecond*duration.Seconds() + burst; granted > most {
			t.Errorf("%.0f permits in %v while the owner leaves and returns, want at most %.0f", granted, duration, most)
		}
	})
}

// Guards against a former owner that goes on issuing permits to nodes that do not know its successor yet.
func TestFormerOwnerIssuesNoPermitsBesideItsSuccessor(t *testing.T) {
	const (
		nodes     = 8
		perSecond = 20
		duration  = 8 * time.Second
		unaware   = 3 * time.Second
	)
	withFleet(t, nodes, func(f *fleet) {
		_, owner, without := f.owned()
		var changed sync.WaitGroup
		changed.Go(func() {
			time.Sleep(duration / 4)
			for i, s := range f.services {
				if i >= nodes/2 || f.meshes[i].Self() == owner {
					s.SetMembers(without)
				}
			}
			time.Sleep(unaware)
			for _, s := range f.services {
				s.SetMembers(without)
			}
		})
		granted := float64(f.take(f.services, perSecond, duration))
		changed.Wait()
		if most := perSecond*duration.Seconds() + burst; granted > most {
			t.Errorf("%.0f permits in %v while half of the nodes ask the former owner, want at most %.0f", granted, duration, most)
		}
	})
}
