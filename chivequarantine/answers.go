package chivequarantine

import (
	"sync"
	"time"

	"chivedrift/chiverequest"
)

const (
	// exonerationFor is how long an answer exonerates a request of crashes that come after it. A request that crashes each engine that runs it
	// has never been answered; one that many callers send alike is answered all the time, and runs on many engines when they crash.
	exonerationFor = 30 * time.Second
	// answersMost is how many requests with an answer are remembered, in two generations.
	answersMost = 2048
)

// recentAnswers remembers which requests were answered through this node, the newest of them.
type recentAnswers struct {
	mu    sync.Mutex
	newer map[chiverequest.Fingerprint]time.Time
	older map[chiverequest.Fingerprint]time.Time
}

func newRecentAnswers() *recentAnswers {
	return &recentAnswers{newer: make(map[chiverequest.Fingerprint]time.Time)}
}

// note takes an answer.
func (a *recentAnswers) note(now time.Time, content chiverequest.Fingerprint) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.newer) >= answersMost/2 {
		a.older, a.newer = a.newer, make(map[chiverequest.Fingerprint]time.Time)
	}
	a.newer[content] = now
}

// at returns when a request was last answered.
func (a *recentAnswers) at(content chiverequest.Fingerprint) (at time.Time, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if at, ok = a.newer[content]; !ok {
		at, ok = a.older[content]
	}
	return at, ok
}

// exonerate reports an answer to a request under which an endpoint crashed, where this node has a recent one; the caller holds the service's lock.
func (s *Service) exonerate(now time.Time, content chiverequest.Fingerprint) {
	at, ok := s.answers.at(content)
	if ok && now.Sub(at) < exonerationFor {
		s.reportAnswer(now, content, at)
	}
}

// reportAnswer notes an answer and queues it for the peers; the caller holds the lock.
func (s *Service) reportAnswer(now time.Time, content chiverequest.Fingerprint, at time.Time) {
	if !s.register.Suspects(content) {
		return
	}
	a := Answer{Content: content, Reporter: s.o.Mesh.Self(), Number: s.nextNumber(), At: at}
	if s.register.AddAnswer(now, a) && s.isShared(content) {
		s.enqueue(Update{Answers: []AnswerReport{newAnswerReport(now, a)}})
	}
}
