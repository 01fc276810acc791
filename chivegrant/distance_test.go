package chivegrant_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"chivedrift/chivedistance"
	"chivedrift/chivegrant"
	"chivedrift/chivemember"
	"chivedrift/chiveplace"
	"chivedrift/chiveresidency"
	"chivedrift/chivestand"
	"chivedrift/chivewire"
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

// Guards against several questions to far owners that together take most of a request's target.
func TestFarOwnersTogetherTakeHalfOfTheTarget(t *testing.T) {
	const roundTrip, target = 100 * time.Millisecond, 400 * time.Millisecond
	owner := chivewire.NewMesh(chivestand.FreeAddress(), chivewire.TCP{})
	chivewire.Receive(owner, chivewire.KindPlaceAsk, func(from string, ask chivegrant.PlaceAsk) {
		time.AfterFunc(roundTrip, func() {
			_ = owner.Send(from, chivewire.KindPlaceAnswer, chivegrant.PlaceAnswer{Number: ask.Number, Refused: "full", Loss: 1})
		})
	})
	if err := owner.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	defer owner.Stop(context.Background())
	distances := chivedistance.New("here", chiveresidency.Map{"a": "here", "b": "there"})
	distances.SetMembers([]chivemember.Member{{Address: owner.Self(), Region: "there"}})
	distances.Observe(owner.Self(), roundTrip)
	n := startNode(t, chivestand.FreeAddress())
	n.service = chivegrant.New(chivegrant.Options{Mesh: n.mesh, Pools: singlePool{n.pool}, Distances: distances, Logger: slog.New(slog.DiscardHandler)})
	n.setFleet(t, 60, []string{owner.Self()}, 20)
	request, startedAt := newRequest(1), time.Now()
	request.Prompt.Target = target
	_, err := n.service.Place(t.Context(), n.pool, request, chiveplace.Ask{})
	if took := time.Since(startedAt); !errors.Is(err, chivegrant.ErrAlone) || took > target/2 {
		t.Errorf("waited %v of %v: %v", took, target, err)
	}
	if got := n.service.Counts(); got.Asked != 1 || got.Far == 0 {
		t.Errorf("counted %+v, want one question", got)
	}
}

// Guards against a log that names another wait for a silent owner than there was.
func TestLoggedWaitForSilentOwnerIsTheOneThatPassed(t *testing.T) {
	const roundTrip = 60 * time.Millisecond
	var log bytes.Buffer
	owner := chivestand.FreeAddress()
	distances := chivedistance.New("here", chiveresidency.Map{"a": "here", "b": "there"})
	distances.SetMembers([]chivemember.Member{{Address: owner, Region: "there"}})
	distances.Observe(owner, roundTrip)
	n := startNode(t, chivestand.FreeAddress())
	n.service = chivegrant.New(chivegrant.Options{Mesh: n.mesh, Pools: singlePool{n.pool}, Distances: distances, Logger: slog.New(slog.NewTextHandler(&log, nil))})
	n.setFleet(t, 8, []string{owner}, 20)
	startedAt := time.Now()
	// The connection is established while the request waits.
	distances.SetConnected(func(string) bool { return time.Since(startedAt) > roundTrip })
	_, _ = n.place(1)
	var waitedMs int64
	if _, logged, found := strings.Cut(log.String(), "waited_ms="); found {
		_, _ = fmt.Sscan(logged, &waitedMs)
	}
	if took := time.Since(startedAt).Milliseconds(); waitedMs < took-30 || waitedMs > took {
		t.Errorf("logged a wait of %d ms, it was %d ms: %s", waitedMs, took, log.String())
	}
}
