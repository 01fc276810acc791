package chiveforward_test

import (
	"context"
	"testing"
	"time"

	"chivedrift/chivedirectory"
	"chivedrift/chiveforward"
	"chivedrift/chiveplace"
	"chivedrift/chiverequest"
	"chivedrift/chivetable"
)

// countingRates grants every permit and counts those that are not released. The first one is granted as if the endpoint
// left at that moment.
type countingRates struct {
	pools *chiveforward.Pools
	inUse int
	left  bool
}

func (r *countingRates) Take(context.Context, string, chiverequest.Limits, time.Duration) (granted bool, wait time.Duration) {
	r.inUse++
	if !r.left {
		r.left = true
		r.pools.ApplyEndpoints(chivedirectory.Diff{Changed: []chivedirectory.Endpoint{{ID: "e", Pool: "p", State: chivedirectory.Leaving}}})
	}
	return true, 0
}

func (r *countingRates) TakeCold(ctx context.Context, key string, limits chiverequest.Limits, target time.Duration) (granted bool, wait time.Duration) {
	return r.Take(ctx, key, limits, target)
}

func (r *countingRates) Release(string, bool, int) { r.inUse-- }

// Guards against permits that count as in use though their requests were not sent, since the endpoint has just left.
func TestUnusedPermitIsReturned(t *testing.T) {
	pools := chiveforward.NewPools("z")
	rates := &countingRates{pools: pools}
	endpoint := chivedirectory.Endpoint{ID: "e", Pool: "p"}
	pools.ApplyEndpoints(chivedirectory.Diff{Changed: []chivedirectory.Endpoint{endpoint}})
	request := &chiverequest.Request{Pool: "p", Route: &chivetable.Route{Target: time.Millisecond}}
	place, err := pools.Take(context.Background(), request, nil)
	if err != nil {
		t.Fatal(err)
	}
	place.StateLimits(time.Now(), chiverequest.Limits{Refusals: 4})
	place.Done(time.Now(), chiveplace.EndedWell)
	pools.SetRates(rates)
	if _, err := pools.Take(context.Background(), request, nil); err == nil {
		t.Error("a request was placed on an endpoint that has left")
	}
	if rates.inUse != 0 {
		t.Errorf("%d permits are in use", rates.inUse)
	}
}
