package chivequarantine

import (
	"context"
	"errors"
	"time"

	"chivedrift/chiverequest"
	"chivedrift/chiveroute"
	"chivedrift/chivewire"
)

const (
	// suspicionThreshold is how many endpoints must have crashed under requests with a part for the fleet to send only one of
	// these at a time, until it is quarantined or exonerated.
	suspicionThreshold = 2
	// suspicionPeriod is how long after the last of these crashes that holds.
	suspicionPeriod = 3 * time.Second
	// permitTTL is how long a permit counts if neither a crash nor an answer follows.
	permitTTL = time.Second
	// permitReplyTimeout is how long the node that issues the permits may take to reply in the same region: several network
	// round trips.
	permitReplyTimeout = 30 * time.Millisecond
	// maxPermits bounds the memory use.
	maxPermits = 1024
)

// PermitAsk asks for a permit to send a request with a suspicious part.
type PermitAsk struct {
	// Number identifies the request among those of the sending node.
	Number uint64
	Part   chiverequest.Fingerprint
}

// PermitAnswer is the reply to a PermitAsk.
type PermitAnswer struct {
	Number  uint64
	Granted bool
}

// permit is the last one that was issued for a part, with the number of endpoints that had crashed then.
type permit struct {
	issuedAt  time.Time
	endpoints int
}

// Permit reports whether a request may be sent now, as far as its parts are suspicious: engines have crashed under them,
// too few for a quarantine. Requests under way at the time of a crash would crash as many engines before the others know.
// If the node that issues the permits does not reply, the request may be sent, since suspicion is weak evidence.
func (s *Service) Permit(ctx context.Context, now time.Time, request *chiverequest.Request) bool {
	if s.empty.Load() || len(request.Shared) == 0 {
		return true
	}
	s.mu.Lock()
	part, suspicious := s.registry.suspiciousPart(now, request.Shared)
	ranked := chiveroute.Ranked("permit/"+string(part), "", s.members)
	s.mu.Unlock()
	if !suspicious {
		return true
	}
	if len(ranked) == 0 || ranked[0].Address == s.options.Mesh.Self() {
		return s.issuePermit(now, part)
	}
	answer, err := s.permitCalls.Call(ctx, ranked[0].Address, permitReplyTimeout, func(number uint64) error {
		return s.options.Mesh.Send(ranked[0].Address, chivewire.KindPartPermitAsk, PermitAsk{Number: number, Part: part})
	})
	return answer.Granted || err != nil && !errors.Is(err, context.Canceled)
}

// suspiciousPart returns the part of a request under which most engines have crashed, if it is suspicious.
func (r *Register) suspiciousPart(now time.Time, parts []chiverequest.SharedPart) (part chiverequest.Fingerprint, suspicious bool) {
	most := suspicionThreshold - 1
	for _, p := range parts {
		s, ok := r.suspects[p.Key]
		if !ok {
			continue
		}
		crashes := s.implicatingCrashes(nil)
		if endpoints := crashedEndpoints(crashes); endpoints > most && now.Sub(crashes[len(crashes)-1].At) < suspicionPeriod {
			part, most, suspicious = p.Key, endpoints, true
		}
	}
	return part, suspicious
}

// issuePermit reports whether a request with a part may be sent, and records it.
func (s *Service) issuePermit(now time.Time, part chiverequest.Fingerprint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	endpoints := s.registry.Endpoints(part)
	if last, ok := s.permits[part]; ok && now.Sub(last.issuedAt) < permitTTL && last.endpoints == endpoints && !s.isExonerated(now, part) {
		return false
	}
	if len(s.permits) >= maxPermits {
		clear(s.permits)
	}
	s.permits[part] = permit{now, endpoints}
	return true
}

// isExonerated reports whether an answer exonerates a part now. The caller must hold s.mu.
func (s *Service) isExonerated(now time.Time, part chiverequest.Fingerprint) bool {
	suspect, ok := s.registry.suspects[part]
	return ok && !suspect.lastAnswer.IsZero() && now.Before(suspect.lastAnswer.Add(exonerationPeriod))
}

func (s *Service) answerPermit(from string, ask PermitAsk) {
	// The peer sends its request if the reply is lost.
	_ = s.options.Mesh.Send(from, chivewire.KindPartPermit, PermitAnswer{Number: ask.Number, Granted: s.issuePermit(time.Now(), ask.Part)})
}

// expirePermits removes permits that no longer count. The caller must hold s.mu.
func (s *Service) expirePermits(now time.Time) {
	for part, p := range s.permits {
		if now.Sub(p.issuedAt) >= permitTTL {
			delete(s.permits, part)
		}
	}
}
