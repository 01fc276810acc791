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

// whole plays the sizes that take minutes as well: go test ./chivegossip -run ConfigurationCurve -whole -v.
var whole = flag.Bool("whole", false, "play fleets of 300 nodes and configurations of 10,000 routes")

// curvePoint is one size of fleet and configuration, with its bounds.
type curvePoint struct {
	nodes, routes int
	// within bounds the time from the readers' learning to the last node in force, and kilobytes what the busiest node sends for it.
	within    time.Duration
	kilobytes int64
}

// inForce tells how long a version took to the last node, and what the middle and the busiest node sent and received for it, in bytes.
type inForce struct {
	took                                     time.Duration
	sentMiddle, sentMost, gotMiddle, gotMost int64
}

func (i inForce) String() string {
	return fmt.Sprintf("last node after %v; sent %d and %d KB, received %d and %d KB (middle and busiest node)",
		i.took, i.sentMiddle>>10, i.sentMost>>10, i.gotMiddle>>10, i.gotMost>>10)
}

// change gives the readers a document and waits until it is in force everywhere.
func change(t *testing.T, fleet []*member, version int64, routes int) inForce {
	t.Helper()
	before := make([][2]int64, len(fleet))
	for i, n := range fleet {
		before[i][0], before[i][1] = transferBytes(n)
	}
	began := time.Now()
	read(fleet, newDocument(t, version, routes, 1))
	for behind(fleet, version) > 0 {
		if time.Since(began) > time.Minute {
			t.Fatalf("%d nodes without version %d after a minute", behind(fleet, version), version)
		}
		time.Sleep(5 * time.Millisecond)
	}
	result := inForce{took: time.Since(began)}
	var sent, got []int64
	for i, n := range fleet {
		s, g := transferBytes(n)
		sent, got = append(sent, s-before[i][0]), append(got, g-before[i][1])
	}
	slices.Sort(sent)
	slices.Sort(got)
	result.sentMiddle, result.sentMost = sent[len(sent)/2], sent[len(sent)-1]
	result.gotMiddle, result.gotMost = got[len(got)/2], got[len(got)-1]
	return result
}

// transferBytes returns what a node sent and received to pass documents on.
func transferBytes(n *member) (sent, received int64) {
	s, r := n.mesh.Traffic()
	for _, kind := range []string{"document", "document_ask", "document_part", "document_refusal"} {
		sent += s[kind].Bytes
		received += r[kind].Bytes
	}
	return sent, received
}

// TestConfigurationCurve holds the way of a change through the fleet to bounds, on virtual time and links of 10 Mbit/s: a document of so many
// routes, then the same with one route more.
func TestConfigurationCurve(t *testing.T) {
	points := []curvePoint{
		{30, 100, time.Second, 500}, {30, 1400, time.Second, 500}, {100, 1400, time.Second, 500},
	}
	if *whole {
		points = append(points, curvePoint{100, 100, time.Second, 500}, curvePoint{300, 100, time.Second, 500}, curvePoint{300, 1400, time.Second, 500},
			curvePoint{30, 10_000, 5 * time.Second, 2000}, curvePoint{100, 10_000, 5 * time.Second, 2000}, curvePoint{300, 10_000, 5 * time.Second, 2000})
	}
	for _, p := range points {
		t.Run(fmt.Sprintf("%d nodes %d routes", p.nodes, p.routes), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				_, fleet := newFleet(t, p.nodes, slowLink)
				for i, routes := range []int{p.routes, p.routes + 1} {
					got := change(t, fleet, int64(i+1), routes)
					t.Logf("%d routes: %v", routes, got)
					if got.took > p.within || got.sentMost > p.kilobytes<<10 {
						t.Errorf("over the bounds of %v and %d KB", p.within, p.kilobytes)
					}
					time.Sleep(5 * time.Second)
				}
			})
		})
	}
}

// Guards against readers of the store whose traffic grows with the fleet.
func TestWordsOnEndpointsSpreadOverTheFleet(t *testing.T) {
	sizes := []int{100}
	if *whole {
		sizes = append(sizes, 300)
	}
	for _, nodes := range sizes {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				_, fleet := newFleet(t, nodes, slowLink)
				took := learnWords(t, fleet, 600)
				time.Sleep(2 * time.Second)
				var most int64
				for _, n := range fleet {
					sent, _ := n.mesh.Traffic()
					most = max(most, sent["changes_answer"].Bytes)
				}
				t.Logf("last node after %v, busiest sends %d KB", took, most>>10)
				if took > 1500*time.Millisecond || most > 900<<10 {
					t.Error("over the bounds of 1.5 s and 900 KB")
				}
			})
		})
	}
}

// learnWords lets the readers learn of so many endpoints, and returns how long it takes until all nodes know them.
func learnWords(t *testing.T, fleet []*member, count int) time.Duration {
	t.Helper()
	changes := newChanges(count)
	began := time.Now()
	for _, n := range fleet {
		if !n.gossip.Held() {
			n.endpoints.Learn(changes, "store")
		}
	}
	for time.Since(began) < time.Minute {
		late := slices.ContainsFunc(fleet, func(n *member) bool { return n.endpoints.Newest() < chivelog.Position(count-1) })
		if !late {
			return time.Since(began)
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatal("not all nodes know the endpoints after a minute")
	return 0
}

// newChanges are changes of so many endpoints.
func newChanges(count int) chivedirectory.Update {
	changes := make([]chivedirectory.Change, 0, count)
	for i := range count {
		changes = append(changes, chivedirectory.Change{Position: chivelog.Position(i), Read: true, Endpoint: chivedirectory.Endpoint{
			ID: fmt.Sprintf("i-%010x", i*7919), Pool: "studio", Address: fmt.Sprintf("10.2.64.%d:8262", i), FailureDomain: "north-a", Slots: 64,
		}})
	}
	return chivedirectory.Update{Changes: changes}
}
