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

// Changes of thousands of endpoints go compressed: each has the same pool, domain and form, and over a link of 20 Mbit/s ten thousand of them take
// a third of a second as they stand, for each peer that asks. A node of an earlier release does not know the question and leaves it unanswered; the
// next one is asked in the earlier form.

const (
	// packFrom is the number of changes from which an answer is compressed; fewer are sent as they stand.
	packFrom = 64
	// packedFor is how long an answer is kept for other peers with the same question: the children of a node ask in the same moment.
	packedFor = 500 * time.Millisecond
)

// PackedAsk asks for the changes of endpoints after an offset, compressed where they are many.
type PackedAsk struct {
	After chivelog.Position
}

// PackedChanges are changes of endpoints, compressed.
type PackedChanges struct {
	Data []byte
}

// packed is the last compressed answer.
type packed struct {
	after  chivelog.Position
	newest chivelog.Position
	at     time.Time
	answer PackedChanges
}

// answers reports whether the answer is that to a question, as of what is known now.
func (p *packed) answers(now time.Time, after, newest chivelog.Position) bool {
	return p.answer.Data != nil && p.after == after && p.newest == newest && now.Sub(p.at) < packedFor
}

// answerPacked answers a peer that asks for changes.
func (s *Service) answerPacked(from string, ask PackedAsk) {
	now, newest := time.Now(), s.o.Endpoints.Newest()
	if s.packed.answers(now, ask.After, newest) {
		s.send(from, chivewire.KindPackedChanges, s.packed.answer)
		return
	}
	update := s.o.Endpoints.Update(ask.After)
	if len(update.Changes) < packFrom {
		s.send(from, chivewire.KindChangesAnswer, update)
		return
	}
	data, err := chivewire.Pack(update)
	if err != nil {
		chiveevent.ChangesNotPassed.Log(context.Background(), s.o.Logger, slog.Int("changes", len(update.Changes)), slog.String("error", err.Error()))
		return
	}
	s.packed = packed{after: ask.After, newest: newest, at: now, answer: PackedChanges{Data: data}}
	s.send(from, chivewire.KindPackedChanges, s.packed.answer)
}

// takePacked takes a compressed answer.
func (s *Service) takePacked(from string, changes PackedChanges) {
	update, err := chivewire.Unpack[chivedirectory.Update](changes.Data)
	if err != nil {
		chiveevent.ChangesNotPassed.Log(context.Background(), s.o.Logger, slog.String("source", "peer "+from), slog.String("error", err.Error()))
		return
	}
	s.o.Endpoints.Learn(update, "peer "+from)
}
