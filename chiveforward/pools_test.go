package chiveforward_test

import (
	"context"
	"net/http"
	"testing"

	"chivedrift/chivedirectory"
	"chivedrift/chiveforward"
	"chivedrift/chivetable"
)

// Guards against an endpoint that moves to another pool and still gets requests of the former one.
func TestEndpointLeavesItsFormerPool(t *testing.T) {
	e := newEndpoint(t, echo)
	s := newFixture(t, chivetable.Route{Attempts: 1}, e.registration("one"))
	moved := e.registration("one")
	moved.Pool = "other"
	s.pools.ApplyEndpoints(chivedirectory.Diff{Changed: []chivedirectory.Endpoint{moved}})
	request := s.request(http.MethodGet, "")
	if result := s.forwarder.Run(context.Background(), request, &recordingSink{}); result.Outcome != chiveforward.NotRun || e.requests() != 0 {
		t.Errorf("got %+v after %d requests", result, e.requests())
	}
	request = s.request(http.MethodGet, "")
	request.Pool = "other"
	if result := s.forwarder.Run(context.Background(), request, &recordingSink{}); result.Outcome != chiveforward.Completed {
		t.Errorf("got %+v", result)
	}
	s.pools.ApplyEndpoints(chivedirectory.Diff{Gone: []chivedirectory.Endpoint{moved}})
	if result := s.forwarder.Run(context.Background(), request, &recordingSink{}); result.Outcome != chiveforward.NotRun {
		t.Errorf("got %+v", result)
	}
}
