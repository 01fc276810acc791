package chiverate_test

import (
	"testing"
	"time"

	"chivedrift/chiverate"
	"chivedrift/chiverequest"

	"pgregory.net/rapid"
)

// Guards against an endpoint that crashes because it has to refuse more requests in a second than it can, whatever room
// it has when permits are issued.
func TestPermitsNeverCauseTooManyRefusals(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Now()
		limits := chiverequest.Limits{Refusals: rapid.IntRange(1, 9).Draw(t, "limit")}
		bucket := chiverate.NewBucket(now)
		var refusals []time.Time
		var reports []time.Time
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "elapsed")) * time.Millisecond)
			for len(reports) > 0 && !reports[0].After(now) {
				bucket.Refused(reports[0], "n", 0)
				reports = reports[1:]
			}
			if granted, wait := bucket.Take(now, "n", limits); !granted {
				if wait <= 0 {
					t.Fatalf("no permit and a wait of %v", wait)
				}
				continue
			}
			if rapid.Bool().Draw(t, "refused") {
				refusals = append(refusals, now)
				reports = append(reports, now.Add(time.Duration(rapid.IntRange(1, 90).Draw(t, "delay"))*time.Millisecond))
			}
			within := 0
			for _, at := range refusals {
				if now.Sub(at) < time.Second {
					within++
				}
			}
			if within > limits.Refusals {
				t.Fatalf("%d refusals in a second, limit %d", within, limits.Refusals)
			}
		}
	})
}
