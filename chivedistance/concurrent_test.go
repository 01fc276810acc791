package chivedistance_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"chivedrift/chivedistance"
	"chivedrift/chivemember"
	"chivedrift/chiveresidency"
)

// Guards against readers, replies and membership changes that use the table at the same time.
func TestTableInConcurrentUse(t *testing.T) {
	table := chivedistance.New("north", chiveresidency.Map{"n": "north", "s": "south"})
	members := []chivemember.Member{{Address: "south0", Region: "south"}, {Address: "south1", Region: "south"}}
	table.SetMembers(members)
	table.OnChange(func(m chivedistance.Map) { _ = m.ToRegion("south") })
	var work sync.WaitGroup
	for i := range 4 {
		work.Go(func() {
			for n := range 500 {
				table.Observe(fmt.Sprintf("south%d", n%2), time.Duration(10+n%100)*time.Millisecond)
				table.SetMembers(members[:1+(n+i)%2])
				_, _, _ = table.Wait("south0", time.Millisecond), table.Regions(), table.Map()
			}
		})
	}
	work.Wait()
	if got := table.RoundTrip("south0"); got < 9*time.Millisecond || got > 12*time.Millisecond {
		t.Errorf("round trip %v, the shortest was 10 ms", got)
	}
}
