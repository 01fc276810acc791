package chiveforward_test

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"chivedrift/chiveforward"
	"chivedrift/chivehealth"
	"chivedrift/chivequarantine"
	"chivedrift/chivetable"
)

// waitOrCrash leaves requests without a response until one for /crash crashes the process; onCrash is called before its connections
// are reset.
func waitOrCrash(e **endpoint, onCrash func()) func(net.Conn, *http.Request, string) {
	crashed := make(chan struct{})
	return func(conn net.Conn, request *http.Request, _ string) {
		if !strings.HasPrefix(request.RequestURI, "/crash") {
			<-crashed
			reset(conn)
			return
		}
		(*e).setHealth(reset)
		onCrash()
		close(crashed)
		reset(conn)
	}
}

// runAt runs a request for a path.
func (s *fixture) runAt(path string) {
	request := s.request(http.MethodGet, "")
	request.Target = path
	s.run(request)
}

// reportedCrash returns the crash that another node would report of an endpoint.
func reportedCrash(e *endpoint, at time.Time) chivehealth.Failure {
	return chivehealth.Failure{Endpoint: e.startedRegistration("e", firstStart).Incarnation().Key(), FailureDomain: "a", Evidence: chivehealth.EvidenceReported, At: at}
}

func newCrashFixture(t *testing.T, q *fakeQuarantine, e *endpoint) *fixture {
	t.Helper()
	return newFixtureWithOptions(t, func(o *chiveforward.Options) { o.Quarantine = q }, chivetable.Route{Attempts: 1}, e.startedRegistration("e", firstStart))
}

// release ends the quarantine.
func (q *fakeQuarantine) release() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.quarantined = chivequarantine.Admission{}
}

// Guards against reporting only the sound requests at an endpoint that another one crashed at once.
func TestRequestThatCrashesAtOnceIsReportedBesideOthers(t *testing.T) {
	var e *endpoint
	e = newEndpoint(t, waitOrCrash(&e, func() {}))
	q := &fakeQuarantine{}
	s := newCrashFixture(t, q, e)
	go s.runAt("/wait")
	time.Sleep(50 * time.Millisecond)
	s.runAt("/crash")
	q.awaitReports(t, 2, time.Second)
}

// Guards against missing the request that crashed an endpoint at once, if only another node has evidence of the crash.
func TestRequestThatCrashesAtOnceIsReportedIfAPeerReportsTheCrash(t *testing.T) {
	const tries = 50
	for name, peerFirst := range map[string]bool{"peer's report first": true, "attempt first": false} {
		t.Run(name, func(t *testing.T) {
			for range tries {
				if isReportedByPeer(t, peerFirst) {
					return
				}
			}
			t.Fatalf("none of %d attempts was short enough", tries)
		})
	}
}

// isReportedByPeer checks that a request which crashes its endpoint at once is reported with a peer's evidence only; it returns false if
// the attempt lasted so long that it counts as accepted by its endpoint.
func isReportedByPeer(t *testing.T, peerFirst bool) bool {
	t.Helper()
	const accepted = 20 * time.Millisecond
	var e *endpoint
	var s *fixture
	e = newEndpoint(t, waitOrCrash(&e, func() {
		if peerFirst {
			s.forwarder.PeerCrash(reportedCrash(e, time.Now()))
		}
	}))
	q := &fakeQuarantine{}
	s = newCrashFixture(t, q, e)
	began := time.Now()
	s.runAt("/crash")
	if time.Since(began) >= accepted {
		return false
	}
	if !peerFirst {
		if n := q.reportCount(); n > 0 {
			t.Fatalf("%d crash reports before the peer's", n)
		}
		s.forwarder.PeerCrash(reportedCrash(e, time.Now()))
	}
	if got := q.awaitReports(t, 1, time.Second); got[0] != chivehealth.EvidenceReported {
		t.Errorf("evidence %v", got)
	}
	return true
}

// Guards against implicating a request that was sent to an endpoint after its crash.
func TestRequestAfterTheCrashIsNotReported(t *testing.T) {
	var e *endpoint
	e = newEndpoint(t, waitOrCrash(&e, func() {}))
	e.setHealth(reset)
	q := &fakeQuarantine{}
	s := newCrashFixture(t, q, e)
	crash := reportedCrash(e, time.Now())
	time.Sleep(time.Millisecond)
	s.runAt("/crash")
	s.forwarder.PeerCrash(crash)
	if n := q.reportCount(); n > 0 {
		t.Errorf("%d crash reports", n)
	}
}

// Guards against forgetting that a request was at a hung endpoint because it was cancelled for its quarantine before the crash was
// found.
func TestCancelledRequestIsReportedWhenItsEndpointIsFoundCrashed(t *testing.T) {
	for name, respondsLater := range map[string]bool{"silent since": false, "responds later": true} {
		t.Run(name, func(t *testing.T) {
			e := newEndpoint(t, func(conn net.Conn, request *http.Request, body string) {
				if strings.HasPrefix(request.RequestURI, "/answered") {
					echo(conn, request, body)
					return
				}
				time.Sleep(time.Second)
			})
			q := &fakeQuarantine{}
			s := newCrashFixture(t, q, e)
			time.AfterFunc(100*time.Millisecond, func() { q.quarantineRequest(time.Second) })
			s.runAt("/hang")
			if respondsLater {
				q.release()
				s.runAt("/answered")
			}
			s.forwarder.PeerCrash(reportedCrash(e, time.Now()))
			want := 1
			if respondsLater {
				want = 0
			}
			if n := q.reportCount(); n != want {
				t.Errorf("%d crash reports, want %d", n, want)
			}
		})
	}
}
