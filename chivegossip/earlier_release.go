package chivegossip

import (
	"time"

	"chivedrift/chivedirectory"
	"chivedrift/chivelog"
	"chivedrift/chivewire"
)

// Nodes are upgraded one after the other, and changes may come in between. Nodes of the previous release know neither
// parts of documents nor the start times of endpoints, and cannot decode a message that has one field more. They answer
// a Digest with their own, and expect to be sent in full what they lack. If they were not, nodes whose readers were
// upgraded first would keep their old configuration until their own upgrade: they hear from each other, and so leave
// reading the store to others.

// earlierDocument is a document in one message.
type earlierDocument struct {
	Table int64
	Data  []byte
}

// earlierChanges are changes of endpoints without the endpoints' start times.
type earlierChanges struct {
	Changes []earlierChange
}

type earlierChange struct {
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

// sendToEarlierRelease sends a node of an earlier release what it lacks.
func (s *Service) sendToEarlierRelease(to string, remote Digest) {
	if data, version := s.options.Tables.Document(); version > remote.Table {
		s.send(to, chivewire.KindDocument, earlierDocument{Table: version, Data: data})
	}
	if s.options.Endpoints.Newest() > remote.Offset {
		s.send(to, chivewire.KindEarlierChanges, newEarlierChanges(s.options.Endpoints.Update(remote.Offset).Plain().Changes))
	}
}

// receiveEarlierDocument applies a document from a node of an earlier release.
func (s *Service) receiveEarlierDocument(from string, document earlierDocument) {
	if document.Table > s.options.Tables.Version() {
		s.options.Tables.Learn(document.Data, "peer "+from)
	}
}

func newEarlierChanges(changes []chivedirectory.Change) earlierChanges {
	earlier := make([]earlierChange, 0, len(changes))
	incarnations := make(map[string]chivedirectory.Incarnation)
	for _, c := range changes {
		e := c.Endpoint
		if incarnations[e.ID].Follows(e.Incarnation()) {
			// Without start times, the peer would apply the deferred record at once.
			continue
		}
		incarnations[e.ID] = e.Incarnation()
		earlier = append(earlier, earlierChange{
			Offset: c.Position, Gone: c.Gone, Missing: c.Missing, Keep: c.Keep,
			Endpoint: earlierEndpoint{e.ID, e.Pool, e.Address, e.FailureDomain, e.Slots, e.State, e.WarmUp},
		})
	}
	return earlierChanges{earlier}
}

func (e earlierChanges) update() chivedirectory.Update {
	changes := make([]chivedirectory.Change, 0, len(e.Changes))
	for _, c := range e.Changes {
		changes = append(changes, chivedirectory.Change{
			Position: c.Offset, Gone: c.Gone, Missing: c.Missing, Keep: c.Keep,
			Endpoint: chivedirectory.Endpoint{
				ID: c.Endpoint.ID, Pool: c.Endpoint.Pool, Address: c.Endpoint.Address, FailureDomain: c.Endpoint.FailureDomain,
				Slots: c.Endpoint.Slots, State: c.Endpoint.State, WarmUp: c.Endpoint.WarmUp,
			},
		})
	}
	return chivedirectory.Update{Changes: changes}
}
