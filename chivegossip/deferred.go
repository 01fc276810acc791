package chivegossip

import (
	"maps"
	"slices"
	"time"

	"chivedrift/chivedirectory"
	"chivedrift/chivewire"
)

const (
	// maxDeferredPerMessage keeps the messages of a fleet whose endpoints all restart at once well below the size of a
	// frame.
	maxDeferredPerMessage = 256
	// maxRepeatedDeferrals is the maximum number of deferred records that are sent with each digest.
	maxRepeatedDeferrals = 64
)

// DeferredChanges holds records of endpoints that the sender defers or has deferred. They are sent before the changes
// that a peer requests, and with each digest as long as they are deferred: a peer whose position is beyond a record that
// it never received does not request it. Earlier releases do not know this message.
type DeferredChanges struct {
	Records []chivedirectory.Deferred
	// Part is the number of the message, from 1 on, among those before requested changes; 0 for one with a digest.
	Part int
}

// joinPeriod is the maximum time between deferred records and the changes that a peer sent after them.
const joinPeriod = time.Second

// joinedRecords are the deferred records that peers have sent before requested changes, until those arrive. A full list
// of endpoints alone would cancel records that the peer defers.
type joinedRecords struct {
	byPeer map[string]receivedRecords
}

type receivedRecords struct {
	at      time.Time
	records []chivedirectory.Deferred
}

// add adds the records of a message from a peer and forgets old ones.
func (j *joinedRecords) add(now time.Time, peer string, m DeferredChanges) {
	maps.DeleteFunc(j.byPeer, func(from string, r receivedRecords) bool {
		return now.Sub(r.at) > joinPeriod || from == peer && m.Part <= 1
	})
	if j.byPeer == nil {
		j.byPeer = make(map[string]receivedRecords)
	}
	if m.Part > 0 {
		j.byPeer[peer] = receivedRecords{at: now, records: append(j.byPeer[peer].records, m.Records...)}
	}
}

// take returns the records from a peer and forgets them.
func (j *joinedRecords) take(now time.Time, peer string) []chivedirectory.Deferred {
	received := j.byPeer[peer]
	delete(j.byPeer, peer)
	if now.Sub(received.at) > joinPeriod {
		return nil
	}
	return received.records
}

// learnDeferred applies deferred records from a peer, and remembers them for the changes that follow.
func (s *Service) learnDeferred(from string, m DeferredChanges) {
	s.joined.add(time.Now(), from, m)
	s.options.Endpoints.Learn(chivedirectory.Update{Deferred: m.Records}, "peer "+from)
}

// learnUpdate applies changes from a peer with the deferred records that it sent before them.
func (s *Service) learnUpdate(from string, update chivedirectory.Update) {
	update.Deferred = s.joined.take(time.Now(), from)
	s.options.Endpoints.Learn(update, "peer "+from)
}

// sendUpdate sends a peer the changes that it has requested.
func (s *Service) sendUpdate(to string, update chivedirectory.Update) {
	s.sendDeferred(to, update.Deferred)
	s.send(to, chivewire.KindChangesAnswer, update.Plain())
}

// sendDeferred sends a peer deferred records before the changes that it has requested.
func (s *Service) sendDeferred(to string, records []chivedirectory.Deferred) {
	part := 0
	for chunk := range slices.Chunk(records, maxDeferredPerMessage) {
		part++
		s.send(to, chivewire.KindDeferredChanges, DeferredChanges{Records: chunk, Part: part})
	}
}

// repeatDeferred sends a peer what this node defers, whatever the peer's position.
func (s *Service) repeatDeferred(to string) {
	if records := s.options.Deferred(maxRepeatedDeferrals); len(records) > 0 {
		s.send(to, chivewire.KindDeferredChanges, DeferredChanges{Records: records})
	}
}
