//go:build !race

package chivecache_test

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"chivedrift/chivecache"
	"chivedrift/chivedirectory"
	"chivedrift/chiveplace"
	"chivedrift/chiverequest"
	"chivedrift/chivetable"
)

// countingCaches implements chivecache.Caches and chivecache.Pools and counts the queries.
type countingCaches struct {
	mu      sync.Mutex
	queries int
	pool    *chiveplace.Pool
}

func (c *countingCaches) Held(context.Context, chivedirectory.Endpoint) ([]chiverequest.Part, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queries++
	return nil, nil
}

func (c *countingCaches) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.queries
}

func (c *countingCaches) Pool(string) *chiveplace.Pool { return c.pool }

// joiningNode implements chivecache.Owners for a node that knows a large fleet some time after its start and then owns
// a part of the engines.
type joiningNode struct {
	startedAt  time.Time
	settleTime time.Duration
	ownedCount int
}

func (j joiningNode) Settled() bool { return time.Since(j.startedAt) > j.settleTime }

func (j joiningNode) Asking() bool { return j.Settled() }

func (j joiningNode) Owned(string) (owned []string) {
	for i := range j.ownedCount {
		owned = append(owned, fmt.Sprintf("i-%03d", i))
	}
	return owned
}

// Guards against a cold start in which every node queries the cache of every engine.
func TestJoiningNodeQueriesOnlyOwnedEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		caches := &countingCaches{pool: chiveplace.NewPool("a")}
		s := chivecache.New(chivecache.Options{
			Caches: caches, Pools: caches, Owners: joiningNode{time.Now(), 600 * time.Millisecond, 9}, Logger: slog.New(slog.DiscardHandler),
		})
		table, err := chivetable.New(chivetable.Spec{Version: 1, Pools: []chivetable.Pool{{Name: "pool", Engine: chivetable.Engine{Slots: 32}}}})
		if err != nil {
			t.Fatal(err)
		}
		s.SetTable(table)
		var endpoints []chivedirectory.Endpoint
		for i := range 320 {
			endpoints = append(endpoints, chivedirectory.Endpoint{ID: fmt.Sprintf("i-%03d", i), Pool: "pool", Address: "10.0.0.1:1", State: chivedirectory.Ready})
		}
		caches.pool.ApplyEndpoints(chivedirectory.Diff{Changed: endpoints})
		if err := s.Start(t.Context()); err != nil {
			t.Fatal(err)
		}
		defer s.Stop(t.Context())
		time.Sleep(2 * time.Second)
		if n := caches.count(); n != 9 {
			t.Errorf("%d engines were queried, want the 9 that the node owns", n)
		}
	})
}
