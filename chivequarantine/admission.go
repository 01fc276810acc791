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
	// probeGrantTTL is how long a granted probe may be used; callers retry within that time, at this node or another.
	probeGrantTTL = 10 * time.Second
	// probeRetryAfter is the Retry-After while a probe is requested from another node.
	probeRetryAfter = 500 * time.Millisecond
)

// Admission is the decision whether a request may be sent now.
type Admission struct {
	// Quarantined means that the request must not be sent; its caller may retry after RetryAfter.
	Quarantined bool
	RetryAfter  time.Duration
	// Probe means that the request may be sent to one endpoint, to find out whether it crashes that endpoint.
	Probe bool
}

// Admit decides whether a request may be sent now; each probe is granted to one caller only.
func (s *Service) Admit(now time.Time, request *chiverequest.Request) Admission {
	if s.empty.Load() {
		return Admission{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	lead, until, held := s.registry.HeldUntil(fingerprintsOf(request))
	switch {
	case !held:
		return Admission{}
	case now.Before(until):
		return s.refuse(until.Sub(now))
	case s.acquireProbe(now, lead):
		chiveevent.QuarantineProbe.Log(context.Background(), s.options.Logger, chiveevent.Request(request.ID), chiveevent.Content(lead))
		return Admission{Probe: true}
	}
	return s.refuse(probeRetryAfter)
}

func (s *Service) refuse(after time.Duration) Admission {
	s.refused.Add(1)
	return Admission{Quarantined: true, RetryAfter: after}
}

// Quarantined reports whether a request is quarantined now, without requesting a probe.
func (s *Service) Quarantined(now time.Time, request *chiverequest.Request) Admission {
	if s.empty.Load() {
		return Admission{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	_, until, held := s.registry.HeldUntil(fingerprintsOf(request))
	if !held {
		return Admission{}
	}
	return Admission{Quarantined: true, RetryAfter: max(until.Sub(now), probeRetryAfter)}
}

// Crashed records and shares that an endpoint failed while it had a request of this node. If the endpoint had begun to
// answer it, the parts of its prompt are not suspect: one that crashes engines does so before. Nor are they if only another
// attempt has evidence of the failure: sound parts would soon be on as many crashed endpoints as the one that crashes them.
func (s *Service) Crashed(now time.Time, request *chiverequest.Request, failure chivehealth.Failure, begun bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := Crash{
		Content: request.Content, Endpoint: failure.Endpoint, FailureDomain: failure.FailureDomain, Reporter: s.options.Mesh.Self(),
		Route: request.Route.Name, Team: request.Team, At: failure.At,
	}
	s.addOwnCrash(now, c, failure)
	if !begun && failure.Evidence != chivehealth.EvidenceReported {
		c.Silent = failure.Evidence == chivehealth.EvidenceUnreachable || failure.Evidence == chivehealth.EvidenceStalled
		for _, p := range request.Shared {
			if at, ok := s.partAnswers.lastAnswer(p.Key); ok && now.Sub(at) < exonerationPeriod {
				continue
			}
			c.Content, c.Name = p.Key, p.Name
			s.addOwnCrash(now, c, failure)
		}
	}
	s.decide()
}

// addOwnCrash records and shares a crash that this node detected, unless it did so already for another attempt. The caller
// must hold s.mu.
func (s *Service) addOwnCrash(now time.Time, c Crash, failure chivehealth.Failure) {
	c.Number = s.lastNumber + 1
	window := duplicateWindow
	if failure.Unique {
		window = crashRetention
	}
	wasBroadcast := s.isBroadcast(c.Content)
	if s.registry.HasWithin(c, window) || !s.registry.AddCrash(now, c) {
		return
	}
	s.lastNumber = c.Number
	s.sendCrash(now, c, wasBroadcast)
	s.exonerate(now, c.Content)
}

// Begun records that an endpoint has begun to answer a request, which releases the parts of its prompt from quarantine.
func (s *Service) Begun(now time.Time, request *chiverequest.Request) {
	for _, p := range request.Shared {
		s.partAnswers.add(now, p.Key)
	}
	if s.empty.Load() || len(request.Shared) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range request.Shared {
		s.addAnswer(now, p.Key, now)
	}
	s.decide()
}

// Answered records that an endpoint answered a request completely, which releases the request from quarantine.
func (s *Service) Answered(now time.Time, request *chiverequest.Request) {
	s.answers.add(now, request.Content)
	s.Begun(now, request)
	if s.empty.Load() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addAnswer(now, request.Content, now)
	s.decide()
}

// Alive records that an endpoint, identified by its incarnation, answered a request that was sent at the given time.
// That refutes reports that it crashed before then.
func (s *Service) Alive(now time.Time, endpoint string, sent time.Time) {
	if s.empty.Load() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addAlive(now, endpoint, sent, s.options.Mesh.Self())
	s.decide()
}

// Watch registers a callback for a running attempt, which is called once or more if its request is quarantined, until
// stop is called.
func (s *Service) Watch(request *chiverequest.Request, onQuarantine func()) (stop func()) {
	w := &watch{fingerprintsOf(request), onQuarantine}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range w.fingerprints {
		if s.watches[f] == nil {
			s.watches[f] = make(map[*watch]struct{})
		}
		s.watches[f][w] = struct{}{}
	}
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, f := range w.fingerprints {
			delete(s.watches[f], w)
			if len(s.watches[f]) == 0 {
				delete(s.watches, f)
			}
		}
	}
}

// acquireProbe reports whether this node may now probe a request whose quarantine has ended; if another node
// coordinates the probes, it requests a grant there. The caller must hold s.mu.
//
// A single node coordinates all probes of a request: if each node probed on its own, one engine per node would crash.
func (s *Service) acquireProbe(now time.Time, content chiverequest.Fingerprint) bool {
	if expiry, ok := s.receivedGrants[content]; ok && now.Before(expiry) {
		delete(s.receivedGrants, content)
		return true
	}
	ranked := chiveroute.Ranked("trial/"+string(content), "", s.members)
	if len(ranked) == 0 || ranked[0].Address == s.options.Mesh.Self() {
		return s.tryProbe(now, content)
	}
	s.send(ranked[0].Address, chivewire.KindProbeRequest, ProbeRequest{Content: content})
	return false
}

// grantProbe sends a peer a probe grant if a probe is due.
func (s *Service) grantProbe(now time.Time, from string, content chiverequest.Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.tryProbe(now, content) {
		s.send(from, chivewire.KindProbeGrant, ProbeGrant{Content: content})
	}
}

// tryProbe reports whether a probe is due, and if so marks it as issued. The caller must hold s.mu.
func (s *Service) tryProbe(now time.Time, content chiverequest.Fingerprint) bool {
	if until, quarantined := s.registry.QuarantinedUntil(content); quarantined && now.Before(until) {
		return false
	}
	if last, ok := s.issuedGrants[content]; ok && now.Sub(last) < s.registry.QuarantineLength(content) {
		return false
	}
	s.issuedGrants[content] = now
	return true
}

// expireProbes removes expired probe grants. The caller must hold s.mu.
func (s *Service) expireProbes(now time.Time) {
	for content, expiry := range s.receivedGrants {
		if now.After(expiry) {
			delete(s.receivedGrants, content)
		}
	}
	for content, at := range s.issuedGrants {
		if now.Sub(at) > maxQuarantine {
			delete(s.issuedGrants, content)
		}
	}
}
