package chivetransfer

import (
	"time"
)

const (
	// partBytes is the size of a part: at 10 Mbit/s, the slowest link of today's VMs, a heartbeat behind one waits for 26 ms.
	partBytes = 32 << 10
	// servedAtOnce is how many peers a node hands parts to. With two the link never rests while one of them asks for its next part; with
	// more, all of them would have the whole later, and so all those that they could serve in their turn.
	servedAtOnce = 2
	// turnIdle is the time after which a peer that does not ask on has lost its turn: it died, or found another source.
	turnIdle = 500 * time.Millisecond
	// editionsKept is how many editions a sender has: the newest, and the one before it for those that are in the middle of it. Without the
	// second, changes that follow each other faster than a copy takes would keep slow receivers from ever getting one whole.
	editionsKept = 2
	// triesNamed is how many of the peers that were served a busy sender names, and triesKept how many it remembers.
	triesNamed = 2
	triesKept  = 16
)

// Sender decides whom a node hands parts to; it is used by one goroutine.
type Sender struct {
	// editions has the newest first.
	editions []*Edition
	// turns has the peers that are being served, by address.
	turns map[string]turn
	// served has the peers that got the newest edition whole, the latest last; named counts how often they were named.
	served []string
	named  int
}

// turn is what is known of a peer that is being served: when it asked last, and for what.
type turn struct {
	asked   time.Time
	version int64
}

// NewSender returns a sender without editions.
func NewSender() *Sender { return &Sender{turns: make(map[string]turn)} }

// Version returns the newest version that the sender has; -1 when it has none.
func (s *Sender) Version() int64 {
	if len(s.editions) == 0 {
		return noVersion
	}
	return s.editions[0].version
}

// Add takes a newer edition; one that is not newer is passed over.
func (s *Sender) Add(e *Edition) {
	if e.version <= s.Version() {
		return
	}
	s.editions = append([]*Edition{e}, s.editions...)
	s.editions = s.editions[:min(len(s.editions), editionsKept)]
	s.served = nil
}

// Answer returns the part that a peer gets, or a refusal.
func (s *Sender) Answer(now time.Time, peer string, ask Ask) (*Part, *Refusal) {
	e := s.editionFor(ask)
	if e == nil {
		return nil, &Refusal{Version: s.Version()}
	}
	if !s.takeTurn(now, peer, e.version) {
		return nil, &Refusal{Version: s.Version(), Try: s.try()}
	}
	part := &Part{Version: e.version, Sum: e.sum, Size: len(e.data)}
	if ask.Sum == e.sum && ask.From > 0 && ask.From < len(e.data) {
		part.From = ask.From
	}
	end := min(part.From+partBytes, len(e.data))
	part.Data = e.data[part.From:end]
	return part, nil
}

// Hear takes word that a peer has a version: if it was being served with it, the next one gets its turn. That the last part was handed out
// does not end a turn: it is still on the link.
func (s *Sender) Hear(peer string, version int64) {
	t, has := s.turns[peer]
	if !has || version < t.version {
		return
	}
	delete(s.turns, peer)
	if version < s.Version() {
		return
	}
	s.served = append(s.served, peer)
	s.served = s.served[max(0, len(s.served)-triesKept):]
}

// editionFor returns the edition that the asker is in the middle of, or else the newest, if that is of use.
func (s *Sender) editionFor(ask Ask) *Edition {
	for _, e := range s.editions {
		if e.sum == ask.Sum {
			return e
		}
	}
	if len(s.editions) > 0 && s.editions[0].version >= ask.Version {
		return s.editions[0]
	}
	return nil
}

// takeTurn lets a peer go on, or begin if not too many others are being served.
func (s *Sender) takeTurn(now time.Time, peer string, version int64) bool {
	for p, t := range s.turns {
		if now.Sub(t.asked) >= turnIdle {
			delete(s.turns, p)
		}
	}
	if _, has := s.turns[peer]; !has && len(s.turns) >= servedAtOnce {
		return false
	}
	s.turns[peer] = turn{now, version}
	return true
}

// try names other sources, by turns, so that those who are refused do not all go to the same one.
func (s *Sender) try() []string {
	var peers []string
	for range min(triesNamed, len(s.served)) {
		s.named++
		peers = append(peers, s.served[s.named%len(s.served)])
	}
	return peers
}
