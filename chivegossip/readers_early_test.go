package chivegossip_test

import (
	"fmt"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"chivedrift/chivedirectory"
	"chivedrift/chivegossip"
	"chivedrift/chivemember"
	"chivedrift/chivestand"
	"chivedrift/chivewire"
)

// membersStartedAt returns members that started at a time.
func membersStartedAt(started time.Time, count int) []chivemember.Member {
	members := make([]chivemember.Member, count)
	for i := range members {
		address := fmt.Sprintf("10.0.0.%d:82", i+1)
		members[i] = chivemember.Member{Name: address, Address: address, State: chivemember.Alive, Incarnation: started.UnixMilli()}
	}
	return members
}

// countEarly returns how many of the members read before they have settled, a time after they created their services.
func countEarly(members []chivemember.Member, after time.Duration) int {
	var services []*chivegossip.Service
	for _, m := range members {
		s := chivegossip.New(chivegossip.Options{
			Mesh: chivewire.NewMesh(m.Address, chivestand.NewNetwork()), Tables: &fakeTables{version: 1},
			Endpoints: &fakeEndpoints{d: chivedirectory.New(time.Second)}, Logger: slog.New(slog.DiscardHandler),
		})
		s.SetMembers(members)
		services = append(services, s)
	}
	time.Sleep(after)
	early := 0
	for _, s := range services {
		if s.ReadsEarly() {
			early++
		}
	}
	return early
}

// Guards against a fleet that starts at once in which nobody reads the store, or in which all nodes do.
func TestFirstReadersOfANewFleetReadEarly(t *testing.T) {
	// A reader begins this long after the one before it by rank.
	const step = 100 * time.Millisecond
	for _, size := range []int{1, 3, 24} {
		for reading := range min(size, chivegossip.Readers) + 1 {
			synctest.Test(t, func(t *testing.T) {
				after := step*time.Duration(reading) + step/2
				if early := countEarly(membersStartedAt(time.Now(), size), after); early != reading {
					t.Errorf("%d of %d nodes read %v after the start, want the first %d by rank", early, size, after, reading)
				}
			})
		}
	}
}

// Guards against nodes that read as soon as they restart although others read for them.
func TestRestartedNodesLeaveReadingToOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		if early := countEarly(membersStartedAt(time.Now().Add(-time.Minute), 8), time.Second); early != 0 {
			t.Errorf("%d nodes read while a reader has been running for a minute", early)
		}
	})
}
