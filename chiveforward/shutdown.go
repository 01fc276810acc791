package chiveforward

import (
	"sync"
	"time"

	"chivedrift/chiveduration"
	"chivedrift/chiverequest"
	"chivedrift/chivetable"
)

const (
	// answerTime is reserved before the cut for the answers to requests that have got none; a shorter stop reserves
	// a share of its time.
	answerTime        = 200 * time.Millisecond
	answerTimeDivisor = 8
	// lastWriteTime is reserved before the cut for the end of a stream to be written out.
	lastWriteTime = 50 * time.Millisecond
	// stalledAnswerTime is what the wait after a stall leaves of answerTime.
	stalledAnswerTime = answerTime / 2
	// earlyTime is the part of a stop in which callers and load balancers do not know of it yet, without what the signal may take to
	// arrive.
	earlyTime = 2700 * time.Millisecond
	// plainChance is the chance with which a request that is begun may last longer than the stop: it gets an error before the
	// cut.
	plainChance = 0.05
	// streamChance is that of a stream: one that is cut costs its caller the run, one that is refused a fiftieth of that, the time
	// of another attempt. A resumable one that is cut costs the caller several attempts, since another node goes on with it.
	streamChance, resumableChance = 0.02, 0.2
)

// Shutdown is the planned stop of a node: when it began, and when the node cuts what has not ended. It decides until when an
// attempt may begin, so that it ends, or gets an error in its place, before the cut.
type Shutdown struct {
	mu        sync.Mutex
	began     time.Time
	cut       time.Time
	durations chiveduration.Forecast
	watches   map[*shutdownWatch]struct{}
}

// NewShutdown returns a shutdown that has not begun.
func NewShutdown() *Shutdown { return &Shutdown{watches: make(map[*shutdownWatch]struct{})} }

// Begin begins the shutdown, unless it has begun. A zero cut means that the node waits for all requests.
func (s *Shutdown) Begin(now, cut time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.began.IsZero() {
		return
	}
	s.began, s.cut = now, cut
	if cut.IsZero() {
		return
	}
	for w := range s.watches {
		s.schedule(w)
	}
}

// Times returns when the shutdown began and when the node cuts what has not ended; both are zero before it begins.
func (s *Shutdown) Times() (began, cut time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.began, s.cut
}

// MayBegin reports whether an attempt of a request may begin now: it ends before the cut, by its deadline or, but for a small chance,
// by how long such requests have lasted. After earlyTime no stream begins by chance. ranFor is how long it has run, if a part of its
// response has been passed on.
func (s *Shutdown) MayBegin(now time.Time, request *chiverequest.Request, ranFor time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cut.IsZero() || !now.After(s.latestBegin(request).Add(ranFor))
}

// mayCut reports whether the cut may end the response to a request that begins now: callers know of the shutdown, and the request's
// deadline is behind the cut.
func (s *Shutdown) mayCut(now time.Time, request *chiverequest.Request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.cut.IsZero() && now.After(s.began.Add(earlyTime)) && request.Deadline.After(s.answerBy())
}

// OnTooLate calls tooLate once the first attempt of a request could no longer begin. After stop returns, tooLate is no longer
// running and will not be called.
func (s *Shutdown) OnTooLate(request *chiverequest.Request, tooLate func()) (stop func()) {
	return s.watch(func() time.Time { return s.latestBegin(request) }, tooLate)
}

// OnLastAnswers calls answer when requests that have got no response are to be answered before the cut; stop is as in OnTooLate.
func (s *Shutdown) OnLastAnswers(answer func()) (stop func()) {
	return s.watch(s.answerBy, answer)
}

// Record records how long a request ran.
func (s *Shutdown) Record(request *chiverequest.Request, ran chiveduration.Ran) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.durations.Add(request, ran)
}

// answerBy returns when requests without a response are answered. The caller holds the lock.
func (s *Shutdown) answerBy() time.Time {
	return s.cut.Add(-min(answerTime, s.cut.Sub(s.began)/answerTimeDivisor))
}

// latestBegin returns until when the first attempt of a request may begin. The caller holds the lock.
func (s *Shutdown) latestBegin(request *chiverequest.Request) time.Time {
	end := s.answerBy()
	if !request.Deadline.After(end) {
		return end
	}
	if s.durations.Streams(request) {
		return s.latestStreamBegin(request)
	}
	bound, known := s.durations.Bound(request, plainChance)
	if !known {
		return s.began
	}
	return end.Add(-bound)
}

// latestStreamBegin returns until when a stream of which others are known may begin. Once a part of it has been passed on, no error can
// take its place, so that it begins by chance only in earlyTime. The caller holds the lock.
func (s *Shutdown) latestStreamBegin(request *chiverequest.Request) time.Time {
	chance := streamChance
	if request.Route.Repeat == chivetable.RepeatResume {
		chance = resumableChance
	}
	bound, _ := s.durations.Bound(request, chance)
	latest, early := s.cut.Add(-lastWriteTime-bound), s.began.Add(earlyTime)
	if latest.Before(early) {
		return latest
	}
	return early
}

// shutdownWatch is a call that becomes due during a shutdown.
type shutdownWatch struct {
	due   func() time.Time
	mu    sync.Mutex
	call  func()
	timer *time.Timer
}

// watch makes a call at the time that due returns once the shutdown has begun with a cut. due is called with the lock held.
func (s *Shutdown) watch(due func() time.Time, call func()) (stop func()) {
	w := &shutdownWatch{due: due, call: call}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watches[w] = struct{}{}
	if !s.cut.IsZero() {
		s.schedule(w)
	}
	return func() {
		s.mu.Lock()
		delete(s.watches, w)
		s.mu.Unlock()
		w.stop()
	}
}

// schedule starts the timer of a call. The caller holds the lock.
func (s *Shutdown) schedule(w *shutdownWatch) {
	due, cut := w.due(), s.cut
	// A short stop reserves no time for what arrived while the process was not scheduled.
	mayWait := time.Now().Before(due) && cut.Sub(due) >= answerTime
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(time.Until(due), func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		switch {
		case w.call == nil:
		case mayWait && time.Since(due) > stallTime:
			mayWait = false
			w.timer.Reset(waitAfterStall(time.Now(), cut))
		default:
			w.call()
		}
	})
}

// waitAfterStall returns how long a call that is late waits for what arrived while the process was not scheduled. Before the cut it leaves
// time for the answers to be written; behind it, they are late anyway.
func waitAfterStall(now, cut time.Time) time.Duration {
	if now.After(cut) {
		return stallWait
	}
	return max(0, min(stallWait, cut.Add(-stalledAnswerTime).Sub(now)))
}

// stop prevents the call, or waits for its end.
func (w *shutdownWatch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.call = nil
	if w.timer != nil {
		w.timer.Stop()
	}
}
