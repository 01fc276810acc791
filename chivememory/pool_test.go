//go:build !race

package chivememory_test

import (
	"testing"
	"testing/synctest"
	"time"

	"chivedrift/chivememory"
)

const (
	kilobyte = 1 << 10
	poolSize = 100 * kilobyte
	// shared is the part of the pool that large requests may use.
	shared = 75 * kilobyte
	stall  = 2 * time.Second
)

func begin(p *chivememory.Pool, ended *int) *chivememory.Reservation {
	return p.Begin(func() { *ended++ })
}

func mustAdd(t *testing.T, r *chivememory.Reservation, bytes int64, want bool) {
	t.Helper()
	if got := r.Add(bytes); got != want {
		t.Fatalf("adding %d bytes: %v, want %v", bytes, got, want)
	}
}

// Guards against large requests that leave nothing to small ones.
func TestLargeRequestsLeaveAShareToSmallOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool, ended := chivememory.NewPool(poolSize), 0
		mustAdd(t, begin(pool, &ended), shared, true)
		mustAdd(t, begin(pool, &ended), 20*kilobyte, false)
		small := begin(pool, &ended)
		mustAdd(t, small, 10*kilobyte, true)
		mustAdd(t, small, 10*kilobyte, false)
		if counts := pool.Counts(); counts.Used != 85*kilobyte || counts.Refused != 2 || ended != 0 {
			t.Errorf("%+v, %d ended", counts, ended)
		}
	})
}

// Guards against requests that are refused for the sake of one that stopped sending, and against one that is ended while it still sends.
func TestStalledRequestGivesWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool, stalledEnded, slowEnded, newEnded := chivememory.NewPool(poolSize), 0, 0, 0
		stalled, slow := begin(pool, &stalledEnded), begin(pool, &slowEnded)
		mustAdd(t, stalled, 40*kilobyte, true)
		mustAdd(t, slow, 30*kilobyte, true)
		time.Sleep(stall)
		slow.Progress()
		newcomer := begin(pool, &newEnded)
		mustAdd(t, newcomer, 45*kilobyte, true)
		mustAdd(t, newcomer, 20*kilobyte, false)
		synctest.Wait()
		if stalledEnded != 1 || slowEnded != 0 || stalled.Complete() || stalled.Add(1) {
			t.Errorf("stalled one ended %d times, slow one %d times", stalledEnded, slowEnded)
		}
		if !slow.Complete() {
			t.Error("the slow one has given way")
		}
	})
}

// Guards against a request that is ended before another one that has brought nothing for longer, whichever began first.
func TestStalledRequestsGiveWayInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool, newEnded := chivememory.NewPool(poolSize), 0
		var ended [3]int
		var stalled [3]*chivememory.Reservation
		for i := range stalled {
			stalled[i] = begin(pool, &ended[i])
			mustAdd(t, stalled[i], 25*kilobyte, true)
		}
		order := []int{1, 2, 0}
		for _, i := range order {
			time.Sleep(time.Millisecond)
			stalled[i].Progress()
		}
		time.Sleep(stall)
		var want [3]int
		for _, i := range order {
			mustAdd(t, begin(pool, &newEnded), 25*kilobyte, true)
			synctest.Wait()
			if want[i] = 1; ended != want || newEnded != 0 {
				t.Fatalf("ended %v, want %v; new ones %d", ended, want, newEnded)
			}
		}
	})
}

// Guards against requests that keep the memory since they bring a byte now and then.
func TestSlowRequestGivesWayIfNoneHasStalled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool, firstEnded, secondEnded, newEnded := chivememory.NewPool(poolSize), 0, 0, 0
		first := begin(pool, &firstEnded)
		mustAdd(t, first, 35*kilobyte, true)
		time.Sleep(time.Second)
		second := begin(pool, &secondEnded)
		mustAdd(t, second, 35*kilobyte, true)
		trickle := func(times int) {
			for range times {
				time.Sleep(900 * time.Millisecond)
				first.Progress()
				second.Progress()
			}
		}
		trickle(9)
		mustAdd(t, begin(pool, &newEnded), 30*kilobyte, false)
		if pool.EndOne(chivememory.StallTime) {
			t.Error("a request was ended that is not slow")
		}
		trickle(1)
		if pool.EndStalled() > 0 {
			t.Error("a request was ended that has not stalled")
		}
		mustAdd(t, begin(pool, &newEnded), 30*kilobyte, true)
		synctest.Wait()
		if firstEnded != 1 || secondEnded != 0 || newEnded != 0 {
			t.Errorf("first ended %d times, second %d, new ones %d", firstEnded, secondEnded, newEnded)
		}
	})
}

// Guards against a request that is ended although it was read as a whole, while its endpoint takes long.
func TestCompleteRequestDoesNotGiveWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool, ended := chivememory.NewPool(poolSize), 0
		complete := begin(pool, &ended)
		mustAdd(t, complete, shared, true)
		if !complete.Complete() {
			t.Error("the request gave way in calm")
		}
		time.Sleep(stall)
		mustAdd(t, begin(pool, &ended), 20*kilobyte, false)
		if count := pool.EndStalled(); count != 0 || ended != 0 {
			t.Errorf("%d requests ended", count)
		}
		complete.Release()
		complete.Release()
		mustAdd(t, begin(pool, &ended), shared, true)
		if used := pool.Counts().Used; used != shared {
			t.Errorf("%d bytes in use", used)
		}
	})
}

// Guards against memory that stays reserved, or is returned twice.
func TestReservationsReturnWhatTheyHold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool, ended := chivememory.NewPool(poolSize), 0
		for range 10 {
			r := begin(pool, &ended)
			mustAdd(t, r, 30*kilobyte, true)
			r.Return(10 * kilobyte)
			r.Return(poolSize)
			mustAdd(t, r, 5*kilobyte, true)
			r.Release()
		}
		stalled := begin(pool, &ended)
		mustAdd(t, stalled, 30*kilobyte, true)
		time.Sleep(stall)
		if pool.EndStalled() != 1 {
			t.Error("the stalled request was not ended")
		}
		stalled.Release()
		if counts := pool.Counts(); counts.Used != 0 || counts.Arriving != 0 || counts.Most != 30*kilobyte {
			t.Errorf("%+v", counts)
		}
	})
}
