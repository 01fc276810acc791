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
}

// joinPeriod is the maximum time between deferred records and the changes that a peer sent after them.
const joinPeriod = time.Second

// joinedRecords are the deferred records that peers have sent, until the changes after them arrive. A full list of
// endpoints alone would cancel records that the peer defers.
type joinedRecords struct {
	byPeer map[string]receivedRecords
}

type receivedRecords struct {
	at      time.Time
	records []chivedirectory.Deferred
}

// add adds records from a peer and forgets old ones.
func (j *joinedRecords) add(now time.Time, peer string, records []chivedirectory.Deferred) {
	maps.DeleteFunc(j.byPeer, func(_ string, r receivedRecords) bool { return now.Sub(r.at) > joinPeriod })
	if j.byPeer == nil {
		j.byPeer = make(map[string]receivedRecords)
	}
	j.byPeer[peer] = receivedRecords{at: now, records: append(j.byPeer[peer].records, records...)}
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
func (s *Service) learnDeferred(from string, records []chivedirectory.Deferred) {
	s.joined.add(time.Now(), from, records)
	s.options.Endpoints.Learn(chivedirectory.Update{Deferred: records}, "peer "+from)
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

// sendDeferred sends a peer deferred records, if there are any.
func (s *Service) sendDeferred(to string, records []chivedirectory.Deferred) {
	for part := range slices.Chunk(records, maxDeferredPerMessage) {
		s.send(to, chivewire.KindDeferredChanges, DeferredChanges{part})
	}
}
