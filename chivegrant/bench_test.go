package chivegrant_test

import "testing"

// BenchmarkRebalanceAfterOneEngine measures a rebalance after a change of one of 3,000 engines in a fleet of 300 nodes.
// It must take at most 12 ms, a small part of the minimum interval between two rebalances for a node with a tenth of a
// core.
func BenchmarkRebalanceAfterOneEngine(b *testing.B) {
	const maxNanoseconds = 12e6
	members := fleetMembers(300)
	n := newNode("127.0.0.1:1")
	n.service.SetMembers(members)
	n.setEngines(b, 3000)
	n.service.Divide()
	n.setEngines(b, 3001)
	for b.Loop() {
		n.service.Divide()
	}
	if nsPerOp := float64(b.Elapsed().Nanoseconds()) / float64(b.N); nsPerOp > maxNanoseconds {
		b.Errorf("%.0f ns, more than %.0f", nsPerOp, maxNanoseconds)
	}
}
