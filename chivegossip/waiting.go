package chivegossip

import (
	"slices"
	"time"
)

// A node without endpoints sends its digest to one peer after the other. A peer that has none either remembers the
// sender and notifies it as soon as it learns some. Once every node has sent a digest to each of its peers, endpoints
// pass from hop to hop without waiting, whatever the order of the digests.

// maxWaitingPeers is the maximum number of remembered peers. A node is the gossip peer of at most fifteen others in
// fleets of up to 32,768 nodes, but any number may send it digests while they do not know the fleet yet.
const maxWaitingPeers = 20

// waitingPeerTTL is how long a peer is remembered. One that still has no endpoints has sent another digest by then.
const waitingPeerTTL = 10 * time.Second

// waitingPeer is a peer that sent a digest while neither side knew any endpoints.
type waitingPeer struct {
	address string
	askedAt time.Time
}

// waitingPeers are the remembered peers, the latest last.
type waitingPeers struct {
	peers []waitingPeer
}

// add records a peer; if there are too many, the one with the oldest digest is dropped and waits for its next turn.
func (w *waitingPeers) add(now time.Time, address string) {
	w.peers = slices.DeleteFunc(w.peers, func(p waitingPeer) bool { return p.address == address })
	if len(w.peers) >= maxWaitingPeers {
		w.peers = slices.Delete(w.peers, 0, 1)
	}
	w.peers = append(w.peers, waitingPeer{address, now})
}

// take returns the addresses of the peers and forgets them.
func (w *waitingPeers) take(now time.Time) (addresses []string) {
	for _, p := range w.peers {
		if now.Sub(p.askedAt) < waitingPeerTTL {
			addresses = append(addresses, p.address)
		}
	}
	w.peers = nil
	return addresses
}

// notifyWaitingPeers sends this node's digest to the waiting peers once it knows endpoints; they request what they lack.
func (s *Service) notifyWaitingPeers() {
	if len(s.waiting.peers) > 0 && s.options.Endpoints.Newest() >= 0 {
		s.sendDigestTo(s.waiting.take(time.Now()))
	}
}
