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

// engines counts the questions for caches.
type engines struct {
	mu    sync.Mutex
	asked int
	pool  *chiveplace.Pool
}

func (e *engines) Held(context.Context, chivedirectory.Endpoint) ([]chiverequest.Part, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.asked++
	return nil, nil
}

func (e *engines) count() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.asked
}

func (e *engines) Pool(string) *chiveplace.Pool { return e.pool }

// joining is a node that comes to know a large fleet a while after its start, and owns a share of its engines then.
type joining struct {
	began time.Time
	knows time.Duration
	share int
}

func (j joining) Settled() bool { return time.Since(j.began) > j.knows }

func (j joining) Asking() bool { return j.Settled() }

func (j joining) Owned(string) (owned []string) {
	for i := range j.share {
		owned = append(owned, fmt.Sprintf("i-%03d", i))
	}
	return owned
}

// Guards against a cold start in which every node queries the cache of every engine.
func TestNodeThatJoinsALargeFleetAsksItsOwnEnginesOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		asked := &engines{pool: chiveplace.NewPool("a")}
		s := chivecache.New(chivecache.Options{
			Caches: asked, Pools: asked, Owners: joining{time.Now(), 600 * time.Millisecond, 9}, Logger: slog.New(slog.DiscardHandler),
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
		asked.pool.ApplyEndpoints(chivedirectory.Diff{Changed: endpoints})
		if err := s.Start(t.Context()); err != nil {
			t.Fatal(err)
		}
		defer s.Stop(t.Context())
		time.Sleep(2 * time.Second)
		if n := asked.count(); n != 9 {
			t.Errorf("%d engines were asked, expected the 9 that the node decides for", n)
		}
	})
}
