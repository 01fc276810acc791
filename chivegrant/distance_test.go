package chivegrant_test

import (
	"errors"
	"log/slog"
	"testing"
	"time"

	"chivedrift/chivedistance"
	"chivedrift/chivegrant"
	"chivedrift/chivemember"
	"chivedrift/chiveplace"
	"chivedrift/chiveresidency"
	"chivedrift/chivestand"
)

// Guards against a request that waits for an owner in another region for most of its target, or for a shorter time than the
// owner's answer takes.
func TestWaitForFarOwnerDependsOnTheTarget(t *testing.T) {
	const roundTrip = 60 * time.Millisecond
	owner := chivestand.FreeAddress()
	distances := chivedistance.New("here", chiveresidency.Map{"a": "here", "b": "there"})
	distances.SetMembers([]chivemember.Member{{Address: owner, Region: "there"}})
	distances.Observe(owner, roundTrip)
	n := startNode(t, chivestand.FreeAddress())
	n.service = chivegrant.New(chivegrant.Options{Mesh: n.mesh, Pools: singlePool{n.pool}, Distances: distances, Logger: slog.New(slog.DiscardHandler)})
	n.setFleet(t, 8, []string{owner}, 20)
	for _, c := range []struct {
		target   time.Duration
		shortest time.Duration
		counts   chivegrant.Counts
	}{
		{120 * time.Millisecond, 0, chivegrant.Counts{Far: 1}},
		{500 * time.Millisecond, roundTrip, chivegrant.Counts{Far: 1, Asked: 1, Silent: 1}},
	} {
		request, startedAt := newRequest(1), time.Now()
		request.Prompt.Target = c.target
		_, err := n.service.Place(t.Context(), n.pool, request, chiveplace.Ask{})
		if took := time.Since(startedAt); !errors.Is(err, chivegrant.ErrAlone) || took < c.shortest || took > c.target/2 {
			t.Errorf("target %v: waited %v, %v", c.target, took, err)
		}
		if got := n.service.Counts(); got != c.counts {
			t.Errorf("target %v: counted %+v, want %+v", c.target, got, c.counts)
		}
	}
}
