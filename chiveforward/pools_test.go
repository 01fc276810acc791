package chiveforward_test

import (
	"context"
	"net/http"
	"testing"

	"chivedrift/chivedirectory"
	"chivedrift/chiveforward"
	"chivedrift/chivetable"
)

// Guards against an endpoint that goes on getting requests of the pool that it has left for another one.
func TestEndpointThatChangesItsPoolLeavesTheFormer(t *testing.T) {
	e := newEndpoint(t, plain)
	s := newSetup(t, chivetable.Route{Attempts: 1}, e.entry("one"))
	moved := e.entry("one")
	moved.Pool = "other"
	s.pools.ApplyEndpoints(chivedirectory.Diff{Changed: []chivedirectory.Endpoint{moved}})
	request := s.request(http.MethodGet, "")
	if result := s.forwarder.Run(context.Background(), request, &caller{}); result.Outcome != chiveforward.NotRun || e.requests() != 0 {
		t.Errorf("got %+v after %d requests", result, e.requests())
	}
	request = s.request(http.MethodGet, "")
	request.Pool = "other"
	if result := s.forwarder.Run(context.Background(), request, &caller{}); result.Outcome != chiveforward.Completed {
		t.Errorf("got %+v", result)
	}
	s.pools.ApplyEndpoints(chivedirectory.Diff{Gone: []chivedirectory.Endpoint{moved}})
	if result := s.forwarder.Run(context.Background(), request, &caller{}); result.Outcome != chiveforward.NotRun {
		t.Errorf("got %+v", result)
	}
}
