package chivegossip

import (
	"time"

	"chivedrift/chivedirectory"
	"chivedrift/chivelog"
	"chivedrift/chivewire"
)

// Nodes are upgraded one after the other, and a change may come meanwhile. Nodes of the release before know neither parts of documents nor
// when an endpoint started, and cannot decode a message that has a field more: they answer Digest with their own, and expect to be sent
// whole what they lack. Without this, those whose readers were upgraded first would keep their configuration until they are upgraded too, as
// they hear from each other and so leave the reading to others.

// earlierDocument is a whole document.
type earlierDocument struct {
	Table int64
	Data  []byte
}

// earlierChanges are changes of endpoints that do not tell when these started.
type earlierChanges struct {
	Changes []earlierWord
}

type earlierWord struct {
	Offset   chivelog.Position
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
func (s *Service) sendEarlier(to string, theirs Digest) {
	if data, version := s.o.Tables.Document(); version > theirs.Table {
		s.send(to, chivewire.KindDocument, earlierDocument{Table: version, Data: data})
	}
	if s.o.Endpoints.Newest() > theirs.Offset {
		s.send(to, chivewire.KindEarlierChanges, newEarlierWords(s.o.Endpoints.Update(theirs.Offset).Changes))
	}
}

// takeEarlierDocument takes a document of a node of an earlier release.
func (s *Service) takeEarlierDocument(from string, document earlierDocument) {
	if document.Table > s.o.Tables.Version() {
		s.o.Tables.Learn(document.Data, "peer "+from)
	}
}

func newEarlierWords(changes []chivedirectory.Change) earlierChanges {
	earlier := make([]earlierWord, 0, len(changes))
	for _, w := range changes {
		e := w.Endpoint
		earlier = append(earlier, earlierWord{
			Offset: w.Position, Gone: w.Gone, Missing: w.Missing, Keep: w.Keep,
			Endpoint: earlierEndpoint{e.ID, e.Pool, e.Address, e.FailureDomain, e.Slots, e.State, e.WarmUp},
		})
	}
	return earlierChanges{earlier}
}

func (e earlierChanges) update() chivedirectory.Update {
	changes := make([]chivedirectory.Change, 0, len(e.Changes))
	for _, w := range e.Changes {
		changes = append(changes, chivedirectory.Change{
			Position: w.Offset, Gone: w.Gone, Missing: w.Missing, Keep: w.Keep,
			Endpoint: chivedirectory.Endpoint{
				ID: w.Endpoint.ID, Pool: w.Endpoint.Pool, Address: w.Endpoint.Address, FailureDomain: w.Endpoint.FailureDomain,
				Slots: w.Endpoint.Slots, State: w.Endpoint.State, WarmUp: w.Endpoint.WarmUp,
			},
		})
	}
	return chivedirectory.Update{Changes: changes}
}
