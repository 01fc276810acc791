package chiveforward_test

import (
	"testing"
	"time"

	"chivedrift/chiveforward"
)

// Guards against a fleet that exceeds its retry budget because a node that restarts while it is cut off from its peers
// takes the whole headroom for its own.
func TestRestartedNodeInAPartitionKeepsToItsShare(t *testing.T) {
	const (
		nodes    = 10
		headroom = 200
	)
	limits := chiveforward.BudgetLimits{Headroom: headroom, Window: 10 * time.Second}
	startedAt := time.Now()
	now := startedAt.Add(time.Minute)
	spent := 0
	for i := range nodes {
		b := chiveforward.NewBudget(startedAt, limits)
		b.SetNodes(startedAt, nodes)
		if i == 0 {
			b = chiveforward.NewBudget(now.Add(-limits.Window), limits)
			b.SetNodes(now, 1)
		}
		for b.Lend(now, "engines") {
			spent++
		}
	}
	if spent > headroom {
		t.Errorf("%d nodes made %d retries in a window, expected at most %d", nodes, spent, headroom)
	}
}
