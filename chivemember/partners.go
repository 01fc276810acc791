package chivemember

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// AllPartnersUpTo is the size of the largest fleet in which every node has all others as partners.
const AllPartnersUpTo = 16

// AddressesByHash returns the peer addresses of the members that are Alive, ordered by a hash that all nodes agree on.
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

// Partners returns the peers with which a node exchanges digests: all others in a small fleet, otherwise those 1, 2, 4
// ... positions further on in the order by hash. What one node knows then reaches all others in as many steps as the
// size of the fleet has binary digits, and each node is the partner of as many nodes as it has partners.
//
// In both cases the positions are counted from the node's own, so that nodes that go through their partners in step do not
// all come to the same one.
//
// If the peer were drawn from the whole fleet each time, every node would be connected to half of the fleet, as
// connections are kept for half a minute.
func Partners(self string, ranked []string) []string {
	index := slices.Index(ranked, self)
	if index < 0 {
		return nil
	}
	if len(ranked) <= AllPartnersUpTo {
		return slices.Concat(ranked[index+1:], ranked[:index])
	}
	var partners []string
	for distance := 1; distance < len(ranked); distance *= 2 {
		partners = append(partners, ranked[(index+distance)%len(ranked)])
	}
	return partners
}

// TurnAfter returns the turn, as an index of peers, after which a node that goes through its peers in turn comes to the
// first one that is not among its previous peers, so that a new peer need not wait for a whole round.
func TurnAfter(turn int, previous, peers []string) int {
	for i, peer := range peers {
		if !slices.Contains(previous, peer) {
			return i - 1
		}
	}
	return turn
}
