package chivenode_test

import (
	"fmt"
	"testing"
	"time"
)

// runsIn returns how many requests have run on the engines of a failure domain.
func (c *cluster) runsIn(failureDomain string) (runs int) {
	for i, engine := range c.engines {
		if domain(i) == failureDomain {
			for _, count := range engine.Runs().Runs {
				runs += count
			}
		}
	}
	return runs
}

// Guards against requests to engines in a failure domain that a configuration evacuates, and against one that is not used
// again after that.
func TestEvacuatedDomainOfConfigurationGetsNoRequests(t *testing.T) {
	spec := clusterSpec{nodes: 3, engines: 6, sequences: 4}
	withCluster(t, spec, func(c *cluster) {
		publish := func(parent int64, evacuated string) {
			bundle := bundleFor(spec)
			bundle.Base += "evacuated: " + evacuated + "\n"
			c.publish(parent, bundle)
			c.waitFor(2*time.Second, "the configuration in force", func() bool { return c.allInForce(parent + 1) })
		}
		round := 0
		sendAll := func(outcome string) {
			round++
			for i := range 60 {
				if r := c.stream(i%3, "nudge", fmt.Sprintf("r%d-%d tokens=5", round, i)); r.outcome != outcome {
					t.Errorf("request %d: status %d, outcome %q %s", i, r.status, r.outcome, r.body)
				}
			}
		}
		sendAll("completed")
		if c.runsIn("a") == 0 {
			t.Fatal("the failure domain got no requests before the evacuation")
		}
		publish(1, "[a]")
		before := c.runsIn("a")
		sendAll("completed")
		if n := c.runsIn("a") - before; n > 0 {
			t.Errorf("%d requests ran in the evacuated failure domain", n)
		}
		publish(2, "[a, b, c]")
		before = c.runsIn("a") + c.runsIn("b") + c.runsIn("c")
		sendAll("not-run")
		if n := c.runsIn("a") + c.runsIn("b") + c.runsIn("c") - before; n > 0 {
			t.Errorf("%d requests ran although all failure domains are evacuated", n)
		}
		publish(3, "[]")
		before = c.runsIn("a")
		sendAll("completed")
		if c.runsIn("a") == before {
			t.Error("the failure domain is not used again")
		}
	})
}

// Guards against a misspelt failure domain, which would evacuate nothing.
func TestUnknownEvacuatedDomainIsRejected(t *testing.T) {
	bundle := bundleFor(clusterSpec{engines: 3, sequences: 4})
	bundle.Base += "evacuated: [atlantis]\n"
	if err := bundle.Check(); err == nil {
		t.Error("accepted")
	}
}
