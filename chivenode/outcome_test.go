package chivenode_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"chivedrift/chivegate"
	"chivedrift/chivestand"
)

// Guards against a resumed stream that repeats or misses a token.
func TestBrokenStreamIsResumedWithoutARepeatedOrMissingToken(t *testing.T) {
	faults := map[string]chivestand.EngineFaults{
		"before headers":     {CrashBefore: chivestand.CrashBeforeHeaders},
		"before first token": {CrashBefore: chivestand.CrashBeforeFirst},
		"after five tokens":  {CrashAfterTokens: 5},
		"mid-token":          {CrashAfterTokens: 5, CrashMidToken: true},
		"before the end":     {CrashBefore: chivestand.CrashBeforeDone},
		"stalls silently":    {StallAfterTokens: 5},
	}
	for name, fault := range faults {
		for broken := 1; broken <= 2; broken++ {
			t.Run(fmt.Sprintf("%s, %d engines", name, broken), func(t *testing.T) {
				withCluster(t, clusterSpec{nodes: 3, engines: 3, sequences: 4}, func(c *cluster) {
					for i := range broken {
						once := fault
						once.Times = 1
						c.engines[i].SetFaults(once)
					}
					for i := range 6 {
						prompt := fmt.Sprintf("p%d tokens=20", i)
						if r := c.stream(i%3, "dossier", prompt); r.text != expectedText(prompt, 20) || !r.done || r.outcome != "completed" {
							t.Errorf("request %d: outcome %q, done %t, text %q", i, r.outcome, r.done, r.text)
						}
					}
				})
			})
		}
	}
}

// Guards against a resumed answer without streaming that is truncated or contains text twice.
func TestBrokenAnswerWithoutStreamingIsCompletedElsewhere(t *testing.T) {
	withCluster(t, clusterSpec{nodes: 2, engines: 2, sequences: 4}, func(c *cluster) {
		c.engines[0].SetFaults(chivestand.EngineFaults{CrashAfterTokens: 7, Times: 1})
		c.engines[1].SetFaults(chivestand.EngineFaults{CrashAfterTokens: 7, Times: 1})
		r := c.do(context.Background(), call{path: "/v1/chat/completions", body: chat("w tokens=20", false), class: "dossier"})
		if !strings.Contains(r.body, strings.ReplaceAll(expectedText("w tokens=20", 20), `"`, `\"`)) || r.outcome != "completed" {
			t.Errorf("answered %+v", r)
		}
	})
}

// Guards against requests that hang on a connection whose peer has stopped responding.
func TestSilentConnectionsAtEveryHop(t *testing.T) {
	hops := map[string]func(from, to string) bool{
		"node to engine": func(from, to string) bool { return strings.HasPrefix(from, "10.2.") || strings.HasPrefix(to, "10.2.") },
		"node to node":   func(from, to string) bool { return strings.HasSuffix(from, ":82") && strings.HasSuffix(to, ":82") },
		"node to log":    func(from, to string) bool { return from == logAddress || to == logAddress },
		"node to service": func(from, to string) bool {
			return strings.HasPrefix(from, "10.3.") || strings.HasPrefix(to, "10.3.")
		},
	}
	for name, hop := range hops {
		t.Run(name, func(t *testing.T) {
			withCluster(t, clusterSpec{nodes: 3, engines: 2, sequences: 4}, func(c *cluster) {
				for node := range c.nodes {
					c.stream(node, "dossier", "warm tokens=3")
					c.do(context.Background(), call{node: node, method: http.MethodGet, path: "/services/svc/x"})
				}
				c.network.Silence(hop)
				started := time.Now()
				for node := range c.nodes {
					c.checkAfterSilence(node)
				}
				if took := time.Since(started); took > 20*time.Second {
					t.Errorf("took %s", took)
				}
				go func() {
					time.Sleep(100 * time.Millisecond)
					c.network.Silence(hop)
				}()
				if r := c.stream(0, "dossier", "mid tokens=50"); r.text != expectedText("mid tokens=50", 50) || r.outcome != "completed" {
					t.Errorf("mid-stream: %+v", r)
				}
			})
		})
	}
}

// checkAfterSilence sends one request of each kind over connections that are open but no longer carry data.
func (c *cluster) checkAfterSilence(node int) {
	c.t.Helper()
	if r := c.stream(node, "dossier", "idle tokens=10"); r.text != expectedText("idle tokens=10", 10) || r.outcome != "completed" {
		c.t.Errorf("idle, node %d: %+v", node, r)
	}
	if r := c.do(context.Background(), call{node: node, method: http.MethodGet, path: "/services/svc/x"}); r.outcome != "completed" {
		c.t.Errorf("service, node %d: %+v", node, r)
	}
	keyed := c.do(context.Background(), call{node: node, path: "/services/svc/x", class: "confirm", key: fmt.Sprint("k", node)})
	if keyed.outcome != "completed" && keyed.outcome != "not-run" {
		c.t.Errorf("keyed, node %d: %+v", node, keyed)
	}
}

// Guards against engines that continue to generate for callers that have disconnected.
func TestEngineStopsWhenTheCallerGoesAway(t *testing.T) {
	withCluster(t, clusterSpec{nodes: 2, engines: 1, sequences: 4}, func(c *cluster) {
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		defer cancel()
		c.do(ctx, call{path: "/v1/chat/completions", body: chat("gone tokens=1000", true), class: "dossier"})
		time.Sleep(time.Second)
		if tokens := c.engines[0].Runs().Tokens; tokens > 40 {
			t.Errorf("the engine generated %d tokens", tokens)
		}
	})
}

// Guards against a request that must not be repeated and is executed twice, or is reported as not run although it was
// executed.
func TestRequestThatMayNotBeRepeatedRunsAtMostOnce(t *testing.T) {
	cases := []struct {
		name        string
		faults      chivestand.ServiceFaults
		unreachable bool
		outcome     string
		runs        int
	}{
		{"no fault", chivestand.ServiceFaults{}, false, "completed", 1},
		{"crashes before execution", chivestand.ServiceFaults{CrashBefore: true}, false, "unknown", 0},
		{"crashes after execution", chivestand.ServiceFaults{CrashAfter: true}, false, "unknown", 1},
		{"stalls after execution", chivestand.ServiceFaults{Stall: true}, false, "unknown", 1},
		{"refuses the request", chivestand.ServiceFaults{Refuse: true}, false, "not-run", 0},
		{"unreachable", chivestand.ServiceFaults{}, true, "not-run", 0},
	}
	for _, tc := range cases {
		for _, key := range []string{"", "k1"} {
			t.Run(fmt.Sprintf("%s, key %q", tc.name, key), func(t *testing.T) {
				withCluster(t, clusterSpec{nodes: 3, engines: 1, sequences: 4}, func(c *cluster) {
					for i, s := range c.services {
						s.SetFaults(tc.faults)
						if tc.unreachable {
							c.isolate(serviceAddress(i))
						}
					}
					r := c.do(context.Background(), call{path: "/services/svc/book", class: "confirm", key: key, body: "x"})
					if runs := c.executions(""); r.outcome != tc.outcome || runs != tc.runs {
						t.Errorf("outcome %q with %d executions, expected %q with %d: %+v", r.outcome, runs, tc.outcome, tc.runs, r)
					}
				})
			})
		}
	}
}

// executions returns how many requests the services executed, in total or for one idempotency key.
func (c *cluster) executions(key string) int {
	total := 0
	for _, s := range c.services {
		runs := s.Runs()
		if key != "" {
			total += runs.Keys[key]
			continue
		}
		for _, n := range runs.Runs {
			total += n
		}
	}
	return total
}

// Guards against automatic retries by net/http of requests that must be executed at most once.
func TestNetHTTPRepeatsNothingByItself(t *testing.T) {
	for _, body := range []string{"", "x"} {
		for _, key := range []string{"", "k"} {
			t.Run(fmt.Sprintf("body %q key %q", body, key), func(t *testing.T) {
				withCluster(t, clusterSpec{nodes: 1, engines: 1, sequences: 4}, func(c *cluster) {
					for range 8 {
						c.do(context.Background(), call{method: http.MethodGet, path: "/services/svc/warm"})
					}
					before := c.executions("")
					for _, s := range c.services {
						s.SetFaults(chivestand.ServiceFaults{CrashAfter: true})
					}
					r := c.do(context.Background(), call{path: "/services/svc/book", class: "confirm", body: body, key: key})
					if runs := c.executions("") - before; runs != 1 || r.outcome != "unknown" {
						t.Errorf("%d executions, outcome %q", runs, r.outcome)
					}
				})
			})
		}
	}
}

// Guards against a keyed request that is executed twice when it is sent through several nodes at once.
func TestKeyedRequestThroughManyNodesRunsOnce(t *testing.T) {
	withCluster(t, clusterSpec{nodes: 5, engines: 1, sequences: 4}, func(c *cluster) {
		for _, s := range c.services {
			s.SetFaults(chivestand.ServiceFaults{DelayMs: 300})
		}
		var mu sync.Mutex
		outcomes := make(map[string]int)
		var running sync.WaitGroup
		for node := range c.nodes {
			running.Add(1)
			go func() {
				defer running.Done()
				r := c.do(context.Background(), call{node: node, path: "/services/svc/book", class: "confirm", key: "once", body: "x"})
				mu.Lock()
				defer mu.Unlock()
				outcomes[r.outcome+" "+r.body]++
			}()
		}
		running.Wait()
		if runs := c.executions("once"); runs != 1 || len(outcomes) != 1 {
			t.Errorf("%d executions, answers %v", runs, outcomes)
		}
	})
}

// Guards against broken answers that are generated again from the beginning.
func TestResumeWastesFewTokens(t *testing.T) {
	withCluster(t, clusterSpec{nodes: 2, engines: 3, sequences: 4}, func(c *cluster) {
		const rounds, healthy, tokens, broken = 10, 6, 200, 60
		needed, saved := 0, int64(0)
		send := func(name string) {
			r := c.stream(0, "dossier", fmt.Sprintf("%s tokens=%d", name, tokens))
			if r.outcome != "completed" {
				t.Errorf("%s ended as %q", name, r.outcome)
			}
			explanation, _ := c.gate(0).Explain(r.header.Get(chivegate.HeaderRequestID))
			for _, a := range explanation.Attempts {
				saved += a.Resumed
			}
			needed += tokens
		}
		for round := range rounds {
			for _, e := range c.engines {
				e.SetFaults(chivestand.EngineFaults{CrashAfterTokens: broken, Times: 1})
			}
			send(fmt.Sprint("broken", round))
			for _, e := range c.engines {
				e.SetFaults(chivestand.EngineFaults{})
			}
			for i := range healthy {
				send(fmt.Sprint("healthy", round, i))
			}
		}
		time.Sleep(time.Second)
		computed := int64(0)
		for _, e := range c.engines {
			computed += e.Runs().Tokens
		}
		t.Logf("%d tokens needed, %d computed with resume, %d if every broken answer were started over", needed, computed, computed+saved)
		if wasted := computed - int64(needed); wasted > int64(needed)/100 || saved == 0 {
			t.Errorf("%d tokens wasted of %d, %d saved", wasted, needed, saved)
		}
	})
}

// Guards against treating a long answer without streaming as a stall.
func TestLongAnswerWithoutStreamingIsNoStall(t *testing.T) {
	withCluster(t, clusterSpec{nodes: 2, engines: 2, sequences: 4}, func(c *cluster) {
		body := `{"model":"m","logprobs":true,"messages":[{"role":"user","content":"whole tokens=300"}]}`
		r := c.do(context.Background(), call{path: "/v1/chat/completions", body: body, class: "dossier"})
		runs := len(c.engines[0].Runs().Runs) + len(c.engines[1].Runs().Runs)
		if r.outcome != "completed" || !strings.Contains(r.body, `"completion_tokens":300`) || runs != 1 {
			t.Errorf("%d runs, outcome %q: %s", runs, r.outcome, r.body)
		}
	})
}

// Guards against attempts that reach no endpoint but use up the retry budget.
func TestAttemptsThatReachNoEndpointCostNoBudget(t *testing.T) {
	withCluster(t, clusterSpec{nodes: 1, engines: 1, sequences: 4}, func(c *cluster) {
		c.isolate(serviceAddress(0))
		for i := range 60 {
			if r := c.do(context.Background(), call{path: "/services/svc/book", class: "confirm", body: "x"}); r.outcome != "completed" {
				t.Fatalf("request %d: %+v", i, r)
			}
			time.Sleep(time.Second)
		}
	})
}
