package chiveforward

import (
	"sync/atomic"

	"chivedrift/chiveplace"
)

// CrossingCounts are the numbers of this node's attempts by the region of their endpoints.
type CrossingCounts struct {
	// OwnRegion and OtherRegion count attempts in the node's region and in others, Spilled those of the latter that are
	// there because the own region had no room or no endpoint that the request may use.
	OwnRegion   int64
	OtherRegion int64
	Spilled     int64
}

// crossingCounters counts placements by the region of their endpoints.
type crossingCounters struct {
	own     atomic.Int64
	home    atomic.Int64
	spilled atomic.Int64
}

func (c *crossingCounters) add(crossing chiveplace.Crossing) {
	switch crossing {
	case chiveplace.CrossingNone:
		c.own.Add(1)
	case chiveplace.CrossingHome:
		c.home.Add(1)
	case chiveplace.CrossingSpill:
		c.spilled.Add(1)
	}
}

// CrossingCounts returns the numbers of attempts by the region of their endpoints.
func (p *Pools) CrossingCounts() CrossingCounts {
	home, spilled := p.crossings.home.Load(), p.crossings.spilled.Load()
	return CrossingCounts{OwnRegion: p.crossings.own.Load(), OtherRegion: home + spilled, Spilled: spilled}
}
