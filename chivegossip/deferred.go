package chivegossip

import (
	"slices"

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
