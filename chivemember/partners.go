package chivemember

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// AllPartnersUpTo is the largest fleet in which all others are partners of each node.
const AllPartnersUpTo = 16

// AddressesByHash returns the peer addresses of the members that are alive, in an order on which all nodes agree without talking.
func AddressesByHash(members []Member) []string {
	type hashed struct {
		hash    uint64
		address string
	}
	ranked := make([]hashed, 0, len(members))
	for _, m := range members {
		if m.State == Alive {
			ranked = append(ranked, hashed{xxhash.Sum64String(m.Address), m.Address})
		}
	}
	slices.SortFunc(ranked, func(a, b hashed) int { return cmp.Compare(a.hash, b.hash) })
	addresses := make([]string, len(ranked))
	for i, r := range ranked {
		addresses[i] = r.address
	}
	return addresses
}

// Partners returns the peers with which a node compares what both know: all in a small fleet, else those 1, 2, 4 ... places further on in the order by
// hash, so that what one node knows crosses the fleet in as many steps as its size has binary digits, and each is the partner of as many.
//
// A peer drawn from the whole fleet each time would leave every node connected to half of it, as connections are kept for half a minute.
func Partners(self string, ranked []string) []string {
	own := slices.Index(ranked, self)
	if own < 0 {
		return nil
	}
	if len(ranked) <= AllPartnersUpTo {
		return slices.Concat(ranked[:own], ranked[own+1:])
	}
	var partners []string
	for distance := 1; distance < len(ranked); distance *= 2 {
		partners = append(partners, ranked[(own+distance)%len(ranked)])
	}
	return partners
}
