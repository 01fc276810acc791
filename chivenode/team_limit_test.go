package chivenode_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"chivedrift/chiveconfig"
	"chivedrift/chivegate"
)

// Guards against a team limit that is enforced for each node separately instead of over the fleet.
func TestTeamLimitHoldsOverTheFleet(t *testing.T) {
	withCluster(t, clusterSpec{nodes: 6, engines: 4, sequences: 16}, func(c *cluster) {
		const limit, perRequest = 200, 20
		bundle := bundleFor(clusterSpec{engines: 4, sequences: 16})
		bundle.Base = replaceOnce(bundle.Base, "weight: 1}", fmt.Sprintf("weight: 1, tokens_per_second: %d}", limit))
		c.appendRecord(chiveconfig.Record{ID: "limit", Kind: chiveconfig.KindPublish, Parent: 1, Author: "test", Bundle: bundle})
		c.waitFor(2*time.Second, "the limit in force", func() bool { return c.allInForce(2) })
		var mu sync.Mutex
		var running sync.WaitGroup
		tokens, refused, withoutRetry := 0, 0, 0
		started := time.Now()
		for node := range c.nodes {
			running.Add(1)
			go func() {
				defer running.Done()
				for i := 0; time.Since(started) < 20*time.Second; i++ {
					r := c.stream(node, "nudge", fmt.Sprintf("%d-%d tokens=%d", node, i, perRequest))
					mu.Lock()
					switch {
					case r.outcome == "completed":
						tokens += perRequest
					case r.status == 429:
						refused++
						if r.header.Get(chivegate.HeaderRetryAfter) == "" {
							withoutRetry++
						}
					}
					mu.Unlock()
					time.Sleep(20 * time.Millisecond)
				}
			}()
		}
		running.Wait()
		seconds := time.Since(started).Seconds()
		// Prompt tokens count too. The bucket holds two seconds of tokens, and each node may overdraw it by one
		// request.
		if most := limit*(seconds+2) + 6*perRequest; float64(tokens) > most {
			t.Errorf("%d tokens in %.0f s at a limit of %d", tokens, seconds, limit)
		}
		if tokens < limit*10 || refused == 0 || withoutRetry > 0 {
			t.Errorf("%d tokens, %d refused, %d of them without Retry-After", tokens, refused, withoutRetry)
		}
		t.Logf("%d tokens in %.0f s at a limit of %d, %d refused", tokens, seconds, limit, refused)
	})
}
