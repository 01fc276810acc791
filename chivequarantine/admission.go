package chivequarantine

import (
	"context"
	"time"

	"chivedrift/chiveevent"
	"chivedrift/chiverequest"
	"chivedrift/chiveroute"
	"chivedrift/chivewire"
)

const (
	// trialWithin is how long a node may take for a try that it was allowed: its caller comes back within that, or another node's does.
	trialWithin = 10 * time.Second
	// trialAnswer is when to come back while another node is asked for a try.
	trialAnswer = 500 * time.Millisecond
)

// Admission tells what may be done with a request now.
type Admission struct {
	// Held tells that the request must not be sent, and RetryAfter when to come back.
	Held       bool
	RetryAfter time.Duration
	// Trial tells that it may be sent to one endpoint, to see whether that ends.
	Trial bool
}

// Admit tells what may be done with a request now; a trial is allowed once.
func (s *Service) Admit(now time.Time, request *chiverequest.Request) Admission {
	if s.idle.Load() {
		return Admission{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	until, held := s.register.HeldUntil(request.Content)
	switch {
	case !held:
		return Admission{}
	case now.Before(until):
		return s.refuse(until.Sub(now))
	case s.takeTrial(now, request.Content):
		chiveevent.HoldTrial.Log(context.Background(), s.o.Logger, chiveevent.Request(request.ID), chiveevent.Content(request.Content))
		return Admission{Trial: true}
	}
	return s.refuse(trialAnswer)
}

func (s *Service) refuse(after time.Duration) Admission {
	s.refused.Add(1)
	return Admission{Held: true, RetryAfter: after}
}

// Held tells, without asking for a trial, whether a request is held back now.
func (s *Service) Held(now time.Time, request *chiverequest.Request) Admission {
	if s.idle.Load() {
		return Admission{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	until, held := s.register.HeldUntil(request.Content)
	if !held {
		return Admission{}
	}
	return Admission{Held: true, RetryAfter: max(until.Sub(now), trialAnswer)}
}

// Ended takes that an endpoint ended while it had a request of this node.
func (s *Service) Ended(now time.Time, request *chiverequest.Request, endpoint, failureDomain string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := End{
		Content: request.Content, Endpoint: endpoint, FailureDomain: failureDomain, Reporter: s.o.Mesh.Self(), Number: s.number + 1,
		Route: request.Route.Name, Team: request.Team, At: now,
	}
	if s.register.HasLately(e) {
		return
	}
	s.number = e.Number
	if s.register.AddEnd(now, e) {
		s.report(now, e)
		s.vouch(now, e.Content)
		s.decide()
	}
}

// Answered takes that an endpoint has answered a request whole, which frees it.
func (s *Service) Answered(now time.Time, request *chiverequest.Request) {
	s.answers.note(now, request.Content)
	if s.idle.Load() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answer(now, request.Content, now)
	s.decide()
}

// Watch has a function called, once or more, when a request is held back while an attempt of it is under way; stop ends that.
func (s *Service) Watch(request *chiverequest.Request, held func()) (stop func()) {
	content, w := request.Content, &watch{held}
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

// takeTrial takes the try of a request whose hold is over, or asks for one; the caller holds the lock.
//
// The tries of all nodes are spaced by one of them: if each tried the request once, as many engines would end as there are nodes.
func (s *Service) takeTrial(now time.Time, content chiverequest.Fingerprint) bool {
	if by, ok := s.allowed[content]; ok && now.Before(by) {
		delete(s.allowed, content)
		return true
	}
	ranked := chiveroute.Ranked("trial/"+string(content), "", s.members)
	if len(ranked) == 0 || ranked[0].Address == s.o.Mesh.Self() {
		return s.mayTry(now, content)
	}
	s.send(ranked[0].Address, chivewire.KindTrialAsk, TrialAsk{Content: content})
	return false
}

// answerTrial allows a peer a try where it is time for one.
func (s *Service) answerTrial(now time.Time, from string, content chiverequest.Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mayTry(now, content) {
		s.send(from, chivewire.KindTrialGrant, TrialGrant{Content: content})
	}
}

// mayTry tells whether it is time for a try, and takes it; the caller holds the lock.
func (s *Service) mayTry(now time.Time, content chiverequest.Fingerprint) bool {
	if until, held := s.register.HeldUntil(content); held && now.Before(until) {
		return false
	}
	if last, ok := s.given[content]; ok && now.Sub(last) < s.register.HoldLength(content) {
		return false
	}
	s.given[content] = now
	return true
}

// forgetTrials drops what is over; the caller holds the lock.
func (s *Service) forgetTrials(now time.Time) {
	for content, by := range s.allowed {
		if now.After(by) {
			delete(s.allowed, content)
		}
	}
	for content, at := range s.given {
		if now.Sub(at) > holdMost {
			delete(s.given, content)
		}
	}
}
