package chivegossip

import (
	"time"

	"chivedrift/chivedirectory"
	"chivedrift/chivewire"
)

// Nodes are upgraded one after the other, and a change may come meanwhile. Nodes of the release before know neither parts of documents nor
// when an endpoint started, and cannot decode a message that has a field more: they answer Knowledge with their own, and expect to be sent
// whole what they lack. Without this, those whose readers were upgraded first would keep their configuration until they are upgraded too, as
// they hear from each other and so leave the reading to others.

// earlierDocument is a whole document.
type earlierDocument struct {
	Table int64
	Data  []byte
}

// earlierWords are words on endpoints that do not tell when these started.
type earlierWords struct {
	Words []earlierWord
}

type earlierWord struct {
	Offset   int64
	Gone     bool
	Missing  bool
	Keep     time.Duration
	Endpoint earlierEndpoint
	Read     bool
}

type earlierEndpoint struct {
	ID            string
	Pool          string
	Address       string
	FailureDomain string
	Slots         int
	State         chivedirectory.State
	WarmUp        time.Duration
}

// sendEarlier sends a node of an earlier release what it lacks.
func (s *Service) sendEarlier(to string, theirs Knowledge) {
	if data, version := s.o.Tables.Document(); version > theirs.Table {
		s.send(to, chivewire.KindDocument, earlierDocument{Table: version, Data: data})
	}
	if s.o.Endpoints.Newest() > theirs.Offset {
		s.send(to, chivewire.KindWords, newEarlierWords(s.o.Endpoints.Update(theirs.Offset).Words))
	}
}

// takeEarlierDocument takes a document of a node of an earlier release.
func (s *Service) takeEarlierDocument(from string, document earlierDocument) {
	if document.Table > s.o.Tables.Version() {
		s.o.Tables.Learn(document.Data, "peer "+from)
	}
}

func newEarlierWords(words []chivedirectory.Word) earlierWords {
	earlier := make([]earlierWord, 0, len(words))
	for _, w := range words {
		e := w.Endpoint
		earlier = append(earlier, earlierWord{
			Offset: w.Offset, Gone: w.Gone, Missing: w.Missing, Keep: w.Keep,
			Endpoint: earlierEndpoint{e.ID, e.Pool, e.Address, e.FailureDomain, e.Slots, e.State, e.WarmUp},
		})
	}
	return earlierWords{earlier}
}

func (e earlierWords) update() chivedirectory.Update {
	words := make([]chivedirectory.Word, 0, len(e.Words))
	for _, w := range e.Words {
		words = append(words, chivedirectory.Word{
			Offset: w.Offset, Gone: w.Gone, Missing: w.Missing, Keep: w.Keep,
			Endpoint: chivedirectory.Endpoint{
				ID: w.Endpoint.ID, Pool: w.Endpoint.Pool, Address: w.Endpoint.Address, FailureDomain: w.Endpoint.FailureDomain,
				Slots: w.Endpoint.Slots, State: w.Endpoint.State, WarmUp: w.Endpoint.WarmUp,
			},
		})
	}
	return chivedirectory.Update{Words: words}
}
