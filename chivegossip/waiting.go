package chivegossip

import "slices"

// A node without endpoints sends its digest to one peer after the other. A peer that has none either remembers the
// sender and notifies it as soon as it learns some. Once every node has sent a digest to each of its peers, endpoints
// pass from hop to hop without waiting, whatever the order of the digests.

// maxWaitingPeers is the maximum number of remembered peers. A node is the gossip peer of at most fifteen others in
// fleets of up to 32,768 nodes, but any number may send it digests while they do not know the fleet yet.
const maxWaitingPeers = 20

// waitingPeers are the peers that sent a digest while neither side knew any endpoints, the latest last.
type waitingPeers struct {
	addresses []string
}

// add records a peer; if there are too many, the one with the oldest digest is dropped.
func (w *waitingPeers) add(address string) {
	w.addresses = slices.DeleteFunc(w.addresses, func(a string) bool { return a == address })
	if len(w.addresses) >= maxWaitingPeers {
		w.addresses = slices.Delete(w.addresses, 0, 1)
	}
	w.addresses = append(w.addresses, address)
}

// take returns the peers and forgets them.
func (w *waitingPeers) take() []string {
	addresses := w.addresses
	w.addresses = nil
	return addresses
}

// notifyWaitingPeers sends this node's digest to the waiting peers once it knows endpoints; they request what they lack.
func (s *Service) notifyWaitingPeers() {
	if len(s.waiting.addresses) > 0 && s.options.Endpoints.Newest() >= 0 {
		s.sendDigestTo(s.waiting.take())
	}
}
