package chivequarantine

import (
	"sync"
	"time"

	"chivedrift/chiverequest"
)

const (
	// exonerationPeriod is how long an answer exonerates a request of later crashes. A request that crashes every engine
	// is never answered. An identical request sent by many callers is answered all the time, and is running on many
	// engines when they crash for another reason.
	exonerationPeriod = 30 * time.Second
	// maxRecentAnswers bounds how many answered requests are remembered, over two generations, and maxRecentPartAnswers how
	// many parts.
	maxRecentAnswers     = 2048
	maxRecentPartAnswers = 4096
)

// recentAnswers remembers the requests that were most recently answered through this node. It keeps two generations: a
// full one replaces the previous one.
type recentAnswers struct {
	limit    int
	mu       sync.Mutex
	current  map[chiverequest.Fingerprint]time.Time
	previous map[chiverequest.Fingerprint]time.Time
}

func newRecentAnswers(limit int) *recentAnswers {
	return &recentAnswers{limit: limit, current: make(map[chiverequest.Fingerprint]time.Time)}
}

// add records an answer.
func (a *recentAnswers) add(now time.Time, content chiverequest.Fingerprint) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.current) >= a.limit/2 {
		a.previous, a.current = a.current, make(map[chiverequest.Fingerprint]time.Time)
	}
	a.current[content] = now
}

// lastAnswer returns when a request was last answered, if that is still known.
func (a *recentAnswers) lastAnswer(content chiverequest.Fingerprint) (at time.Time, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if at, ok = a.current[content]; !ok {
		at, ok = a.previous[content]
	}
	return at, ok
}

// lastAnswer returns when this node last got an answer to a request, or to one with a part.
func (s *Service) lastAnswer(content chiverequest.Fingerprint) (at time.Time, ok bool) {
	if content.IsPart() {
		return s.partAnswers.lastAnswer(content)
	}
	return s.answers.lastAnswer(content)
}

// exonerate reports this node's most recent answer to a request, or to one with a part, that was running on a crashed
// endpoint, if it is recent enough. The caller must hold s.mu.
func (s *Service) exonerate(now time.Time, content chiverequest.Fingerprint) {
	at, ok := s.lastAnswer(content)
	if ok && now.Sub(at) < exonerationPeriod {
		s.addAnswer(now, content, at)
	}
}

// addAnswer records an answer and queues it for the peers. The caller must hold s.mu.
func (s *Service) addAnswer(now time.Time, content chiverequest.Fingerprint, at time.Time) {
	if !s.registry.Suspects(content) {
		return
	}
	a := Answer{Content: content, Reporter: s.options.Mesh.Self(), Number: s.nextNumber(), At: at}
	if s.registry.AddAnswer(now, a) && s.isBroadcast(content) {
		s.enqueue(nil, []Answer{a})
	}
}
