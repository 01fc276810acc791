package chivegossip

import (
	"context"
	"log/slog"
	"time"

	"chivedrift/chivedirectory"
	"chivedrift/chiveevent"
	"chivedrift/chivelog"
	"chivedrift/chivewire"
)

// Many changes of endpoints are sent compressed: their pools, failure domains and structure repeat, and over a link of
// 20 Mbit/s ten thousand of them take a third of a second uncompressed, for each peer that requests them. A node of an
// earlier release does not know the request for compressed changes and leaves it unanswered; the next request then has
// the earlier form.

const (
	// minCompressedChanges is the number of changes from which an answer is compressed.
	minCompressedChanges = 64
	// responseCacheTTL is how long a compressed answer is kept for other peers with the same request: the children of a
	// node send theirs at the same moment.
	responseCacheTTL = 500 * time.Millisecond
)

// PackedAsk requests the changes of endpoints after an offset, compressed if there are many.
type PackedAsk struct {
	After chivelog.Position
}

// PackedChanges holds compressed changes of endpoints.
type PackedChanges struct {
	Data []byte
}

// cachedResponse is the last compressed answer.
type cachedResponse struct {
	after     chivelog.Position
	newest    chivelog.Position
	createdAt time.Time
	response  PackedChanges
	deferred  []chivedirectory.Deferred
}

// isValid reports whether the cached answer is still the right one to a request.
func (r *cachedResponse) isValid(now time.Time, after, newest chivelog.Position) bool {
	return r.response.Data != nil && r.after == after && r.newest == newest && now.Sub(r.createdAt) < responseCacheTTL
}

// sendChanges answers a peer's request for changes.
func (s *Service) sendChanges(from string, request PackedAsk) {
	now, newest := time.Now(), s.options.Endpoints.Newest()
	if s.cached.isValid(now, request.After, newest) {
		s.sendDeferred(from, s.cached.deferred)
		s.send(from, chivewire.KindPackedChanges, s.cached.response)
		return
	}
	update := s.options.Endpoints.Update(request.After)
	if len(update.Changes) < minCompressedChanges {
		s.sendUpdate(from, update)
		return
	}
	data, err := chivewire.Pack(update.Plain())
	if err != nil {
		chiveevent.ChangesNotPassed.Log(context.Background(), s.options.Logger, slog.Int("changes", len(update.Changes)), slog.String("error", err.Error()))
		return
	}
	s.cached = cachedResponse{after: request.After, newest: newest, createdAt: now, response: PackedChanges{Data: data}, deferred: update.Deferred}
	s.sendDeferred(from, s.cached.deferred)
	s.send(from, chivewire.KindPackedChanges, s.cached.response)
}

// receiveCompressed applies compressed changes.
func (s *Service) receiveCompressed(from string, changes PackedChanges) {
	update, err := chivewire.Unpack[chivedirectory.Update](changes.Data)
	if err != nil {
		chiveevent.ChangesNotPassed.Log(context.Background(), s.options.Logger, slog.String("source", "peer "+from), slog.String("error", err.Error()))
		return
	}
	s.learnUpdate(from, update)
}
