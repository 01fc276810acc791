package chivegossip

import (
	"time"

	"chivedrift/chivewire"
)

// A node that lost the store asks the readers whether the store answered them meanwhile: if it did, only this node was cut off,
// and entries that are missing now have not merely lapsed.

// answersWithin is the longest time there and back after which an answer still counts: a question or an answer that was held up
// in a cut connection would tell of another time than it seems to. Between failure domains of a region it is a few milliseconds.
const answersWithin = 300 * time.Millisecond

// AnswersAsk asks a peer when the store answered it.
type AnswersAsk struct {
	// Asked is the time since the sender's start, which the answer brings back; unlike the time of day it never jumps.
	Asked  time.Duration
	Within time.Duration
}

// Answers tells how long ago the store answered the sender.
type Answers struct {
	Asked time.Duration
	Ages  []time.Duration
}

// WentStale hears that it matters from now on whether the store answered the peers.
func (s *Service) WentStale() {
	select {
	case s.stale <- struct{}{}:
	default:
		// The peers are about to be asked anyway.
	}
}

// askAnswers asks the readers while this node may be stale.
func (s *Service) askAnswers() {
	within := s.o.Endpoints.Staleness()
	if within == 0 {
		return
	}
	for _, address := range s.fleet.sources(s.o.Mesh.Self()) {
		s.send(address, chivewire.KindAnswersAsk, AnswersAsk{Asked: time.Since(s.began), Within: within})
	}
}

// hearAnswers takes a peer's answer. The moment at which it was given is taken for the middle of the way there and back.
func (s *Service) hearAnswers(answer Answers) {
	asked := s.began.Add(answer.Asked)
	took := time.Since(asked)
	if took < 0 || took > answersWithin {
		return
	}
	s.o.Endpoints.HearAnswers(asked.Add(took/2), answer.Ages)
}

// sources returns the nodes that read the store, without this one.
func (f *fleet) sources(self string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	sources := make([]string, 0, len(f.reading))
	for _, address := range f.reading {
		if address != self {
			sources = append(sources, address)
		}
	}
	return sources
}
