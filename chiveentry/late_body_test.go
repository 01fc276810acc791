//go:build !race

package chiveentry_test

import (
	"testing"
	"testing/synctest"
	"time"

	"chivedrift/chivestand"
)

// Guards against a stop that still reads the body of a request that it has refused when it cuts what has not ended.
func TestStopEndsConnectionsOfRefusedRequestsBeforeTheCut(t *testing.T) {
	for name, head := range lateBodies {
		for _, before := range []bool{true, false} {
			t.Run(name+map[bool]string{true: " before the stop", false: " during the stop"}[before], func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { stopWithLateBody(t, chivestand.NewNetwork(), head, before, 180*time.Millisecond) })
			})
		}
	}
}
