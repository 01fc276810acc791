package chivedistance_test

import (
	"fmt"
	"testing"
	"time"

	"chivedrift/chivedistance"
	"chivedrift/chivemember"
	"chivedrift/chiveresidency"
)

// BenchmarkWaitAndObserve measures what a question to one of 300 peers costs: the wait and the record of its reply. It must
// take at most 5 us, a tenth of the time for the decision of an engine.
func BenchmarkWaitAndObserve(b *testing.B) {
	const peers, maxNanoseconds = 300, 5e3
	table := chivedistance.New("r0", chiveresidency.Map{"a": "r0", "b": "r1", "c": "r2"})
	var members []chivemember.Member
	for i := range peers {
		members = append(members, chivemember.Member{Address: fmt.Sprintf("peer%d", i), Region: fmt.Sprintf("r%d", i%3)})
	}
	table.SetMembers(members)
	for i := 0; b.Loop(); i++ {
		peer := members[i%peers].Address
		_ = table.Wait(peer, time.Millisecond)
		table.Observe(peer, time.Duration(60+i%7)*time.Millisecond)
	}
	if nsPerOp := float64(b.Elapsed().Nanoseconds()) / float64(b.N); nsPerOp > maxNanoseconds {
		b.Errorf("%.0f ns, more than %.0f", nsPerOp, maxNanoseconds)
	}
}
