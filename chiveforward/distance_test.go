package chiveforward_test

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"chivedrift/chivedirectory"
	"chivedrift/chivedistance"
	"chivedrift/chiveforward"
	"chivedrift/chivehealth"
	"chivedrift/chivemember"
	"chivedrift/chiveresidency"
	"chivedrift/chivetable"
	"chivedrift/chivewire"
)

// farTrip is the round trip to the endpoints of farFixture.
const farTrip = 200 * time.Millisecond

// farFixture returns a forwarder in another region than an endpoint, which has started before.
func farFixture(t *testing.T, q *fakeQuarantine, e *endpoint, others ...chivedirectory.Endpoint) *fixture {
	t.Helper()
	return farFixtureOn(t, chivewire.TCP{}, q, e, others...)
}

func farFixtureOn(t *testing.T, network chivewire.Network, q *fakeQuarantine, e *endpoint, others ...chivedirectory.Endpoint) *fixture {
	t.Helper()
	distances := chivedistance.New("here", chiveresidency.Map{"here": "here", "a": "there"})
	distances.SetMembers([]chivemember.Member{{Address: "peer", Region: "there"}})
	distances.Observe("peer", farTrip)
	return newFixtureWithOptions(t, func(o *chiveforward.Options) { o.Network, o.Quarantine, o.Distances = network, q, distances },
		chivetable.Route{Attempts: 3, Repeat: chivetable.RepeatAlways, Target: 2 * time.Second}, append(others, e.startedRegistration("e", firstStart))...)
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

// unmeasuredFixture returns a forwarder in another region than an endpoint, which has started before, with no node there.
func unmeasuredFixture(t *testing.T, q *fakeQuarantine, e *endpoint) *fixture {
	t.Helper()
	distances := chivedistance.New("here", chiveresidency.Map{"here": "here", "a": "there"})
	return newFixtureWithOptions(t, func(o *chiveforward.Options) { o.Quarantine, o.Distances = q, distances },
		chivetable.Route{Attempts: 3, Repeat: chivetable.RepeatAlways, Target: 2 * time.Second}, e.startedRegistration("e", firstStart))
}

// Guards against crashes that are missed, or dated too early, because no node measures the way to an endpoint.
func TestCrashInRegionWithoutNodes(t *testing.T) {
	const lived = 100 * time.Millisecond
	e := newEndpoint(t, crashOnSecondRequest(lived))
	e.setHealth(reset)
	q := &fakeQuarantine{}
	s := unmeasuredFixture(t, q, e)
	s.run(s.request(http.MethodGet, ""))
	sentAt := time.Now()
	s.run(s.request(http.MethodGet, ""))
	q.awaitReports(t, 1, 300*time.Millisecond)
	q.mu.Lock()
	defer q.mu.Unlock()
	if after := q.crashedAt[0].Sub(sentAt); after < lived {
		t.Errorf("the crash is dated %v after the request, the connection ended after %v", after, lived)
	}
}

// Guards against a request that waits for a health check that cannot end within its wait, or that does not wait for one
// because it has no target.
func TestWaitForHealthCheckDependsOnTheTarget(t *testing.T) {
	const near, far = 25 * time.Millisecond, 2*farTrip + 75*time.Millisecond
	for target, want := range map[time.Duration]time.Duration{0: far, time.Second: near, 2 * time.Second: far} {
		var brokeAt atomic.Pointer[time.Time]
		var requests, waited atomic.Int64
		respond := func(conn net.Conn, request *http.Request, body string) {
			switch requests.Add(1) {
			case 2:
				now := time.Now()
				brokeAt.Store(&now)
				reset(conn)
				return
			case 3:
				waited.Store(int64(time.Since(*brokeAt.Load())))
			}
			echo(conn, request, body)
		}
		e, other := newEndpoint(t, respond), newEndpoint(t, respond)
		for _, e := range []*endpoint{e, other} {
			e.setHealth(func(net.Conn) { time.Sleep(time.Second) })
		}
		s := farFixture(t, &fakeQuarantine{}, e, other.startedRegistration("other", firstStart))
		s.run(s.request(http.MethodGet, ""))
		request := s.request(http.MethodGet, "")
		route := *request.Route
		route.Target, request.Route, request.Silence = target, &route, 2*time.Second
		result, _ := s.run(request)
		if got := time.Duration(waited.Load()); got < want || got > want+100*time.Millisecond {
			t.Errorf("target %v: the request waited %v, want %v: %+v", target, got, want, result)
		}
	}
}

// slowNetwork is a network in which a connection takes some time.
type slowNetwork struct {
	chivewire.TCP
	takes time.Duration
}

// Dial connects after that time.
func (n slowNetwork) Dial(ctx context.Context, from, address string) (net.Conn, error) {
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(n.takes):
		return n.TCP.Dial(ctx, from, address)
	}
}

// Guards against a far endpoint that is given up before a connection through a peer can have been established.
func TestConnectionThroughFarPeerIsAwaited(t *testing.T) {
	e := newEndpoint(t, echo)
	network := slowNetwork{takes: 150*time.Millisecond + 3*farTrip*9/8}
	s := farFixtureOn(t, network, &fakeQuarantine{}, e)
	if result, _ := s.run(s.request(http.MethodGet, "")); result.Status != http.StatusOK {
		t.Errorf("got %+v", result)
	}
}
