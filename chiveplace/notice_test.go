package chiveplace_test

import (
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"chivedrift/chivedirectory"
	"chivedrift/chiveplace"
	"chivedrift/chiverequest"
)

// newNoticePool returns a pool with endpoints e0, e1 and so on.
func newNoticePool(count int) (pool *chiveplace.Pool, endpoints []chivedirectory.Endpoint) {
	pool = chiveplace.NewSeededPool("z0", 1)
	for i := range count {
		endpoints = append(endpoints, chivedirectory.Endpoint{ID: fmt.Sprintf("e%d", i), Pool: "p", Born: 1})
	}
	pool.SetEndpoints(endpoints)
	return pool, endpoints
}

// takePlain takes a place for a plain request.
func takePlain(t *testing.T, pool *chiveplace.Pool) *chiveplace.Place {
	t.Helper()
	place, err := pool.Take(time.Now(), chiveplace.Ask{})
	if err != nil {
		t.Fatal(err)
	}
	return place
}

// checkRefused checks that a pool has no place for a request, and returns when to come back.
func checkRefused(t *testing.T, pool *chiveplace.Pool, when string) time.Duration {
	t.Helper()
	var refused *chiveplace.RefusedError
	if _, err := pool.Take(time.Now(), chiveplace.Ask{}); !errors.As(err, &refused) || refused.RetryAfter <= 0 {
		t.Errorf("%s: got %v, want a refusal with a time to come back", when, err)
		return 0
	}
	return refused.RetryAfter
}

// Guards against a statement of an endpoint that is forgotten when its entry expires and comes back, or that also counts for
// its next process.
func TestLeavingOutlastsTheEntryAndEndsWithTheProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool, endpoints := newNoticePool(1)
		early, late := takePlain(t, pool), takePlain(t, pool)
		if leaves, _ := early.StateNotice(time.Now(), chiverequest.Notice{Leaving: true}); !leaves {
			t.Error("the first statement is not reported as new")
		}
		if leaves, _ := late.StateNotice(time.Now(), chiverequest.Notice{Leaving: true}); leaves || late.Accepts(time.Now()) || !late.Leaving(time.Now()) {
			t.Error("the second statement is reported as new, or a placed request is still accepted")
		}
		checkRefused(t, pool, "after the statement")
		pool.SetEndpoints(nil)
		time.Sleep(5 * time.Minute)
		pool.SetEndpoints(endpoints)
		checkRefused(t, pool, "after the entry came back")
		if counts := pool.NoticeCounts(time.Now()); counts.Leaving != 1 {
			t.Errorf("%+v endpoints with notices, want one that is leaving", counts)
		}
		if states := pool.States(time.Now()); states[0].LeavingForMs != (5 * time.Minute).Milliseconds() {
			t.Errorf("the state shows %d ms", states[0].LeavingForMs)
		}
		endpoints[0].Born = 2
		pool.SetEndpoints(endpoints)
		takePlain(t, pool)
	})
}

// Guards against a statement that arrives after the endpoint's entry has expired and is lost when it comes back.
func TestStatementAfterTheEntryExpiredCounts(t *testing.T) {
	pool, endpoints := newNoticePool(1)
	place := takePlain(t, pool)
	pool.SetEndpoints(nil)
	place.StateNotice(time.Now(), chiverequest.Notice{Leaving: true})
	pool.SetEndpoints(endpoints)
	checkRefused(t, pool, "after the entry came back")
	if place.Accepts(time.Now()) {
		t.Error("a placed request is still accepted")
	}
}

// Guards against an owner that grants places on endpoints that have notified the asking node that they are leaving.
func TestLeavingEndpointsAreNamedToOwnersAndTheirGrantsNotAdopted(t *testing.T) {
	pool, endpoints := newNoticePool(1)
	takePlain(t, pool).StateNotice(time.Now(), chiverequest.Notice{Leaving: true})
	incarnation := endpoints[0].Incarnation().Key()
	if passedOver := pool.PassedOver(time.Now()); len(passedOver) != 1 || passedOver[0] != incarnation {
		t.Errorf("passed over: %v", passedOver)
	}
	if _, ok := pool.Adopt(time.Now(), chiveplace.Grant{Endpoint: incarnation}, chiveplace.Ask{Prompt: &chiverequest.Prompt{}}); ok {
		t.Error("a grant on a leaving endpoint was adopted")
	}
}

// Guards against rests that are cut short by a shorter one or by a response to an earlier request, and against a rush of
// requests after a rest.
func TestRestLastsToItsEndAndIsFollowedByProbes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool, _ := newNoticePool(1)
		first, second, early := takePlain(t, pool), takePlain(t, pool), takePlain(t, pool)
		if _, rests := first.StateNotice(time.Now(), chiverequest.Notice{Rest: 4 * time.Second}); !rests || early.Accepts(time.Now()) {
			t.Error("the rest is not reported as new, or a placed request is still accepted")
		}
		if _, rests := second.StateNotice(time.Now(), chiverequest.Notice{Rest: time.Second}); rests {
			t.Error("a shorter rest is reported as new")
		}
		time.Sleep(3 * time.Second)
		early.StateNotice(time.Now(), chiverequest.Notice{})
		if wait := checkRefused(t, pool, "before the end of the rest"); wait < time.Second || wait > 2*time.Second {
			t.Errorf("a caller is asked to return after %v, one second before the end of the rest", wait)
		}
		if counts := pool.NoticeCounts(time.Now()); counts.Resting != 1 {
			t.Errorf("%+v endpoints with notices, want one that is resting", counts)
		}
		time.Sleep(time.Second)
		probe := takePlain(t, pool)
		checkRefused(t, pool, "beside a probe")
		time.Sleep(300 * time.Millisecond)
		takePlain(t, pool)
		probe.StateNotice(time.Now(), chiverequest.Notice{})
		takePlain(t, pool)
		takePlain(t, pool)
	})
}

// Guards against endpoints that lose the requests of all nodes since they asked one node, which places those of others, for rest.
func TestRestConcernsTheNodeThatWasAsked(t *testing.T) {
	pool, endpoints := newNoticePool(1)
	takePlain(t, pool).StateNotice(time.Now(), chiverequest.Notice{Rest: time.Minute})
	if _, err := pool.Grant(time.Now(), "peer", 1, chiveplace.Ask{Among: []string{"e0"}}); err != nil {
		t.Errorf("a place for another node: %v", err)
	}
	incarnation := endpoints[0].Incarnation().Key()
	if passedOver := pool.PassedOver(time.Now()); len(passedOver) != 1 || passedOver[0] != incarnation {
		t.Errorf("passed over: %v", passedOver)
	}
	if _, ok := pool.Adopt(time.Now(), chiveplace.Grant{Endpoint: incarnation}, chiveplace.Ask{Prompt: &chiverequest.Prompt{}}); ok {
		t.Error("a grant on a resting endpoint was adopted")
	}
}
