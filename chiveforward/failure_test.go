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
	bornFirst = 1000
	bornLater = 2000
)

// born returns an endpoint's entry with the start of its process.
func (e *endpoint) born(id string, at int64) chivedirectory.Endpoint {
	entry := e.entry(id)
	entry.Born = at
	return entry
}

// crashesOnSecond answers the first request, and crashes a while into the second.
func crashesOnSecond(after time.Duration) func(net.Conn, *http.Request, string) {
	var requests atomic.Int64
	return func(conn net.Conn, request *http.Request, body string) {
		if requests.Add(1) == 1 {
			plain(conn, request, body)
			return
		}
		time.Sleep(after)
		reset(conn)
	}
}

func answerHealth(text string) func(net.Conn) {
	return func(conn net.Conn) { write(conn, "HTTP/1.1 "+text+"\r\nContent-Length: 0\r\n\r\n") }
}

// reported waits until the quarantine has so many crash reports, and returns their evidence.
func (q *quarantine) reported(t *testing.T, count int, within time.Duration) []chivehealth.Evidence {
	t.Helper()
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		q.mu.Lock()
		evidence := slices.Clone(q.evidence)
		q.mu.Unlock()
		if len(evidence) >= count {
			return evidence
		}
	}
	t.Fatalf("no %d crash reports within %v", count, within)
	return nil
}

// reports returns how many crash reports the quarantine has.
func (q *quarantine) reports() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.evidence)
}

// Guards against crashes that go unnoticed since something accepts connections in the endpoint's place.
func TestCrashBehindAnOpenPortIsReported(t *testing.T) {
	for name, test := range map[string]struct {
		health func(net.Conn)
		want   chivehealth.Evidence
	}{
		"resets":          {reset, chivehealth.EvidenceReset},
		"closes":          {func(conn net.Conn) { conn.Close() }, chivehealth.EvidenceReset},
		"bad gateway":     {answerHealth("502 Bad Gateway"), chivehealth.EvidenceGateway},
		"another process": {answerHealth("421 Misdirected Request"), chivehealth.EvidenceReplaced},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := newEndpoint(t, crashesOnSecond(40*time.Millisecond))
			e.setHealth(test.health)
			q := &quarantine{}
			s := newHeldSetup(t, q, e.born("e", bornFirst))
			s.run(s.request(http.MethodGet, ""))
			s.run(s.request(http.MethodGet, ""))
			if got := q.reported(t, 1, time.Second); got[0] != test.want {
				t.Errorf("evidence %v, want %v", got, test.want)
			}
		})
	}
}

// Guards against a request that is implicated in the overload of an endpoint, which resets connections beyond its limit.
func TestResetOfANewConnectionIsNoCrash(t *testing.T) {
	e := newEndpoint(t, func(conn net.Conn, _ *http.Request, _ string) { reset(conn) })
	e.setHealth(reset)
	q := &quarantine{}
	s := newHeldSetup(t, q, e.born("e", bornFirst))
	s.run(s.request(http.MethodGet, ""))
	time.Sleep(1200 * time.Millisecond)
	if n := q.reports(); n > 0 {
		t.Errorf("%d crash reports", n)
	}
}

// Guards against the same where the endpoint had answered before, and takes connections again a moment later.
func TestOverloadedEndpointThatRecoversDidNotCrash(t *testing.T) {
	e := newEndpoint(t, crashesOnSecond(0))
	e.setHealth(reset)
	q := &quarantine{}
	s := newHeldSetup(t, q, e.born("e", bornFirst))
	s.run(s.request(http.MethodGet, ""))
	s.run(s.request(http.MethodGet, ""))
	e.setHealth(nil)
	time.Sleep(1200 * time.Millisecond)
	if n := q.reports(); n > 0 {
		t.Errorf("%d crash reports", n)
	}
}

// Guards against an endpoint that crashes before anything shows that it had taken the request: its successor's entry shows it.
func TestSuccessorShowsThatTheEndpointCrashed(t *testing.T) {
	e := newEndpoint(t, crashesOnSecond(0))
	e.setHealth(reset)
	q := &quarantine{}
	s := newHeldSetup(t, q, e.born("e", bornFirst))
	s.run(s.request(http.MethodGet, ""))
	s.run(s.request(http.MethodGet, ""))
	time.Sleep(50 * time.Millisecond)
	s.forwarder.ApplyEndpoints(chivedirectory.Diff{Changed: []chivedirectory.Endpoint{e.born("e", bornLater)}})
	if got := q.reported(t, 1, time.Second); got[0] != chivehealth.EvidenceReplaced {
		t.Errorf("evidence %v", got)
	}
}

// darkNetwork is a network on which new connections get no answer once it is dark.
type darkNetwork struct {
	chivewire.TCP
	dark atomic.Bool
}

func (n *darkNetwork) Dial(ctx context.Context, from, address string) (net.Conn, error) {
	if n.dark.Load() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return n.TCP.Dial(ctx, from, address)
}

// streamsThenStops sends events of a stream and then nothing.
func streamsThenStops(stopped func()) func(net.Conn, *http.Request, string) {
	return func(conn net.Conn, request *http.Request, _ string) {
		write(conn, "HTTP/1.1 200 OK\r\nId: "+request.Header.Get("Id")+"\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: a\n\nid: 2\ndata: b\n\n")
		stopped()
		time.Sleep(5 * time.Second)
	}
}

// silentSetup is a forwarder whose only endpoint stops in the middle of a stream.
func silentSetup(t *testing.T, q *quarantine, dark bool) (s *setup, e *endpoint) {
	t.Helper()
	network := &darkNetwork{}
	e = newEndpoint(t, streamsThenStops(func() { network.dark.Store(dark) }))
	s = newSetupWith(t, func(o *chiveforward.Options) { o.Quarantine, o.Network = q, network }, chivetable.Route{Attempts: 1}, e.born("e", bornFirst))
	return s, e
}

// Guards against crashes that go unnoticed since no connection breaks: a host without power, and an engine that hangs.
func TestSilentEndpointIsReported(t *testing.T) {
	for name, test := range map[string]struct {
		dark   bool
		want   chivehealth.Evidence
		within time.Duration
	}{
		"host without power": {true, chivehealth.EvidenceUnreachable, 2 * time.Second},
		"engine that hangs":  {false, chivehealth.EvidenceStalled, 3 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			q := &quarantine{}
			s, _ := silentSetup(t, q, test.dark)
			request := s.request(http.MethodGet, "")
			request.Deadline = time.Now().Add(test.within + time.Second)
			go s.run(request)
			if got := q.reported(t, 1, test.within); got[0] != test.want {
				t.Errorf("evidence %v, want %v", got, test.want)
			}
			q.mu.Lock()
			defer q.mu.Unlock()
			if len(q.failed) != 1 || q.failed[0].Evidence != test.want {
				t.Errorf("other nodes were sent %+v", q.failed)
			}
		})
	}
}

// Guards against an engine that hangs and goes on getting requests, each of which waits for as long as its caller.
func TestSilentEndpointGetsNoNewRequests(t *testing.T) {
	hung := newEndpoint(t, streamsThenStops(func() {}))
	q := &quarantine{}
	route := chivetable.Route{Attempts: 1, Repeat: chivetable.RepeatResume}
	s := newSetupWith(t, func(o *chiveforward.Options) { o.Quarantine = q }, route, hung.born("hung", bornFirst))
	request := s.request(http.MethodGet, "")
	request.Deadline = time.Now().Add(6 * time.Second)
	go s.run(request)
	time.Sleep(100 * time.Millisecond)
	sound := newEndpoint(t, func(conn net.Conn, request *http.Request, body string) {
		time.Sleep(100 * time.Millisecond)
		plain(conn, request, body)
	})
	s.pools.ApplyEndpoints(chivedirectory.Diff{Changed: []chivedirectory.Endpoint{sound.born("sound", bornFirst)}})
	q.reported(t, 1, 4*time.Second)
	var running sync.WaitGroup
	for range 12 {
		running.Go(func() {
			if result, _ := s.run(s.request(http.MethodGet, "")); result.Outcome != chiveforward.Completed {
				t.Errorf("got %+v", result)
			}
		})
	}
	running.Wait()
	if n := hung.requests(); n != 1 {
		t.Errorf("the endpoint that hangs got %d requests, want the first alone", n)
	}
}

// Guards against a failure of which only another node can know: the requests that this node has there are implicated too.
func TestFailureThatAPeerFoundIsReported(t *testing.T) {
	q := &quarantine{}
	slow := newEndpoint(t, func(net.Conn, *http.Request, string) { time.Sleep(2 * time.Second) })
	s := newHeldSetup(t, q, slow.born("e", bornFirst))
	go s.run(s.request(http.MethodGet, ""))
	time.Sleep(50 * time.Millisecond)
	failure := chivehealth.Failure{Endpoint: slow.born("e", bornFirst).Incarnation().Key(), Evidence: chivehealth.EvidenceStalled, At: time.Now()}
	if alive := s.forwarder.PeerFailure(failure); !alive.IsZero() {
		t.Errorf("the endpoint was said to be alive %v ago", time.Since(alive))
	}
	if got := q.reported(t, 1, time.Second); got[0] != chivehealth.EvidenceStalled {
		t.Errorf("evidence %v", got)
	}
}

// Guards against a node that is cut off from an endpoint and takes it for failed: others that it answers contradict.
func TestPeerFailureIsContradictedByAnAnswer(t *testing.T) {
	q := &quarantine{}
	s, e := silentSetup(t, q, false)
	request := s.request(http.MethodGet, "")
	request.Deadline = time.Now().Add(time.Second)
	go s.run(request)
	time.Sleep(100 * time.Millisecond)
	failure := chivehealth.Failure{Endpoint: e.born("e", bornFirst).Incarnation().Key(), Evidence: chivehealth.EvidenceStalled, At: time.Now().Add(-2 * time.Second)}
	if alive := s.forwarder.PeerFailure(failure); alive.IsZero() {
		t.Error("the failure was taken though the endpoint has answered since")
	}
	if n := q.reports(); n > 0 {
		t.Errorf("%d crash reports", n)
	}
}

// Guards against crash reports that are never refuted: an answer says which process gave it, and when its request was sent.
func TestAnswerShowsThatTheProcessIsAlive(t *testing.T) {
	q := &quarantine{}
	e := newEndpoint(t, plain)
	s := newHeldSetup(t, q, e.born("e", bornFirst))
	s.run(s.request(http.MethodGet, ""))
	q.mu.Lock()
	defer q.mu.Unlock()
	if !slices.Equal(q.alive, []string{e.born("e", bornFirst).Incarnation().Key()}) {
		t.Errorf("got %v", q.alive)
	}
}

// Guards against callers that wait for an answer of a process which is known to be over.
func TestAttemptAtAFormerProcessGoesElsewhere(t *testing.T) {
	silent := newEndpoint(t, func(net.Conn, *http.Request, string) { time.Sleep(5 * time.Second) })
	other := newEndpoint(t, plain)
	q := &quarantine{}
	// A stream that may be resumed waits as long as its caller does.
	route := chivetable.Route{Attempts: 3, Repeat: chivetable.RepeatResume}
	s := newSetupWith(t, func(o *chiveforward.Options) { o.Quarantine = q }, route, silent.born("silent", bornFirst))
	began := time.Now()
	time.AfterFunc(100*time.Millisecond, func() {
		later := []chivedirectory.Endpoint{silent.born("silent", bornLater), other.born("other", bornFirst)}
		later[0].State = chivedirectory.Leaving
		s.pools.ApplyEndpoints(chivedirectory.Diff{Changed: later})
		s.forwarder.ApplyEndpoints(chivedirectory.Diff{Changed: later})
	})
	request := s.request(http.MethodGet, "")
	request.Deadline = time.Now().Add(4 * time.Second)
	result, _ := s.run(request)
	if result.Outcome != chiveforward.Completed || time.Since(began) > time.Second || other.requests() != 1 {
		t.Errorf("after %v got %+v", time.Since(began), result)
	}
	if got := q.reported(t, 1, time.Second); got[0] != chivehealth.EvidenceReplaced {
		t.Errorf("evidence %v", got)
	}
}
