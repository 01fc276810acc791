package chivegrant_test

import (
	"fmt"
	"testing"

	"chivedrift/chivemember"
)

// BenchmarkOneMoreEngine is what a word on one of 3,000 engines costs a node in a fleet of 300: at most 12 ms, a small part of the time between two
// divisions of a node with a tenth of a core. It was 76 ms before placements were remembered.
func BenchmarkOneMoreEngine(b *testing.B) {
	const most = 12e6
	members := make([]chivemember.Member, 300)
	for i := range members {
		address := fmt.Sprintf("10.0.%d.%d:1", i/250, i%250)
		members[i] = chivemember.Member{Name: address, Address: address, State: chivemember.Alive}
	}
	n := newNode("127.0.0.1:1")
	n.grant.SetMembers(members)
	n.learnEngines(b, 3000)
	n.grant.Divide()
	n.learnEngines(b, 3001)
	for b.Loop() {
		n.grant.Divide()
	}
	if each := float64(b.Elapsed().Nanoseconds()) / float64(b.N); each > most {
		b.Errorf("%.0f ns, more than %.0f", each, most)
	}
}
