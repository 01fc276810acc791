package chiveplace_test

import (
	"testing"
	"testing/synctest"
	"time"

	"chivedrift/chivedirectory"
	"chivedrift/chiveplace"
)

// Guards against an endpoint that gets no requests after a time without any, because it is assumed to be slower than the
// endpoints that answer.
func TestEndpointThatWasNotUsedGetsItsShareAgain(t *testing.T) {
	for _, responseTime := range []time.Duration{2 * time.Millisecond, 20 * time.Millisecond, 200 * time.Millisecond} {
		t.Run(responseTime.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				pool := chiveplace.NewSeededPool("z0", 1)
				pool.SetEndpoints([]chivedirectory.Endpoint{{ID: "a", Pool: "p", FailureDomain: "z0"}, {ID: "b", Pool: "p", FailureDomain: "z1"}, {ID: "c", Pool: "p", FailureDomain: "z0"}})
				serve := func(count int, exclude ...string) (atC int) {
					for range count {
						place, err := pool.Take(time.Now(), chiveplace.Ask{Exclude: exclude})
						if err != nil {
							t.Fatal(err)
						}
						if place.Endpoint().ID == "c" {
							atC++
						}
						time.Sleep(responseTime)
						place.Done(time.Now(), chiveplace.EndedWell)
					}
					return atC
				}
				serve(100)
				unused := chivedirectory.Incarnation{ID: "c"}.Key()
				for start := time.Now(); time.Since(start) < 30*time.Second; {
					serve(100, unused)
				}
				if got := serve(100); got < 25 {
					t.Errorf("the endpoint got %d of 100 requests, want about half of them", got)
				}
			})
		})
	}
}
