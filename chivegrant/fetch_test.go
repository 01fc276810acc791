package chivegrant_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"chivedrift/chivedirectory"
	"chivedrift/chiveplace"
	"chivedrift/chiverequest"
	"chivedrift/chivestand"
	"chivedrift/chivetable"
)

// longRequest returns a request whose prompt has a shared part of 13,000 tokens and a part of its own.
func longRequest(id uint64) *chiverequest.Request {
	return &chiverequest.Request{Pool: "p", Prompt: &chiverequest.Prompt{
		Parts: []chiverequest.Part{{ID: 7, Tokens: 13_000}, {ID: id, Tokens: 3700}}, Input: 16_700, Target: 2500 * time.Millisecond, Pause: 1200 * time.Millisecond,
	}}
}

// Guards against recomputing a shared prefix in the secondary group instead of fetching it from the primary one.
func TestSecondaryGroupFetchesPrefixFromPrimary(t *testing.T) {
	const engines = 18
	owners := []*node{startNode(t, chivestand.FreeAddress()), startNode(t, chivestand.FreeAddress())}
	requester := startNode(t, chivestand.FreeAddress())
	addresses := []string{owners[0].mesh.Self(), owners[1].mesh.Self()}
	table, err := chivetable.New(chivetable.Spec{Pools: []chivetable.Pool{{Name: "p", Engine: engine}}})
	if err != nil {
		t.Fatal(err)
	}
	var endpoints []chivedirectory.Endpoint
	for i := range engines {
		endpoints = append(endpoints, chivedirectory.Endpoint{ID: fmt.Sprintf("e%d", i), Pool: "p", Address: fmt.Sprintf("127.0.0.1:%d", 1000+i)})
	}
	for _, n := range append(owners, requester) {
		n.setFleet(t, engines, addresses, 20)
		n.pool.SetEndpoints(endpoints)
		n.service.SetTable(table)
		n.service.ApplyEndpoints(chivedirectory.Diff{Changed: endpoints})
		n.service.Divide()
	}
	first, err := requester.service.Place(context.Background(), requester.pool, longRequest(100), chiveplace.Ask{})
	if err != nil {
		t.Fatal(err)
	}
	time.Sleep(time.Second)
	primaryOwner := requester.service.OwnerOf(first.Endpoint().Incarnation().Key())
	for _, owner := range owners {
		if owner.mesh.Self() != primaryOwner {
			continue
		}
		report := chiveplace.Report{}
		for _, e := range endpoints {
			if requester.service.OwnerOf(e.Incarnation().Key()) == primaryOwner {
				report.Loads = append(report.Loads, chiveplace.Load{Endpoint: e.Incarnation().Key(), Requests: 9, Waiting: []int64{90_000}})
			}
		}
		if len(report.Loads) == engines {
			t.Fatal("both groups have the same owner")
		}
		owner.pool.Hear(time.Now(), "other", &report)
	}
	second, err := requester.service.Place(context.Background(), requester.pool, longRequest(200), chiveplace.Ask{})
	if err != nil {
		t.Fatal(err)
	}
	if requester.service.OwnerOf(second.Endpoint().Incarnation().Key()) == primaryOwner {
		t.Fatal("the request was placed in the overloaded primary group")
	}
	if second.FetchFrom() != first.Endpoint().Address || second.Fetches() != 13_000 || second.Reads() != 3700 {
		t.Errorf("reads %d tokens and fetches %d from %q, want 3700 and 13000 from %s", second.Reads(), second.Fetches(), second.FetchFrom(), first.Endpoint().Address)
	}
}
