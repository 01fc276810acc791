package chivestand

import "chivedrift/chivemember"

// ReaderOrder returns the peer addresses of nodes in the order in which they come to be readers of the store.
func ReaderOrder(addresses []string) []string {
	members := make([]chivemember.Member, 0, len(addresses))
	for _, a := range addresses {
		members = append(members, chivemember.Member{Address: a, State: chivemember.Alive})
	}
	return chivemember.AddressesByHash(members)
}
