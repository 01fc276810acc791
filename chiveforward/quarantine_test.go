package chiveforward_test

import (
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"chivedrift/chivedirectory"
	"chivedrift/chiveforward"
	"chivedrift/chivehealth"
	"chivedrift/chivequarantine"
	"chivedrift/chiverequest"
	"chivedrift/chivetable"
)

// quarantine is what the forwarder tells and asks, with answers that a test sets.
type quarantine struct {
	mu       sync.Mutex
	admit    chivequarantine.Admission
	held     chivequarantine.Admission
	ended    []string
	evidence []chivehealth.Evidence
	alive    []string
	failed   []chivehealth.Failure
	answered int
	watches  []func()
}

func (q *quarantine) Admit(time.Time, *chiverequest.Request) chivequarantine.Admission {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.admit
}

func (q *quarantine) Quarantined(time.Time, *chiverequest.Request) chivequarantine.Admission {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.held
}

func (q *quarantine) Crashed(_ time.Time, _ *chiverequest.Request, failure chivehealth.Failure) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.ended = append(q.ended, failure.Endpoint+" in "+failure.FailureDomain)
	q.evidence = append(q.evidence, failure.Evidence)
}

func (q *quarantine) Alive(_ time.Time, endpoint string, _ time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.alive = append(q.alive, endpoint)
}

func (q *quarantine) Failed(_ time.Time, failure chivehealth.Failure) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.failed = append(q.failed, failure)
}

func (q *quarantine) Answered(time.Time, *chiverequest.Request) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.answered++
}

func (q *quarantine) Watch(_ *chiverequest.Request, held func()) (stop func()) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.watches = append(q.watches, held)
	return func() {}
}

// hold holds the request back and tells its running attempts.
func (q *quarantine) hold(after time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.held = chivequarantine.Admission{Quarantined: true, RetryAfter: after}
	for _, held := range q.watches {
		held()
	}
}

func newHeldSetup(t *testing.T, q *quarantine, endpoints ...chivedirectory.Endpoint) *setup {
	t.Helper()
	return newSetupWith(t, func(o *chiveforward.Options) { o.Quarantine = q }, chivetable.Route{Attempts: 3, Repeat: chivetable.RepeatAlways}, endpoints...)
}

// crash is the answer of an endpoint whose process ends as it begins a request.
func crash(of **endpoint) func(net.Conn, *http.Request, string) {
	return func(conn net.Conn, _ *http.Request, _ string) {
		(*of).listener.Close()
		reset(conn)
	}
}

func TestEndOfAnEndpointIsTold(t *testing.T) {
	var ends *endpoint
	ends = newEndpoint(t, crash(&ends))
	q := &quarantine{}
	s := newHeldSetup(t, q, ends.entry("ends"))
	s.run(s.request(http.MethodGet, ""))
	if !slices.Equal(q.ended, []string{"ends in a"}) || q.answered != 0 {
		t.Errorf("told of %v and %d answers", q.ended, q.answered)
	}
}

// An endpoint that resets a connection, cuts an answer short or says nonsense goes on serving others: that speaks against no request.
func TestBrokenConnectionIsNoEnd(t *testing.T) {
	alive := newEndpoint(t, func(conn net.Conn, _ *http.Request, _ string) { reset(conn) })
	cuts := newEndpoint(t, func(conn net.Conn, _ *http.Request, _ string) {
		write(conn, "HTTP/1.1 200 OK\r\nId: 42\r\nContent-Length: 9\r\n\r\nshort")
		conn.Close()
	})
	q := &quarantine{}
	s := newHeldSetup(t, q, alive.entry("alive"), cuts.entry("cuts"))
	s.run(s.request(http.MethodGet, ""))
	if len(q.ended) > 0 {
		t.Errorf("told of the ends of %v", q.ended)
	}
}

// A replica that is replaced stops once it has drained, and what it still had breaks off: its end was planned.
func TestEndOfALeavingEndpointIsNotTold(t *testing.T) {
	var ends *endpoint
	q := &quarantine{}
	var s *setup
	ends = newEndpoint(t, func(conn net.Conn, _ *http.Request, _ string) {
		leaving := ends.entry("ends")
		leaving.State = chivedirectory.Leaving
		s.pools.ApplyEndpoints(chivedirectory.Diff{Changed: []chivedirectory.Endpoint{leaving}})
		ends.listener.Close()
		reset(conn)
	})
	s = newHeldSetup(t, q, ends.entry("ends"))
	s.run(s.request(http.MethodGet, ""))
	if len(q.ended) > 0 || ends.requests() != 1 {
		t.Errorf("told of the ends of %v after %d requests", q.ended, ends.requests())
	}
}

func TestHeldRequestReachesNobody(t *testing.T) {
	e := newEndpoint(t, plain)
	q := &quarantine{admit: chivequarantine.Admission{Quarantined: true, RetryAfter: 7 * time.Second}}
	s := newHeldSetup(t, q, e.entry("one"))
	result, c := s.run(s.request(http.MethodGet, ""))
	if result.Outcome != chiveforward.NotRun || result.Status != http.StatusServiceUnavailable || result.RetryAfter != 7*time.Second ||
		result.Code != chiveforward.CodeQuarantined || e.requests() != 0 || c.status != 0 {
		t.Errorf("got %+v after %d requests", result, e.requests())
	}
}

// Guards against engines ended by queued copies of a request that is quarantined by then.
func TestCopyThatWaitsIsTakenBack(t *testing.T) {
	slow := newEndpoint(t, func(net.Conn, *http.Request, string) { time.Sleep(time.Second) })
	q := &quarantine{}
	s := newHeldSetup(t, q, slow.entry("slow"))
	began := time.Now()
	time.AfterFunc(100*time.Millisecond, func() { q.hold(5 * time.Second) })
	result, _ := s.run(s.request(http.MethodGet, ""))
	if result.Outcome != chiveforward.Unknown || result.Status != http.StatusBadGateway || result.Code != chiveforward.CodeQuarantined ||
		result.RetryAfter != 5*time.Second || slow.requests() != 1 {
		t.Errorf("got %+v after %d requests", result, slow.requests())
	}
	if took := time.Since(began); took > 500*time.Millisecond {
		t.Errorf("the answer took %v", took)
	}
}

// A request that was under way when it came to be held back gets no further attempt.
func TestNoFurtherAttemptOfAHeldRequest(t *testing.T) {
	var one *endpoint
	q := &quarantine{}
	one = newEndpoint(t, func(conn net.Conn, request *http.Request, body string) {
		q.mu.Lock()
		q.held = chivequarantine.Admission{Quarantined: true, RetryAfter: time.Second}
		q.mu.Unlock()
		crash(&one)(conn, request, body)
	})
	s := newHeldSetup(t, q, one.entry("one"))
	result, _ := s.run(s.request(http.MethodGet, ""))
	if result.Code != chiveforward.CodeQuarantined || result.Outcome != chiveforward.Unknown || len(result.Tries) != 1 {
		t.Errorf("got %+v", result)
	}
}

func TestTrialIsOneAttempt(t *testing.T) {
	var one, two *endpoint
	one, two = newEndpoint(t, crash(&one)), newEndpoint(t, crash(&two))
	q := &quarantine{admit: chivequarantine.Admission{Probe: true}, held: chivequarantine.Admission{Quarantined: true, RetryAfter: time.Second}}
	s := newHeldSetup(t, q, one.entry("one"), two.entry("two"))
	result, _ := s.run(s.request(http.MethodGet, ""))
	if n := one.requests() + two.requests(); n != 1 || result.Outcome != chiveforward.Unknown {
		t.Errorf("sent %d times, got %+v", n, result)
	}
	answers := newEndpoint(t, plain)
	s = newHeldSetup(t, q, answers.entry("answers"))
	if result, _ := s.run(s.request(http.MethodGet, "")); result.Outcome != chiveforward.Completed || q.answered != 1 {
		t.Errorf("got %+v, told of %d answers", result, q.answered)
	}
}
