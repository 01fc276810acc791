package chiveforward_test

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"chivedrift/chivedirectory"
	"chivedrift/chiveforward"
	"chivedrift/chivehealth"
	"chivedrift/chivetable"
	"chivedrift/chivewire"
)

const (
	firstStart = 1000
	laterStart = 2000
)

// startedRegistration returns the endpoint's directory entry with the start time of its process.
func (e *endpoint) startedRegistration(id string, startTime int64) chivedirectory.Endpoint {
	entry := e.registration(id)
	entry.Born = startTime
	return entry
}

// crashOnSecondRequest responds to the first request and resets the connections of later ones after a delay.
func crashOnSecondRequest(delay time.Duration) func(net.Conn, *http.Request, string) {
	var requests atomic.Int64
	return func(conn net.Conn, request *http.Request, body string) {
		if requests.Add(1) == 1 {
			echo(conn, request, body)
			return
		}
		time.Sleep(delay)
		reset(conn)
	}
}

func respondToHealthCheck(status string) func(net.Conn) {
	return func(conn net.Conn) { write(conn, "HTTP/1.1 "+status+"\r\nContent-Length: 0\r\n\r\n") }
}

// awaitReports waits until the quarantine has received at least count crash reports, and returns their evidence.
func (q *fakeQuarantine) awaitReports(t *testing.T, count int, within time.Duration) []chivehealth.Evidence {
	t.Helper()
	for deadline := time.Now().Add(within); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		q.mu.Lock()
		evidence := slices.Clone(q.evidence)
		q.mu.Unlock()
		if len(evidence) >= count {
			return evidence
		}
	}
	t.Fatalf("fewer than %d crash reports within %v", count, within)
	return nil
}

// reportCount returns the number of crash reports that the quarantine has received.
func (q *fakeQuarantine) reportCount() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.evidence)
}

// Guards against missing a crash because a proxy or another process still accepts connections at the endpoint's
// address.
func TestCrashIsReportedIfAddressStillAccepts(t *testing.T) {
	for name, test := range map[string]struct {
		health func(net.Conn)
		want   chivehealth.Evidence
	}{
		"resets":          {reset, chivehealth.EvidenceReset},
		"closes":          {func(conn net.Conn) { conn.Close() }, chivehealth.EvidenceReset},
		"bad gateway":     {respondToHealthCheck("502 Bad Gateway"), chivehealth.EvidenceGateway},
		"another process": {respondToHealthCheck("421 Misdirected Request"), chivehealth.EvidenceReplaced},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := newEndpoint(t, crashOnSecondRequest(40*time.Millisecond))
			e.setHealth(test.health)
			q := &fakeQuarantine{}
			s := newQuarantineFixture(t, q, e.startedRegistration("e", firstStart))
			s.run(s.request(http.MethodGet, ""))
			s.run(s.request(http.MethodGet, ""))
			if got := q.awaitReports(t, 1, time.Second); got[0] != test.want {
				t.Errorf("evidence %v, want %v", got, test.want)
			}
		})
	}
}

// Guards against implicating a request in the overload of an endpoint that resets connections beyond its limit.
func TestResetOfNewConnectionIsNotReportedAsCrash(t *testing.T) {
	e := newEndpoint(t, func(conn net.Conn, _ *http.Request, _ string) { reset(conn) })
	e.setHealth(reset)
	q := &fakeQuarantine{}
	s := newQuarantineFixture(t, q, e.startedRegistration("e", firstStart))
	s.run(s.request(http.MethodGet, ""))
	time.Sleep(1200 * time.Millisecond)
	if n := q.reportCount(); n > 0 {
		t.Errorf("%d crash reports", n)
	}
}

// Guards against reporting a crash of an overloaded endpoint that had responded before and accepts connections again a
// moment after it reset one.
func TestRecoveringOverloadedEndpointIsNotReportedAsCrashed(t *testing.T) {
	e := newEndpoint(t, crashOnSecondRequest(0))
	e.setHealth(reset)
	q := &fakeQuarantine{}
	s := newQuarantineFixture(t, q, e.startedRegistration("e", firstStart))
	s.run(s.request(http.MethodGet, ""))
	s.run(s.request(http.MethodGet, ""))
	e.setHealth(nil)
	time.Sleep(1200 * time.Millisecond)
	if n := q.reportCount(); n > 0 {
		t.Errorf("%d crash reports", n)
	}
}

// Guards against missing a crash for which there is no evidence that the endpoint had accepted the request. The
// registration of its successor is the evidence.
func TestCrashIsReportedWhenSuccessorRegisters(t *testing.T) {
	e := newEndpoint(t, crashOnSecondRequest(0))
	e.setHealth(reset)
	q := &fakeQuarantine{}
	s := newQuarantineFixture(t, q, e.startedRegistration("e", firstStart))
	s.run(s.request(http.MethodGet, ""))
	s.run(s.request(http.MethodGet, ""))
	time.Sleep(50 * time.Millisecond)
	s.forwarder.ApplyEndpoints(chivedirectory.Diff{Changed: []chivedirectory.Endpoint{e.startedRegistration("e", laterStart)}})
	if got := q.awaitReports(t, 1, time.Second); got[0] != chivehealth.EvidenceReplaced {
		t.Errorf("evidence %v", got)
	}
}

// droppingNetwork is a network on which new connections time out once dropping is set.
type droppingNetwork struct {
	chivewire.TCP
	dropping atomic.Bool
}

func (n *droppingNetwork) Dial(ctx context.Context, from, address string) (net.Conn, error) {
	if n.dropping.Load() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return n.TCP.Dial(ctx, from, address)
}

// streamThenHang sends two events of a stream and then nothing.
func streamThenHang(onHang func()) func(net.Conn, *http.Request, string) {
	return func(conn net.Conn, request *http.Request, _ string) {
		write(conn, "HTTP/1.1 200 OK\r\nId: "+request.Header.Get("Id")+"\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: a\n\nid: 2\ndata: b\n\n")
		onHang()
		time.Sleep(5 * time.Second)
	}
}

// newSilentFixture creates a forwarder whose only endpoint hangs in the middle of a stream.
func newSilentFixture(t *testing.T, q *fakeQuarantine, dropping bool) (s *fixture, e *endpoint) {
	t.Helper()
	network := &droppingNetwork{}
	e = newEndpoint(t, streamThenHang(func() { network.dropping.Store(dropping) }))
	s = newFixtureWithOptions(t, func(o *chiveforward.Options) { o.Quarantine, o.Network = q, network }, chivetable.Route{Attempts: 1}, e.startedRegistration("e", firstStart))
	return s, e
}

// Guards against missing a failure that breaks no connection: a host that loses power, or an engine that hangs.
func TestSilentEndpointIsReported(t *testing.T) {
	for name, test := range map[string]struct {
		dropping bool
		want     chivehealth.Evidence
		within   time.Duration
	}{
		"host without power": {true, chivehealth.EvidenceUnreachable, 2 * time.Second},
		"hung engine":        {false, chivehealth.EvidenceStalled, 3 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			q := &fakeQuarantine{}
			s, _ := newSilentFixture(t, q, test.dropping)
			request := s.request(http.MethodGet, "")
			request.Deadline = time.Now().Add(test.within + time.Second)
			go s.run(request)
			if got := q.awaitReports(t, 1, test.within); got[0] != test.want {
				t.Errorf("evidence %v, want %v", got, test.want)
			}
			q.mu.Lock()
			defer q.mu.Unlock()
			if len(q.failed) != 1 || q.failed[0].Evidence != test.want {
				t.Errorf("failures broadcast to other nodes: %+v", q.failed)
			}
		})
	}
}

// Guards against sending more requests to a hung engine, each of which would wait until its deadline.
func TestSilentEndpointGetsNoNewRequests(t *testing.T) {
	hung := newEndpoint(t, streamThenHang(func() {}))
	q := &fakeQuarantine{}
	route := chivetable.Route{Attempts: 1, Repeat: chivetable.RepeatResume}
	s := newFixtureWithOptions(t, func(o *chiveforward.Options) { o.Quarantine = q }, route, hung.startedRegistration("hung", firstStart))
	request := s.request(http.MethodGet, "")
	request.Deadline = time.Now().Add(6 * time.Second)
	go s.run(request)
	time.Sleep(100 * time.Millisecond)
	healthy := newEndpoint(t, func(conn net.Conn, request *http.Request, body string) {
		time.Sleep(100 * time.Millisecond)
		echo(conn, request, body)
	})
	s.pools.ApplyEndpoints(chivedirectory.Diff{Changed: []chivedirectory.Endpoint{healthy.startedRegistration("healthy", firstStart)}})
	q.awaitReports(t, 1, 4*time.Second)
	var requests sync.WaitGroup
	for range 12 {
		requests.Go(func() {
			if result, _ := s.run(s.request(http.MethodGet, "")); result.Outcome != chiveforward.Completed {
				t.Errorf("got %+v", result)
			}
		})
	}
	requests.Wait()
	if n := hung.requests(); n != 1 {
		t.Errorf("the hung endpoint received %d requests, want 1", n)
	}
}

// Guards against ignoring a failure that only another node can detect: it also implicates the requests that this node
// has in flight at the endpoint.
func TestPeerFailureIsReportedForOwnAttempts(t *testing.T) {
	q := &fakeQuarantine{}
	slow := newEndpoint(t, func(net.Conn, *http.Request, string) { time.Sleep(2 * time.Second) })
	s := newQuarantineFixture(t, q, slow.startedRegistration("e", firstStart))
	go s.run(s.request(http.MethodGet, ""))
	time.Sleep(50 * time.Millisecond)
	failure := chivehealth.Failure{Endpoint: slow.startedRegistration("e", firstStart).Incarnation().Key(), Evidence: chivehealth.EvidenceStalled, At: time.Now()}
	if alive := s.forwarder.PeerFailure(failure); !alive.IsZero() {
		t.Errorf("the endpoint was reported alive %v ago", time.Since(alive))
	}
	if got := q.awaitReports(t, 1, time.Second); got[0] != chivehealth.EvidenceStalled {
		t.Errorf("evidence %v", got)
	}
}

// Guards against believing a node that is cut off from an endpoint and considers it failed, when the endpoint has since
// responded to this node.
func TestPeerFailureIsRejectedAfterLaterResponse(t *testing.T) {
	q := &fakeQuarantine{}
	s, e := newSilentFixture(t, q, false)
	request := s.request(http.MethodGet, "")
	request.Deadline = time.Now().Add(time.Second)
	go s.run(request)
	time.Sleep(100 * time.Millisecond)
	failure := chivehealth.Failure{Endpoint: e.startedRegistration("e", firstStart).Incarnation().Key(), Evidence: chivehealth.EvidenceStalled, At: time.Now().Add(-2 * time.Second)}
	if alive := s.forwarder.PeerFailure(failure); alive.IsZero() {
		t.Error("the failure was accepted although the endpoint has responded since")
	}
	if n := q.reportCount(); n > 0 {
		t.Errorf("%d crash reports", n)
	}
}

// Guards against crash reports that are never refuted. A response shows that the process was alive after its request
// was sent.
func TestResponseReportsProcessAsAlive(t *testing.T) {
	q := &fakeQuarantine{}
	e := newEndpoint(t, echo)
	s := newQuarantineFixture(t, q, e.startedRegistration("e", firstStart))
	s.run(s.request(http.MethodGet, ""))
	q.mu.Lock()
	defer q.mu.Unlock()
	if !slices.Equal(q.alive, []string{e.startedRegistration("e", firstStart).Incarnation().Key()}) {
		t.Errorf("reported as alive: %v", q.alive)
	}
}

// Guards against callers that wait for a response from a process that is known to have ended.
func TestAttemptAtReplacedProcessIsRetried(t *testing.T) {
	silent := newEndpoint(t, func(net.Conn, *http.Request, string) { time.Sleep(5 * time.Second) })
	other := newEndpoint(t, echo)
	q := &fakeQuarantine{}
	// A resumable stream has no silence timeout, so only the cancellation of the attempt ends the wait.
	route := chivetable.Route{Attempts: 3, Repeat: chivetable.RepeatResume}
	s := newFixtureWithOptions(t, func(o *chiveforward.Options) { o.Quarantine = q }, route, silent.startedRegistration("silent", firstStart))
	start := time.Now()
	time.AfterFunc(100*time.Millisecond, func() {
		changed := []chivedirectory.Endpoint{silent.startedRegistration("silent", laterStart), other.startedRegistration("other", firstStart)}
		changed[0].State = chivedirectory.Leaving
		s.pools.ApplyEndpoints(chivedirectory.Diff{Changed: changed})
		s.forwarder.ApplyEndpoints(chivedirectory.Diff{Changed: changed})
	})
	request := s.request(http.MethodGet, "")
	request.Deadline = time.Now().Add(4 * time.Second)
	result, _ := s.run(request)
	if result.Outcome != chiveforward.Completed || time.Since(start) > time.Second || other.requests() != 1 {
		t.Errorf("after %v got %+v", time.Since(start), result)
	}
	if got := q.awaitReports(t, 1, time.Second); got[0] != chivehealth.EvidenceReplaced {
		t.Errorf("evidence %v", got)
	}
}
