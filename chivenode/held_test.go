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

// deadlyWord in a prompt ends the engine that begins it.
const deadlyWord = "deadly"

// deadly is the engines of a cluster as processes that end under some requests and are back after a while.
type deadly struct {
	c       *cluster
	mu      sync.Mutex
	servers []*http.Server
	ends    []time.Time
	reached []time.Time
}

// makeDeadly puts such processes in the place of the cluster's engines.
func makeDeadly(c *cluster) *deadly {
	d := &deadly{c: c}
	for i := range c.engines {
		// The first server is the log's.
		_ = c.servers[1+i].Close()
		d.servers = append(d.servers, nil)
		d.start(i)
	}
	return d
}

func (d *deadly) start(i int) {
	engine := d.c.engines[i].Handler()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.servers[i] = d.c.serve(engineAddress(i), http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		if !strings.Contains(string(body), deadlyWord) {
			r.Body = io.NopCloser(strings.NewReader(string(body)))
			engine.ServeHTTP(w, r)
			return
		}
		d.end(i)
		panic(http.ErrAbortHandler)
	}))
}

func (d *deadly) end(i int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.reached = append(d.reached, time.Now())
	server := d.servers[i]
	if server == nil {
		return
	}
	d.servers[i] = nil
	d.ends = append(d.ends, time.Now())
	_ = server.Close()
	time.AfterFunc(2*time.Second, func() { d.start(i) })
}

// Guards against engines that crash again with each retry of the same request.
func TestRequestThatEndsEnginesIsKeptFromThem(t *testing.T) {
	const (
		knownWithin = 3 * time.Second
		triesAfter  = 3
	)
	inCluster(t, shape{nodes: 3, engines: 6, sequences: 4}, func(c *cluster) {
		d := makeDeadly(c)
		var sending sync.WaitGroup
		var mu sync.Mutex
		var known time.Time
		unserved, refused := 0, 0
		for i := range 120 {
			sending.Go(func() {
				r := c.stream(i%3, "nudge", deadlyWord)
				mu.Lock()
				defer mu.Unlock()
				if r.status == http.StatusServiceUnavailable && r.outcome == "not-run" && r.header.Get("Retry-After") != "" {
					refused++
				}
			})
			sending.Go(func() {
				sent := time.Now()
				r := c.stream((i+1)%3, "nudge", fmt.Sprintf("sound %d tokens=3", i))
				d.mu.Lock()
				if len(d.ends) >= triesAfter {
					known = d.ends[triesAfter-1].Add(knownWithin)
				}
				d.mu.Unlock()
				mu.Lock()
				defer mu.Unlock()
				if !known.IsZero() && sent.After(known) && r.outcome != "completed" {
					unserved++
				}
			})
			time.Sleep(500 * time.Millisecond)
		}
		sending.Wait()
		d.mu.Lock()
		defer d.mu.Unlock()
		late := 0
		for _, at := range d.reached {
			if at.After(known) {
				late++
			}
		}
		t.Logf("%d engines ended, %d tries were refused", len(d.ends), refused)
		for _, at := range d.reached {
			t.Logf("reached an engine %v after the first end", at.Sub(d.ends[0]))
		}
		if late > triesAfter || refused == 0 {
			t.Errorf("the request reached engines %d times more than %v after the third had ended, want %d at most; %d tries were refused",
				late, knownWithin, triesAfter, refused)
		}
		if unserved > triesAfter {
			t.Errorf("%d other requests were not served once the nodes had to know; a trial may cost one each", unserved)
		}
	})
}
