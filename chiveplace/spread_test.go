package chiveplace_test

import (
	"fmt"
	"testing"
	"time"

	"chivedrift/chivedirectory"
	"chivedrift/chiveplace"
)

// Guards against hundreds of nodes with few requests each that all send them to the same replica of a plain service.
func TestNodesWithFewRequestsSpreadOverReplicas(t *testing.T) {
	const nodes, replicas = 400, 20
	var endpoints []chivedirectory.Endpoint
	for i := range replicas {
		endpoints = append(endpoints, chivedirectory.Endpoint{ID: fmt.Sprintf("e%d", i), Pool: "p", FailureDomain: "a"})
	}
	requestsByEndpoint := make(map[string]int)
	for seed := range uint64(nodes) {
		p := chiveplace.NewSeededPool("a", seed)
		p.SetEndpoints(endpoints)
		place, err := p.Take(time.Now(), chiveplace.Ask{})
		if err != nil {
			t.Fatal(err)
		}
		requestsByEndpoint[place.Endpoint().ID]++
	}
	const mean = nodes / replicas
	for id, requests := range requestsByEndpoint {
		if requests > 2*mean {
			t.Errorf("%s gets %d requests, the mean is %d", id, requests, mean)
		}
	}
	if len(requestsByEndpoint) != replicas {
		t.Errorf("%d of %d replicas get requests", len(requestsByEndpoint), replicas)
	}
}
