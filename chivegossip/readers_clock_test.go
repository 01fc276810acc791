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

// firstEarly returns how long after a start at once the first node reads, if the wall clock of the node with a rank is ahead by a time
// (behind, if negative). Each node knows all others at once.
func firstEarly(size, rank int, ahead time.Duration) time.Duration {
	start := time.Now()
	members := membersStartedAt(start, size)
	order := chivemember.AddressesByHash(members)
	var services []*chivegossip.Service
	for _, self := range members {
		// A node compares the others' incarnations with its own clock; the test's nodes share one clock, so the difference goes into
		// the incarnations that each of them sees.
		seen := make([]chivemember.Member, size)
		for i, m := range members {
			seen[i] = m
			if m.Address == order[rank] {
				seen[i].Incarnation += ahead.Milliseconds()
			}
			if self.Address == order[rank] {
				seen[i].Incarnation -= ahead.Milliseconds()
			}
		}
		s := chivegossip.New(chivegossip.Options{
			Mesh: chivewire.NewMesh(self.Address, chivestand.NewNetwork()), Tables: &fakeTables{version: 1},
			Endpoints: &fakeEndpoints{d: chivedirectory.New(time.Second)}, Logger: slog.New(slog.DiscardHandler),
		})
		s.SetMembers(seen)
		services = append(services, s)
	}
	for {
		for _, s := range services {
			if s.ReadsEarly() {
				return time.Since(start)
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// Guards against a fleet that starts at once in which nobody reads the store because one node's wall clock is behind.
func TestFirstReadersReadEarlyThoughAClockIsBehind(t *testing.T) {
	const want = time.Second
	for _, size := range []int{3, 8, 24} {
		for _, ahead := range []time.Duration{-5 * time.Second, -2 * time.Second, -time.Second, time.Second, 2 * time.Second, 5 * time.Second} {
			for rank := range min(size, chivegossip.Readers) {
				t.Run(fmt.Sprintf("%d nodes, rank %d, clock %v", size, rank, ahead), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						if first := firstEarly(size, rank, ahead); first > want {
							t.Errorf("the first node reads after %v, want at most %v", first, want)
						}
					})
				})
			}
		}
	}
}
