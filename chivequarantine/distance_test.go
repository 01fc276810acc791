//go:build !race

package chivequarantine_test

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"chivedrift/chivedistance"
	"chivedrift/chivehealth"
	"chivedrift/chivemember"
	"chivedrift/chiveresidency"
)

// regionOf returns the region of a node's address in a fleet of three.
func regionOf(address string) int { return int(address[strings.Index(address, ".")+1] - '0') }

// Guards against crashes of one cause that are taken for several because reports of other regions are on their way.
func TestReportsFromOtherRegionsKeepTheirDates(t *testing.T) {
	const oneWay = 80 * time.Millisecond
	wayBetween := func(a, b int) time.Duration { return time.Duration(max(a-b, b-a)) * oneWay }
	synctest.Test(t, func(t *testing.T) {
		// Until the ends of the connections have arrived.
		t.Cleanup(func() { time.Sleep(time.Second) })
		f := newFleetApart(t, 3, func(n *node) *chivedistance.Table {
			self, regions := regionOf(n.address), chiveresidency.Map{"z0": "r0", "z1": "r1", "z2": "r2"}
			distances := chivedistance.New(fmt.Sprint("r", self), regions)
			var members []chivemember.Member
			for i := range 3 {
				members = append(members, chivemember.Member{Address: fmt.Sprintf("10.%d.0.%d:1", i, i), Region: fmt.Sprint("r", i)})
			}
			distances.SetMembers(members)
			for i, m := range members {
				distances.Observe(m.Address, 2*wayBetween(self, i))
			}
			return distances
		})
		f.network.Delay(func(from, to string) time.Duration { return wayBetween(regionOf(from), regionOf(to)) })
		// Until the nodes are connected.
		time.Sleep(2 * time.Second)
		for i, n := range f.nodes {
			request := requestOf(fmt.Sprint("content", i))
			request.Shared = promptOf("shared")
			n.Crashed(time.Now(), request, chivehealth.Failure{
				Endpoint: fmt.Sprint("e", i), Unique: true, FailureDomain: "z0", Evidence: chivehealth.EvidenceReset, At: time.Now(),
			}, false)
		}
		for range 20 {
			time.Sleep(100 * time.Millisecond)
			for i, n := range f.nodes {
				request := requestOf("other")
				if request.Shared = promptOf("shared"); n.Quarantined(time.Now(), request).Quarantined {
					t.Fatalf("node %d takes crashes at one time for several", i)
				}
			}
		}
	})
}
