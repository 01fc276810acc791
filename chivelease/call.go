package chivelease

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"chivedrift/chiveevent"
	"chivedrift/chivelog"
)

// claim starts a new tenure.
func (s *Service) claim(ctx context.Context) {
	s.put(ctx, Record{Holder: s.o.Self, Incarnation: s.o.Incarnation})
}

// renew extends the current tenure.
func (s *Service) renew(ctx context.Context) {
	s.mu.Lock()
	token := s.token
	s.mu.Unlock()
	s.put(ctx, Record{Holder: s.o.Self, Incarnation: s.o.Incarnation, Token: token})
}

// release ends the current tenure. If the release is not written, the lease stays taken until its term expires.
func (s *Service) release(ctx context.Context) {
	s.mu.Lock()
	r := Record{Holder: s.o.Self, Incarnation: s.o.Incarnation, Token: s.token, Released: true}
	if s.held {
		s.loseTenure("released")
	}
	s.mu.Unlock()
	data, err := r.encode()
	if err != nil {
		return
	}
	if _, err := s.append(ctx, leaseKey, data); err != nil {
		chiveevent.LeaseNotReleased.Log(ctx, s.o.Logger, slog.String("error", err.Error()))
	}
	s.mu.Lock()
	s.view.known = false
	s.mu.Unlock()
}

// put writes a claim or a renewal. The term is measured from before the call.
func (s *Service) put(ctx context.Context, r Record) {
	calledAt := s.o.SinceBoot()
	s.mu.Lock()
	s.call++
	r.Call = s.call
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

// setHeld marks the lease as held after the newest record was found to be this node's, written by a call made at calledAt. The caller holds the lock.
func (s *Service) setHeld(ctx context.Context, calledAt time.Duration) {
	began := !s.held
	s.held, s.token, s.until, s.unconfirmedAt = true, s.view.token(), s.usableUntil(calledAt), 0
	s.ownRecordAt = s.view.at
	s.nextCall = calledAt + s.o.Term/renewDivisor
	if began {
		s.counts.Claims++
		chiveevent.LeaseTaken.Log(ctx, s.o.Logger, slog.Int64("token", s.token), slog.Int64("left_ms", (s.until-s.o.SinceBoot()).Milliseconds()))
	}
}

// usableUntil returns when this node must stop acting after a claim or renewal made at calledAt.
func (s *Service) usableUntil(calledAt time.Duration) time.Duration {
	return calledAt + s.o.Term - s.o.Term/marginDivisor
}

// loseTenure ends the current tenure locally. The caller holds the lock.
func (s *Service) loseTenure(reason string) {
	s.held, s.lostAt = false, s.o.SinceBoot()
	s.counts.Losses++
	s.nextCall = 0
	chiveevent.LeaseLost.Log(context.Background(), s.o.Logger, slog.Int64("token", s.token), slog.String("reason", reason))
}

// append writes a record on the condition that the topic has not grown since this node last read it.
func (s *Service) append(ctx context.Context, key string, value []byte) (chivelog.Position, error) {
	s.mu.Lock()
	end := s.view.end
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return s.o.Topic.Append(ctx, end, key, value)
}

// handleFailure schedules a retry if the record was not written, and otherwise reads the topic to find out.
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

func (s *Service) retryLater() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextCall = s.o.SinceBoot() + retryAfter
}

// refresh reads the topic.
func (s *Service) refresh(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	batch, err := s.o.Topic.Snapshot(ctx)
	if err != nil {
		s.retryLater()
		return
	}
	s.applySnapshot(ctx, batch)
}

// applySnapshot updates the view, and the tenure if there is one, from a snapshot of the topic.
func (s *Service) applySnapshot(ctx context.Context, batch chivelog.KeyedBatch) {
	now := s.o.SinceBoot()
	s.mu.Lock()
	defer s.mu.Unlock()
	before, fresh := s.view, newView(batch, now)
	if before.known && fresh.at == before.at {
		fresh.firstRead = before.firstRead
	}
	fresh.free = fresh.isFreeAfter(&before)
	s.view = fresh
	isSameEra := before.known && fresh.end.Era() == before.end.Era()
	if !isSameEra {
		// Records that this node has not read, or that the store has lost, may have granted the lease to a node that still acts on it.
		s.noClaimBefore = max(s.noClaimBefore, now+s.o.Term)
	}
	s.nextCall = now + refreshEvery
	if fresh.free {
		s.nextCall = min(s.nextCall, max(now, s.noClaimBefore))
	}
	own := isSameEra && s.isOwn(fresh.record) && !fresh.record.Released
	if s.held {
		s.checkTenure(now, own && fresh.token() == s.token)
	}
	if own && s.unconfirmedAt != 0 && fresh.record.Call == s.call && now < s.usableUntil(s.unconfirmedAt) {
		s.setHeld(ctx, s.unconfirmedAt)
	}
	s.unconfirmedAt = 0
}

// checkTenure schedules an immediate renewal if the newest record belongs to the current tenure, and otherwise ends the tenure. The caller holds the
// lock.
func (s *Service) checkTenure(now time.Duration, isCurrent bool) {
	if isCurrent {
		s.nextCall = now
		return
	}
	s.loseTenure("superseded by another record")
	s.noClaimBefore = max(s.noClaimBefore, now+s.o.Term)
}

// newView builds a view from a snapshot that was read at now.
func newView(batch chivelog.KeyedBatch, now time.Duration) view {
	v := view{at: -1, firstRead: now, end: batch.Next, values: make(map[string][]byte), known: true}
	for _, r := range batch.Records {
		if r.Key != leaseKey {
			v.values[r.Key] = r.Value
			continue
		}
		// A record that cannot be decoded expires like that of a crashed holder.
		record, err := DecodeRecord(r.Value)
		if err != nil {
			record = Record{Holder: "unreadable"}
		}
		v.record, v.at = record, r.Position
	}
	return v
}
