package chiveforward_test

import (
	"net"
	"net/http"
	"testing"
	"time"

	"chivedrift/chivedistance"
	"chivedrift/chiveforward"
	"chivedrift/chivehealth"
	"chivedrift/chivemember"
	"chivedrift/chiveresidency"
	"chivedrift/chivetable"
)

// farTrip is the round trip to the endpoints of farFixture.
const farTrip = 200 * time.Millisecond

// farFixture returns a forwarder in another region than an endpoint, which has started before.
func farFixture(t *testing.T, q *fakeQuarantine, e *endpoint) *fixture {
	t.Helper()
	distances := chivedistance.New("here", chiveresidency.Map{"here": "here", "a": "there"})
	distances.SetMembers([]chivemember.Member{{Address: "peer", Region: "there"}})
	distances.Observe("peer", farTrip)
	return newFixtureWithOptions(t, func(o *chiveforward.Options) { o.Quarantine, o.Distances = q, distances },
		chivetable.Route{Attempts: 3, Repeat: chivetable.RepeatAlways, Target: 2 * time.Second}, e.startedRegistration("e", firstStart))
}

// Guards against an endpoint that counts as having accepted a request while the request was on its way.
func TestResetByFarOverloadedEndpointIsNotReportedAsCrash(t *testing.T) {
	e := newEndpoint(t, crashOnSecondRequest(farTrip))
	e.setHealth(reset)
	q := &fakeQuarantine{}
	s := farFixture(t, q, e)
	s.run(s.request(http.MethodGet, ""))
	s.run(s.request(http.MethodGet, ""))
	e.setHealth(nil)
	time.Sleep(1200 * time.Millisecond)
	if n := q.reportCount(); n > 0 {
		t.Errorf("%d crash reports", n)
	}
}

// Guards against a request that goes on to the next endpoint before the health check of a far one can have ended.
func TestRequestWaitsForHealthCheckOfFarEndpoint(t *testing.T) {
	e := newEndpoint(t, crashOnSecondRequest(3*farTrip))
	answer := respondToHealthCheck("421 Misdirected Request")
	e.setHealth(func(conn net.Conn) {
		time.Sleep(2*farTrip - 25*time.Millisecond)
		answer(conn)
	})
	q := &fakeQuarantine{}
	s := farFixture(t, q, e)
	s.run(s.request(http.MethodGet, ""))
	s.run(s.request(http.MethodGet, ""))
	if n := q.reportCount(); n != 1 {
		t.Errorf("%d crash reports when the request ended", n)
	}
}

// Guards against crashes of one cause that seem apart because the nodes that report them are at different distances.
func TestCrashOfFarEndpointIsDatedBeforeTheWay(t *testing.T) {
	const lived = 3 * farTrip
	e := newEndpoint(t, crashOnSecondRequest(lived))
	e.setHealth(reset)
	q := &fakeQuarantine{}
	s := farFixture(t, q, e)
	s.run(s.request(http.MethodGet, ""))
	sentAt := time.Now()
	s.run(s.request(http.MethodGet, ""))
	if evidence := q.awaitReports(t, 1, time.Second); evidence[0] != chivehealth.EvidenceReset {
		t.Fatalf("evidence %v", evidence)
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if after := q.crashedAt[0].Sub(sentAt); after < lived-farTrip/2 || after > lived {
		t.Errorf("the crash is dated %v after the request, the connection ended after %v and half of %v earlier there", after, lived, farTrip)
	}
}
