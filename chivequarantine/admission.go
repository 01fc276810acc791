package chivequarantine

import (
	"context"
	"time"

	"chivedrift/chiveevent"
	"chivedrift/chivehealth"
	"chivedrift/chiverequest"
	"chivedrift/chiveroute"
	"chivedrift/chivewire"
)

const (
	// probeWithin is how long a granted probe may be used: the caller comes back within that, here or at another node.
	probeWithin = 10 * time.Second
	// probeRetry is the Retry-After while another node is asked for a probe.
	probeRetry = 500 * time.Millisecond
)

// Admission tells what may be done with a request now.
type Admission struct {
	// Quarantined means that the request must not be sent, and RetryAfter when its caller may come back.
	Quarantined bool
	RetryAfter  time.Duration
	// Probe means that it may be sent to one endpoint, to see whether that crashes.
	Probe bool
}

// Admit returns what may be done with a request now; a probe is granted once.
func (s *Service) Admit(now time.Time, request *chiverequest.Request) Admission {
	if s.idle.Load() {
		return Admission{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	until, quarantined := s.register.QuarantinedUntil(request.Content)
	switch {
	case !quarantined:
		return Admission{}
	case now.Before(until):
		return s.refuse(until.Sub(now))
	case s.takeProbe(now, request.Content):
		chiveevent.QuarantineProbe.Log(context.Background(), s.o.Logger, chiveevent.Request(request.ID), chiveevent.Content(request.Content))
		return Admission{Probe: true}
	}
	return s.refuse(probeRetry)
}

func (s *Service) refuse(after time.Duration) Admission {
	s.refused.Add(1)
	return Admission{Quarantined: true, RetryAfter: after}
}

// Quarantined reports, without asking for a probe, whether a request is quarantined now.
func (s *Service) Quarantined(now time.Time, request *chiverequest.Request) Admission {
	if s.idle.Load() {
		return Admission{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	until, quarantined := s.register.QuarantinedUntil(request.Content)
	if !quarantined {
		return Admission{}
	}
	return Admission{Quarantined: true, RetryAfter: max(until.Sub(now), probeRetry)}
}

// Crashed takes that an endpoint failed while it had a request of this node.
func (s *Service) Crashed(now time.Time, request *chiverequest.Request, failure chivehealth.Failure) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := Crash{
		Content: request.Content, Endpoint: failure.Endpoint, FailureDomain: failure.FailureDomain, Reporter: s.o.Mesh.Self(), Number: s.number + 1,
		Route: request.Route.Name, Team: request.Team, At: failure.At,
	}
	copies := copiesApart
	if failure.Unique {
		copies = crashesKept
	}
	if s.register.HasWithin(c, copies) {
		return
	}
	if s.register.AddCrash(now, c) {
		s.number = c.Number
		s.reportCrash(now, c)
		s.exonerate(now, c.Content)
		s.decide()
	}
}

// Answered takes that an endpoint answered a request completely, which releases it.
func (s *Service) Answered(now time.Time, request *chiverequest.Request) {
	s.answers.note(now, request.Content)
	if s.idle.Load() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reportAnswer(now, request.Content, now)
	s.decide()
}

// Alive takes that an endpoint, by its incarnation, answered a request that was sent to it at a time, which refutes that it crashed before.
func (s *Service) Alive(now time.Time, endpoint string, sent time.Time) {
	if s.idle.Load() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refute(now, endpoint, sent, s.o.Mesh.Self())
	s.decide()
}

// Watch has a function called, once or more, when a request is quarantined while an attempt of it is under way; stop ends that.
func (s *Service) Watch(request *chiverequest.Request, quarantined func()) (stop func()) {
	content, w := request.Content, &watch{quarantined}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.watches[content] == nil {
		s.watches[content] = make(map[*watch]struct{})
	}
	s.watches[content][w] = struct{}{}
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.watches[content], w)
		if len(s.watches[content]) == 0 {
			delete(s.watches, content)
		}
	}
}

// takeProbe takes the probe of a request whose quarantine is over, or asks for one; the caller holds the lock.
//
// One node coordinates the probes of all: if each node probed the request once, as many engines would crash as there are nodes.
func (s *Service) takeProbe(now time.Time, content chiverequest.Fingerprint) bool {
	if by, ok := s.granted[content]; ok && now.Before(by) {
		delete(s.granted, content)
		return true
	}
	ranked := chiveroute.Ranked("trial/"+string(content), "", s.members)
	if len(ranked) == 0 || ranked[0].Address == s.o.Mesh.Self() {
		return s.mayProbe(now, content)
	}
	s.send(ranked[0].Address, chivewire.KindProbeRequest, ProbeRequest{Content: content})
	return false
}

// grantProbe allows a peer a probe where it is time for one.
func (s *Service) grantProbe(now time.Time, from string, content chiverequest.Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mayProbe(now, content) {
		s.send(from, chivewire.KindProbeGrant, ProbeGrant{Content: content})
	}
}

// mayProbe reports whether it is time for a probe, and takes it; the caller holds the lock.
func (s *Service) mayProbe(now time.Time, content chiverequest.Fingerprint) bool {
	if until, quarantined := s.register.QuarantinedUntil(content); quarantined && now.Before(until) {
		return false
	}
	if last, ok := s.given[content]; ok && now.Sub(last) < s.register.QuarantineLength(content) {
		return false
	}
	s.given[content] = now
	return true
}

// forgetProbes drops what is over; the caller holds the lock.
func (s *Service) forgetProbes(now time.Time) {
	for content, by := range s.granted {
		if now.After(by) {
			delete(s.granted, content)
		}
	}
	for content, at := range s.given {
		if now.Sub(at) > quarantineMost {
			delete(s.given, content)
		}
	}
}
