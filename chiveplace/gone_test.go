package chiveplace_test

import (
	"errors"
	"testing"
	"time"

	"chivedrift/chivedirectory"
	"chivedrift/chiveplace"
)

// Guards against requests that are sent to an address where another process has just responded, for want of other endpoints.
func TestEndpointWhoseAddressIsTakenGetsNoRequests(t *testing.T) {
	pool, now := chiveplace.NewSeededPool("z0", 1), time.Now()
	e := chivedirectory.Endpoint{ID: "e0", Pool: "p", Born: 1, Address: "10.0.0.1:80"}
	pool.SetEndpoints([]chivedirectory.Endpoint{e})
	place, err := pool.Take(now, chiveplace.Ask{})
	if err != nil {
		t.Fatal(err)
	}
	place.Done(now, chiveplace.EndedGone)
	var refused *chiveplace.RefusedError
	if _, err := pool.Take(now.Add(time.Second), chiveplace.Ask{}); !errors.As(err, &refused) || refused.RetryAfter <= 0 {
		t.Errorf("a request a second later got %v", err)
	}
	if _, err := pool.Take(now.Add(5*time.Second), chiveplace.Ask{}); err != nil {
		t.Errorf("a request five seconds later got %v", err)
	}
	place.Done(now, chiveplace.EndedGone)
	e.Address = "10.0.0.2:80"
	pool.SetEndpoints([]chivedirectory.Endpoint{e})
	if _, err := pool.Take(now.Add(time.Second), chiveplace.Ask{}); err != nil {
		t.Errorf("after the endpoint registered another address, a request got %v", err)
	}
}
