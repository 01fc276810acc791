//go:build !race

package chivegossip_test

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"chivedrift/chivedirectory"
	"chivedrift/chivelog"
)

// largeSizes adds the sizes that take minutes: go test ./chivegossip -run ConfigurationRollout -whole -v.
var largeSizes = flag.Bool("whole", false, "add fleets of 300 nodes and configurations of 10,000 routes")

// rolloutCase is a size of the fleet and of the configuration, with its bounds.
type rolloutCase struct {
	nodes, routes int
	// maxTime bounds the time from when the readers know a version until it is in force on the last node, maxKilobytes
	// what the busiest node sends for it.
	maxTime      time.Duration
	maxKilobytes int64
}

// rollout is how long it took until a version was in force on the last node, and what the median and the busiest node
// sent and received for it, in bytes.
type rollout struct {
	took                                             time.Duration
	sentMedian, sentMax, receivedMedian, receivedMax int64
}

func (r rollout) String() string {
	return fmt.Sprintf("in force on the last node after %v; sent %d and %d KB, received %d and %d KB (median and busiest node)",
		r.took, r.sentMedian>>10, r.sentMax>>10, r.receivedMedian>>10, r.receivedMax>>10)
}

// rollOut gives the readers a document and waits until it is in force on all nodes.
func rollOut(t *testing.T, fleet []*fleetNode, version int64, routes int) rollout {
	t.Helper()
	before := make([][2]int64, len(fleet))
	for i, n := range fleet {
		before[i][0], before[i][1] = transferBytes(n)
	}
	start := time.Now()
	learnFromStore(fleet, newDocument(t, version, routes, 1))
	for countBehind(fleet, version) > 0 {
		if time.Since(start) > time.Minute {
			t.Fatalf("%d nodes do not have version %d after a minute", countBehind(fleet, version), version)
		}
		time.Sleep(5 * time.Millisecond)
	}
	result := rollout{took: time.Since(start)}
	var sent, received []int64
	for i, n := range fleet {
		s, r := transferBytes(n)
		sent, received = append(sent, s-before[i][0]), append(received, r-before[i][1])
	}
	slices.Sort(sent)
	slices.Sort(received)
	result.sentMedian, result.sentMax = sent[len(sent)/2], sent[len(sent)-1]
	result.receivedMedian, result.receivedMax = received[len(received)/2], received[len(received)-1]
	return result
}

// transferBytes returns what a node sent and received to transfer documents.
func transferBytes(n *fleetNode) (sent, received int64) {
	s, r := n.mesh.Traffic()
	for _, kind := range []string{"document", "document_ask", "document_part", "document_refusal"} {
		sent += s[kind].Bytes
		received += r[kind].Bytes
	}
	return sent, received
}

// TestConfigurationRolloutScales bounds the time and the traffic of a change of the configuration, on virtual time and
// links of 10 Mbit/s: first a document with the given number of routes, then the same with one route more.
func TestConfigurationRolloutScales(t *testing.T) {
	cases := []rolloutCase{
		{30, 100, time.Second, 500}, {30, 1400, time.Second, 500}, {100, 1400, time.Second, 500},
	}
	if *largeSizes {
		cases = append(cases, rolloutCase{100, 100, time.Second, 500}, rolloutCase{300, 100, time.Second, 500}, rolloutCase{300, 1400, time.Second, 500},
			rolloutCase{30, 10_000, 5 * time.Second, 2000}, rolloutCase{100, 10_000, 5 * time.Second, 2000}, rolloutCase{300, 10_000, 5 * time.Second, 2000})
	}
	for _, c := range cases {
		t.Run(fmt.Sprintf("%d nodes %d routes", c.nodes, c.routes), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				_, fleet := newFleet(t, c.nodes, slowLink)
				for i, routes := range []int{c.routes, c.routes + 1} {
					result := rollOut(t, fleet, int64(i+1), routes)
					t.Logf("%d routes: %v", routes, result)
					if result.took > c.maxTime || result.sentMax > c.maxKilobytes<<10 {
						t.Errorf("exceeds the bounds of %v and %d KB", c.maxTime, c.maxKilobytes)
					}
					time.Sleep(5 * time.Second)
				}
			})
		})
	}
}

// Guards against traffic of the readers that grows with the fleet.
func TestEndpointChangeTrafficIsSpreadOverTheFleet(t *testing.T) {
	sizes := []int{100}
	if *largeSizes {
		sizes = append(sizes, 300)
	}
	for _, nodes := range sizes {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				_, fleet := newFleet(t, nodes, slowLink)
				took := learnChanges(t, fleet, 600)
				time.Sleep(2 * time.Second)
				var maxSent int64
				for _, n := range fleet {
					sent, _ := n.mesh.Traffic()
					maxSent = max(maxSent, sent["changes_answer"].Bytes)
				}
				t.Logf("last node after %v, busiest node sent %d KB", took, maxSent>>10)
				if took > 1500*time.Millisecond || maxSent > 900<<10 {
					t.Error("exceeds the bounds of 1.5 s and 900 KB")
				}
			})
		})
	}
}

// learnChanges gives the readers a number of endpoints, and returns how long it takes until all nodes know them.
func learnChanges(t *testing.T, fleet []*fleetNode, count int) time.Duration {
	t.Helper()
	changes := newChanges(count)
	start := time.Now()
	for _, n := range fleet {
		if !n.gossip.Held() {
			n.endpoints.Learn(changes, "store")
		}
	}
	for time.Since(start) < time.Minute {
		incomplete := slices.ContainsFunc(fleet, func(n *fleetNode) bool { return n.endpoints.Newest() < chivelog.Position(count-1) })
		if !incomplete {
			return time.Since(start)
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatal("not all nodes know the endpoints after a minute")
	return 0
}

// newChanges returns the changes that add a number of endpoints.
func newChanges(count int) chivedirectory.Update {
	changes := make([]chivedirectory.Change, 0, count)
	for i := range count {
		changes = append(changes, chivedirectory.Change{Position: chivelog.Position(i), Read: true, Endpoint: chivedirectory.Endpoint{
			ID: fmt.Sprintf("i-%010x", i*7919), Pool: "studio", Address: fmt.Sprintf("10.2.64.%d:8262", i), FailureDomain: "north-a", Slots: 64,
		}})
	}
	return chivedirectory.Update{Changes: changes}
}
