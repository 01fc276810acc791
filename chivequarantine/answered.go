package chivequarantine

import (
	"sync"
	"time"

	"chivedrift/chiverequest"
)

const (
	// answerVouches is how long an answer speaks for a request also against ends that come after it. A request that ends each engine that begins it has
	// never been answered; one that many callers send alike is answered all the time, and is on many engines when they end.
	answerVouches = 30 * time.Second
	// answersMost is how many requests with an answer are remembered, in two generations.
	answersMost = 2048
)

// answeredLately remembers which requests endpoints have answered through this node, the newest of them.
type answeredLately struct {
	mu    sync.Mutex
	newer map[chiverequest.Fingerprint]time.Time
	older map[chiverequest.Fingerprint]time.Time
}

func newAnsweredLately() *answeredLately {
	return &answeredLately{newer: make(map[chiverequest.Fingerprint]time.Time)}
}

// note takes an answer.
func (a *answeredLately) note(now time.Time, content chiverequest.Fingerprint) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.newer) >= answersMost/2 {
		a.older, a.newer = a.newer, make(map[chiverequest.Fingerprint]time.Time)
	}
	a.newer[content] = now
}

// at returns when a request was last answered.
func (a *answeredLately) at(content chiverequest.Fingerprint) (at time.Time, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if at, ok = a.newer[content]; !ok {
		at, ok = a.older[content]
	}
	return at, ok
}

// vouch speaks for a request under which an endpoint has ended, where this node has had an answer to it lately; the caller holds the service's lock.
func (s *Service) vouch(now time.Time, content chiverequest.Fingerprint) {
	at, ok := s.answers.at(content)
	if ok && now.Sub(at) < answerVouches {
		s.answer(now, content, at)
	}
}

// answer notes an answer and tells the partners; the caller holds the lock.
func (s *Service) answer(now time.Time, content chiverequest.Fingerprint, at time.Time) {
	if !s.register.Suspects(content) {
		return
	}
	s.number++
	a := Answered{Content: content, Reporter: s.o.Mesh.Self(), Number: s.number, At: at}
	if s.register.AddAnswer(now, a) && s.isShared(content) {
		s.say(nil, []AnswerNews{newAnswerNews(now, a)})
	}
}
