package chivelease

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"chivedrift/chiveevent"
	"chivedrift/chivelog"
)

// claim writes a record that starts a new tenure.
func (s *Service) claim(ctx context.Context) {
	s.writeRecord(ctx, Record{Holder: s.opts.Self, Incarnation: s.opts.Incarnation})
}

// renew writes a record that extends the current tenure.
func (s *Service) renew(ctx context.Context) {
	s.mu.Lock()
	token := s.token
	s.mu.Unlock()
	s.writeRecord(ctx, Record{Holder: s.opts.Self, Incarnation: s.opts.Incarnation, Token: token})
}

// release ends the current tenure. If the release is not written, the lease stays taken until its term expires.
func (s *Service) release(ctx context.Context) {
	s.mu.Lock()
	r := Record{Holder: s.opts.Self, Incarnation: s.opts.Incarnation, Token: s.token, Released: true}
	if s.held {
		s.endTenure("released")
	}
	s.mu.Unlock()
	data, err := r.encode()
	if err != nil {
		return
	}
	if _, err := s.append(ctx, leaseKey, data); err != nil {
		chiveevent.LeaseNotReleased.Log(ctx, s.opts.Logger, slog.String("error", err.Error()))
	}
	s.mu.Lock()
	s.view.known = false
	s.mu.Unlock()
}

// writeRecord writes a claim or a renewal. The term is measured from before the call.
func (s *Service) writeRecord(ctx context.Context, r Record) {
	calledAt := s.opts.SinceBoot()
	s.mu.Lock()
	s.callNumber++
	r.Call = s.callNumber
	s.unconfirmedAt = 0
	s.mu.Unlock()
	data, err := r.encode()
	if err != nil {
		return
	}
	at, err := s.append(ctx, leaseKey, data)
	if err != nil {
		s.mu.Lock()
		if errors.Is(err, chivelog.ErrUnknown) {
			s.unconfirmedAt = calledAt
		}
		s.mu.Unlock()
		s.handleFailure(ctx, err)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view.record, s.view.at, s.view.firstRead, s.view.end, s.view.free = r, at, calledAt, at+1, false
	s.setHeld(ctx, calledAt)
}

// setHeld marks the lease as held by this node, whose record, written by a call made at calledAt, is the newest. The
// caller holds the lock.
func (s *Service) setHeld(ctx context.Context, calledAt time.Duration) {
	isNew := !s.held
	s.held, s.token, s.validUntil, s.unconfirmedAt = true, s.view.token(), s.localExpiry(calledAt), 0
	s.ownRecordAt = s.view.at
	s.nextCallAt = calledAt + s.opts.Term/renewDivisor
	if isNew {
		s.counts.Claims++
		chiveevent.LeaseTaken.Log(ctx, s.opts.Logger, slog.Int64("token", s.token), slog.Int64("left_ms", (s.validUntil-s.opts.SinceBoot()).Milliseconds()))
	}
}

// localExpiry returns when this node must stop acting after a claim or renewal made at calledAt, unless it renews
// again.
func (s *Service) localExpiry(calledAt time.Duration) time.Duration {
	return calledAt + s.opts.Term - s.opts.Term/marginDivisor
}

// endTenure ends the current tenure at this node, without writing a record. The caller holds the lock.
func (s *Service) endTenure(reason string) {
	s.held, s.lostAt = false, s.opts.SinceBoot()
	s.counts.Losses++
	s.nextCallAt = 0
	chiveevent.LeaseLost.Log(context.Background(), s.opts.Logger, slog.Int64("token", s.token), slog.String("reason", reason))
}

// append writes a record on the condition that the topic has not changed since this node last read or wrote it.
func (s *Service) append(ctx context.Context, key string, value []byte) (chivelog.Position, error) {
	s.mu.Lock()
	end := s.view.end
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return s.opts.Topic.Append(ctx, end, key, value)
}

// handleFailure handles a failed append: it schedules a retry if the record was certainly not written, and otherwise
// reads the topic to find out.
func (s *Service) handleFailure(ctx context.Context, err error) {
	s.mu.Lock()
	s.counts.Failures++
	s.mu.Unlock()
	if errors.Is(err, chivelog.ErrNotAppended) {
		s.retryLater()
		return
	}
	s.refresh(ctx)
}

// handleFailedWrite handles a failed append of a value, which does not delay the next renewal.
func (s *Service) handleFailedWrite(ctx context.Context, err error) {
	s.mu.Lock()
	dueAt := s.nextCallAt
	s.mu.Unlock()
	s.handleFailure(ctx, err)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.held {
		s.nextCallAt = min(s.nextCallAt, dueAt)
	}
}

func (s *Service) retryLater() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextCallAt = s.opts.SinceBoot() + retryDelay
}

// refresh reads the topic and updates the view.
func (s *Service) refresh(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	snapshot, err := s.opts.Topic.Snapshot(ctx)
	if err != nil {
		s.retryLater()
		return
	}
	s.applySnapshot(ctx, snapshot)
}

// applySnapshot updates the view and the tenure from a snapshot of the topic. If the last claim or renewal had an
// unknown outcome and turns out to be written, it takes effect.
func (s *Service) applySnapshot(ctx context.Context, snapshot chivelog.KeyedBatch) {
	now := s.opts.SinceBoot()
	s.mu.Lock()
	defer s.mu.Unlock()
	previous, current := s.view, newView(snapshot, now)
	if previous.known && current.at == previous.at {
		current.firstRead = previous.firstRead
	}
	current.free = current.isFreeAfter(&previous)
	s.view = current
	isSameEra := previous.known && current.end.Era() == previous.end.Era()
	if !isSameEra {
		// Another node may still act on a record that this node has not read, or that the store has lost.
		s.noClaimBefore = max(s.noClaimBefore, now+s.opts.Term)
	}
	s.nextCallAt = now + refreshInterval
	if current.free {
		s.nextCallAt = min(s.nextCallAt, max(now, s.noClaimBefore))
	}
	isOwn := isSameEra && s.isOwn(current.record) && !current.record.Released
	if s.held {
		s.checkTenure(now, isOwn && current.token() == s.token)
	}
	if isOwn && s.unconfirmedAt != 0 && current.record.Call == s.callNumber && now < s.localExpiry(s.unconfirmedAt) {
		s.setHeld(ctx, s.unconfirmedAt)
	}
	s.unconfirmedAt = 0
}

// checkTenure schedules an immediate renewal if the newest record belongs to the current tenure, and otherwise ends the
// tenure. The caller holds the lock.
func (s *Service) checkTenure(now time.Duration, isCurrent bool) {
	if isCurrent {
		s.nextCallAt = now
		return
	}
	s.endTenure("superseded by another record")
	s.noClaimBefore = max(s.noClaimBefore, now+s.opts.Term)
}

// newView returns the view of a snapshot that was read at now.
func newView(snapshot chivelog.KeyedBatch, now time.Duration) view {
	v := view{at: -1, firstRead: now, end: snapshot.Next, values: make(map[string][]byte), known: true}
	for _, r := range snapshot.Records {
		if r.Key != leaseKey {
			v.values[r.Key] = r.Value
			continue
		}
		// The lease of a record that cannot be decoded expires like that of a crashed holder.
		record, err := DecodeRecord(r.Value)
		if err != nil {
			record = Record{Holder: "unreadable"}
		}
		v.record, v.at = record, r.Position
	}
	return v
}
