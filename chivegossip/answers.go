package chivegossip

import (
	"time"

	"chivedrift/chivewire"
)

// A node that could not reach the store asks the readers whether the store answered them in the meantime. If it did,
// only this node was cut off, so entries that are missing now did not merely expire during an outage of the store.

// maxRoundTrip is the longest round trip after which an answer still counts: a request or answer that was held up in a
// broken connection would refer to another time than it seems to. Between failure domains of a region a round trip
// takes a few milliseconds.
const maxRoundTrip = 300 * time.Millisecond

// AnswersAsk asks a peer when the store answered it.
type AnswersAsk struct {
	// Asked is the time since the sender's start, which the answer returns; unlike the time of day it never jumps.
	Asked  time.Duration
	Within time.Duration
}

// Answers tells how long ago the store answered the sender.
type Answers struct {
	Asked time.Duration
	Ages  []time.Duration
}

// WentStale has the service ask the readers at once whether the store answers them.
func (s *Service) WentStale() {
	select {
	case s.queryNow <- struct{}{}:
	default:
		// A query is pending already.
	}
}

// queryReaders asks the readers when the store answered them, if this node needs to know.
func (s *Service) queryReaders() {
	maxAge := s.options.Endpoints.Staleness()
	if maxAge == 0 {
		return
	}
	for _, address := range s.topology.otherReaders(s.options.Mesh.Self()) {
		s.send(address, chivewire.KindAnswersAsk, AnswersAsk{Asked: time.Since(s.startedAt), Within: maxAge})
	}
}

// receiveAnswers takes the answer of a reader, which is assumed to be given in the middle of the round trip.
func (s *Service) receiveAnswers(answer Answers) {
	sentAt := s.startedAt.Add(answer.Asked)
	roundTrip := time.Since(sentAt)
	if roundTrip < 0 || roundTrip > maxRoundTrip {
		return
	}
	s.options.Endpoints.HearAnswers(sentAt.Add(roundTrip/2), answer.Ages)
}

// otherReaders returns the readers without this node.
func (t *topology) otherReaders(self string) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	others := make([]string, 0, len(t.readers))
	for _, address := range t.readers {
		if address != self {
			others = append(others, address)
		}
	}
	return others
}
