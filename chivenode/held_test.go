package chivenode_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// crashPrompt makes an engine crash when it receives a prompt that contains it.
const crashPrompt = "deadly"

// crashingEngines replaces the servers of a cluster's engines. A server closes all connections, as a crashed process
// does, when it receives crashPrompt, and listens again after two seconds.
type crashingEngines struct {
	c          *cluster
	mu         sync.Mutex
	servers    []*http.Server
	crashes    []time.Time
	deliveries []time.Time
}

// newCrashingEngines replaces the servers of all engines of a cluster.
func newCrashingEngines(c *cluster) *crashingEngines {
	e := &crashingEngines{c: c}
	for i := range c.engines {
		// The first server is that of the log simulator.
		_ = c.servers[1+i].Close()
		e.servers = append(e.servers, nil)
		e.start(i)
	}
	return e
}

func (e *crashingEngines) start(i int) {
	engine := e.c.engines[i].Handler()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.servers[i] = e.c.serve(engineAddress(i), http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		if !strings.Contains(string(body), crashPrompt) {
			r.Body = io.NopCloser(strings.NewReader(string(body)))
			engine.ServeHTTP(w, r)
			return
		}
		e.crash(i)
		panic(http.ErrAbortHandler)
	}))
}

func (e *crashingEngines) crash(i int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.deliveries = append(e.deliveries, time.Now())
	server := e.servers[i]
	if server == nil {
		return
	}
	e.servers[i] = nil
	e.crashes = append(e.crashes, time.Now())
	_ = server.Close()
	time.AfterFunc(2*time.Second, func() { e.start(i) })
}

// Guards against a request that crashes one engine after another as it is retried.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	const (
		quarantineWithin = 3 * time.Second
		allowedCrashes   = 3
	)
	withCluster(t, clusterSpec{nodes: 3, engines: 6, sequences: 4}, func(c *cluster) {
		engines := newCrashingEngines(c)
		var sending sync.WaitGroup
		var mu sync.Mutex
		var quarantinedBy time.Time
		unserved, refused := 0, 0
		for i := range 120 {
			sending.Go(func() {
				r := c.stream(i%3, "nudge", crashPrompt)
				mu.Lock()
				defer mu.Unlock()
				if r.status == http.StatusServiceUnavailable && r.outcome == "not-run" && r.header.Get("Retry-After") != "" {
					refused++
				}
			})
			sending.Go(func() {
				sent := time.Now()
				r := c.stream((i+1)%3, "nudge", fmt.Sprintf("sound %d tokens=3", i))
				engines.mu.Lock()
				if len(engines.crashes) >= allowedCrashes {
					quarantinedBy = engines.crashes[allowedCrashes-1].Add(quarantineWithin)
				}
				engines.mu.Unlock()
				mu.Lock()
				defer mu.Unlock()
				if !quarantinedBy.IsZero() && sent.After(quarantinedBy) && r.outcome != "completed" {
					unserved++
				}
			})
			time.Sleep(500 * time.Millisecond)
		}
		sending.Wait()
		engines.mu.Lock()
		defer engines.mu.Unlock()
		late := 0
		for _, at := range engines.deliveries {
			if at.After(quarantinedBy) {
				late++
			}
		}
		t.Logf("%d engine crashes, %d requests refused", len(engines.crashes), refused)
		for _, at := range engines.deliveries {
			t.Logf("request reached an engine %v after the first crash", at.Sub(engines.crashes[0]))
		}
		if late > allowedCrashes || refused == 0 {
			t.Errorf("the request reached engines %d times later than %v after the third crash, want at most %d; %d requests were refused",
				late, quarantineWithin, allowedCrashes, refused)
		}
		if unserved > allowedCrashes {
			t.Errorf("%d other requests failed after the quarantine was due; each trial of the quarantined request may fail one", unserved)
		}
	})
}
