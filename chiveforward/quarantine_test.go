package chiveforward_test

import (
	"context"
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

// fakeQuarantine records the forwarder's reports and returns admissions that a test sets.
type fakeQuarantine struct {
	mu          sync.Mutex
	admit       chivequarantine.Admission
	quarantined chivequarantine.Admission
	crashed     []string
	evidence    []chivehealth.Evidence
	crashedAt   []time.Time
	alive       []string
	failed      []chivehealth.Failure
	answered    int
	callbacks   []func()
}

func (q *fakeQuarantine) Admit(time.Time, *chiverequest.Request) chivequarantine.Admission {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.admit
}

func (q *fakeQuarantine) Quarantined(time.Time, *chiverequest.Request) chivequarantine.Admission {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.quarantined
}

func (q *fakeQuarantine) Crashed(_ time.Time, _ *chiverequest.Request, failure chivehealth.Failure, _ bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.crashed = append(q.crashed, failure.Endpoint+" in "+failure.FailureDomain)
	q.evidence = append(q.evidence, failure.Evidence)
	q.crashedAt = append(q.crashedAt, failure.At)
}

func (q *fakeQuarantine) Permit(context.Context, time.Time, *chiverequest.Request) bool { return true }

func (q *fakeQuarantine) Begun(time.Time, *chiverequest.Request) {}

func (q *fakeQuarantine) Alive(_ time.Time, endpoint string, _ time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.alive = append(q.alive, endpoint)
}

func (q *fakeQuarantine) Failed(_ time.Time, failure chivehealth.Failure) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.failed = append(q.failed, failure)
}

func (q *fakeQuarantine) Answered(time.Time, *chiverequest.Request) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.answered++
}

func (q *fakeQuarantine) Watch(_ *chiverequest.Request, onQuarantine func()) (stop func()) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.callbacks = append(q.callbacks, onQuarantine)
	return func() {}
}

// quarantineRequest quarantines the request and notifies its attempts in flight.
func (q *fakeQuarantine) quarantineRequest(retryAfter time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.quarantined = chivequarantine.Admission{Quarantined: true, RetryAfter: retryAfter}
	for _, onQuarantine := range q.callbacks {
		onQuarantine()
	}
}

func newQuarantineFixture(t *testing.T, q *fakeQuarantine, endpoints ...chivedirectory.Endpoint) *fixture {
	t.Helper()
	return newFixtureWithOptions(t, func(o *chiveforward.Options) { o.Quarantine = q }, chivetable.Route{Attempts: 3, Repeat: chivetable.RepeatAlways}, endpoints...)
}

// crashEndpoint simulates a process that crashes when it receives a request: the listener closes and the connection is
// reset.
func crashEndpoint(e **endpoint) func(net.Conn, *http.Request, string) {
	return func(conn net.Conn, _ *http.Request, _ string) {
		(*e).listener.Close()
		reset(conn)
	}
}

func TestCrashIsReported(t *testing.T) {
	var crashing *endpoint
	crashing = newEndpoint(t, crashEndpoint(&crashing))
	q := &fakeQuarantine{}
	s := newQuarantineFixture(t, q, crashing.registration("crashing"))
	s.run(s.request(http.MethodGet, ""))
	if !slices.Equal(q.crashed, []string{"crashing in a"}) || q.answered != 0 {
		t.Errorf("reported crashes %v and %d responses", q.crashed, q.answered)
	}
}

// Guards against implicating a request because an endpoint reset its connection or truncated its response. The endpoint
// still accepts connections, so it did not crash.
func TestBrokenConnectionIsNotReportedAsCrash(t *testing.T) {
	resetting := newEndpoint(t, func(conn net.Conn, _ *http.Request, _ string) { reset(conn) })
	truncating := newEndpoint(t, func(conn net.Conn, _ *http.Request, _ string) {
		write(conn, "HTTP/1.1 200 OK\r\nId: 42\r\nContent-Length: 9\r\n\r\nshort")
		conn.Close()
	})
	q := &fakeQuarantine{}
	s := newQuarantineFixture(t, q, resetting.registration("resetting"), truncating.registration("truncating"))
	s.run(s.request(http.MethodGet, ""))
	if len(q.crashed) > 0 {
		t.Errorf("reported crashes: %v", q.crashed)
	}
}

// Guards against reporting the planned stop of a replaced replica as a crash. It stops after draining, and requests
// that are still in flight break off.
func TestPlannedStopIsNotReportedAsCrash(t *testing.T) {
	var stopping *endpoint
	q := &fakeQuarantine{}
	var s *fixture
	stopping = newEndpoint(t, func(conn net.Conn, _ *http.Request, _ string) {
		leaving := stopping.registration("stopping")
		leaving.State = chivedirectory.Leaving
		s.pools.ApplyEndpoints(chivedirectory.Diff{Changed: []chivedirectory.Endpoint{leaving}})
		stopping.listener.Close()
		reset(conn)
	})
	s = newQuarantineFixture(t, q, stopping.registration("stopping"))
	s.run(s.request(http.MethodGet, ""))
	if len(q.crashed) > 0 || stopping.requests() != 1 {
		t.Errorf("reported crashes %v after %d requests", q.crashed, stopping.requests())
	}
}

func TestQuarantinedRequestIsNotSent(t *testing.T) {
	e := newEndpoint(t, echo)
	q := &fakeQuarantine{admit: chivequarantine.Admission{Quarantined: true, RetryAfter: 7 * time.Second}}
	s := newQuarantineFixture(t, q, e.registration("one"))
	result, c := s.run(s.request(http.MethodGet, ""))
	if result.Outcome != chiveforward.NotRun || result.Status != http.StatusServiceUnavailable || result.RetryAfter != 7*time.Second ||
		result.Code != chiveforward.CodeQuarantined || e.requests() != 0 || c.status != 0 {
		t.Errorf("got %+v after %d requests", result, e.requests())
	}
}

// Guards against engines crashed by copies of a request that still wait there when the request is quarantined.
func TestWaitingAttemptIsCancelledOnQuarantine(t *testing.T) {
	slow := newEndpoint(t, func(net.Conn, *http.Request, string) { time.Sleep(time.Second) })
	q := &fakeQuarantine{}
	s := newQuarantineFixture(t, q, slow.registration("slow"))
	start := time.Now()
	time.AfterFunc(100*time.Millisecond, func() { q.quarantineRequest(5 * time.Second) })
	result, _ := s.run(s.request(http.MethodGet, ""))
	if result.Outcome != chiveforward.Unknown || result.Status != http.StatusBadGateway || result.Code != chiveforward.CodeQuarantined ||
		result.RetryAfter != 5*time.Second || slow.requests() != 1 {
		t.Errorf("got %+v after %d requests", result, slow.requests())
	}
	if elapsed := time.Since(start); elapsed > 500*time.Millisecond {
		t.Errorf("the response took %v", elapsed)
	}
}

// Guards against another attempt of a request that was quarantined while in progress.
func TestQuarantinedRequestIsNotRetried(t *testing.T) {
	var one *endpoint
	q := &fakeQuarantine{}
	one = newEndpoint(t, func(conn net.Conn, request *http.Request, body string) {
		q.mu.Lock()
		q.quarantined = chivequarantine.Admission{Quarantined: true, RetryAfter: time.Second}
		q.mu.Unlock()
		crashEndpoint(&one)(conn, request, body)
	})
	s := newQuarantineFixture(t, q, one.registration("one"))
	result, _ := s.run(s.request(http.MethodGet, ""))
	if result.Code != chiveforward.CodeQuarantined || result.Outcome != chiveforward.Unknown || len(result.Tries) != 1 {
		t.Errorf("got %+v", result)
	}
}

func TestProbeGetsOneAttempt(t *testing.T) {
	var one, two *endpoint
	one, two = newEndpoint(t, crashEndpoint(&one)), newEndpoint(t, crashEndpoint(&two))
	q := &fakeQuarantine{admit: chivequarantine.Admission{Probe: true}, quarantined: chivequarantine.Admission{Quarantined: true, RetryAfter: time.Second}}
	s := newQuarantineFixture(t, q, one.registration("one"), two.registration("two"))
	result, _ := s.run(s.request(http.MethodGet, ""))
	if n := one.requests() + two.requests(); n != 1 || result.Outcome != chiveforward.Unknown {
		t.Errorf("sent %d times, got %+v", n, result)
	}
	responding := newEndpoint(t, echo)
	s = newQuarantineFixture(t, q, responding.registration("responding"))
	if result, _ := s.run(s.request(http.MethodGet, "")); result.Outcome != chiveforward.Completed || q.answered != 1 {
		t.Errorf("got %+v, reported %d responses", result, q.answered)
	}
}
