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

// longRequest has a shared part of 13,000 tokens and an own one.
func longRequest(own uint64) *chiverequest.Request {
	return &chiverequest.Request{Pool: "p", Prompt: &chiverequest.Prompt{
		Parts: []chiverequest.Part{{ID: 7, Tokens: 13_000}, {ID: own, Tokens: 3700}}, Input: 16_700, Target: 2500 * time.Millisecond, Pause: 1200 * time.Millisecond,
	}}
}

// Guards against computing a shared prefix again in a second group instead of fetching it from the first.
func TestSecondGroupFetchesWhatTheFirstHolds(t *testing.T) {
	const engines = 18
	owners := []*node{startNode(t, chivestand.FreeAddress()), startNode(t, chivestand.FreeAddress())}
	asker := startNode(t, chivestand.FreeAddress())
	addresses := []string{owners[0].mesh.Self(), owners[1].mesh.Self()}
	table, err := chivetable.New(chivetable.Spec{Pools: []chivetable.Pool{{Name: "p", Engine: engine}}})
	if err != nil {
		t.Fatal(err)
	}
	var endpoints []chivedirectory.Endpoint
	for i := range engines {
		endpoints = append(endpoints, chivedirectory.Endpoint{ID: fmt.Sprintf("e%d", i), Pool: "p", Address: fmt.Sprintf("127.0.0.1:%d", 1000+i)})
	}
	for _, n := range append(owners, asker) {
		n.know(t, engines, addresses, 20)
		n.pool.SetEndpoints(endpoints)
		n.grant.SetTable(table)
		n.grant.ApplyEndpoints(chivedirectory.Diff{Changed: endpoints})
		n.grant.Divide()
	}
	first, err := asker.grant.Place(context.Background(), asker.pool, longRequest(100), chiveplace.Ask{})
	if err != nil {
		t.Fatal(err)
	}
	time.Sleep(time.Second)
	home := asker.grant.OwnerOf(first.Endpoint().Incarnation().Key())
	for _, k := range owners {
		if k.mesh.Self() != home {
			continue
		}
		busy := chiveplace.Report{}
		for _, e := range endpoints {
			if asker.grant.OwnerOf(e.Incarnation().Key()) == home {
				busy.Loads = append(busy.Loads, chiveplace.Load{Endpoint: e.Incarnation().Key(), Requests: 9, Waiting: []int64{90_000}})
			}
		}
		if len(busy.Loads) == engines {
			t.Fatal("both groups have one owner")
		}
		k.pool.Hear(time.Now(), "other", &busy)
	}
	next, err := asker.grant.Place(context.Background(), asker.pool, longRequest(200), chiveplace.Ask{})
	if err != nil {
		t.Fatal(err)
	}
	if asker.grant.OwnerOf(next.Endpoint().Incarnation().Key()) == home {
		t.Fatal("the request waits in the group that has too much to do")
	}
	if next.FetchFrom() != first.Endpoint().Address || next.Fetches() != 13_000 || next.Reads() != 3700 {
		t.Errorf("reads %d tokens, fetches %d from %q, expected 3700, and 13000 from %s", next.Reads(), next.Fetches(), next.FetchFrom(), first.Endpoint().Address)
	}
}
