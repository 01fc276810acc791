package chiveforward

import (
	"errors"
	"strconv"
)

var (
	errNoPosition    = errors.New("event of a resumed stream has no number")
	errEventsOverlap = errors.New("events of a resumed stream do not end where those passed on before do")
	errEventOrder    = errors.New("number of an event is not above the one before")
	errForeignBytes  = errors.New("bytes behind the events of a stream are no event of it")
)

// position is the number of an event in its stream, if its ID is one.
type position struct {
	number int64
	known  bool
}

func positionOf(id string) position {
	number, err := strconv.ParseInt(id, 10, 64)
	return position{number: number, known: err == nil}
}

// eventSequence checks that the events of an attempt follow each other, and those that were passed on before.
type eventSequence struct {
	// isOrdered means that the events have increasing numbers.
	isOrdered bool
	// endsWithConnection means that the stream has neither a length nor chunks, so that it ends when the connection closes.
	endsWithConnection bool
	// after is the last event that was passed on before the attempt, last the one before the next event of the attempt.
	after, last position
	// hasJoined means that events of the attempt are known to follow after.
	hasJoined bool
}

// newEventSequence returns a sequence that goes on behind the event with an ID, or begins if that is empty.
func newEventSequence(after string, isOrdered, endsWithConnection bool) *eventSequence {
	s := &eventSequence{after: positionOf(after), endsWithConnection: endsWithConnection}
	s.isOrdered, s.hasJoined = isOrdered || s.after.known, !s.after.known
	return s
}

// isResumed reports whether the sequence goes on behind an event.
func (s *eventSequence) isResumed() bool { return s.after.known }

// next checks the next event, and reports whether it is to be passed on; otherwise it was before.
func (s *eventSequence) next(e event) (isNew bool, err error) {
	if !e.hasFields {
		return true, nil
	}
	before, number := s.last, positionOf(e.id)
	if number.known {
		s.last = number
	}
	if s.isOrdered {
		if err := s.checkOrder(e, before, number); err != nil {
			return false, err
		}
	}
	switch {
	case s.hasJoined:
		return true, nil
	case !number.known:
		return false, errNoPosition
	case number.number <= s.after.number:
		return false, nil
	case before.known && before.number != s.after.number:
		return false, errEventsOverlap
	}
	s.hasJoined = true
	return true, nil
}

// checkOrder checks that an event with a number may follow the last one that had a number in the same attempt.
func (s *eventSequence) checkOrder(e event, before, number position) error {
	switch {
	case s.endsWithConnection && (e.isMalformed || before.known && !number.known):
		return errForeignBytes
	case before.known && number.known && number.number <= before.number:
		return errEventOrder
	}
	return nil
}
