package chiveforward_test

import (
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"chivedrift/chivedirectory"
	"chivedrift/chiveforward"
	"chivedrift/chiverequest"
	"chivedrift/chivetable"
)

func TestRequestIsForwardedUnchanged(t *testing.T) {
	e := newEndpoint(t, echo)
	s := newFixture(t, chivetable.Route{Attempts: 1}, e.registration("one"))
	result, c := s.run(s.request(http.MethodPost, "body"))
	if result.Outcome != chiveforward.Completed || c.status != http.StatusOK || string(c.body) != "body" {
		t.Fatalf("got %+v, %d %q", result, c.status, c.body)
	}
	got := e.request(0)
	if got.RequestURI != "/x?y=%2F" || got.Host != "h" || got.Header.Get("A") != "b" || got.Header.Get("Meant") != "one" {
		t.Errorf("the endpoint received %s %s %v", got.RequestURI, got.Host, got.Header)
	}
	if _, given := got.Header["User-Agent"]; given {
		t.Errorf("a User-Agent header was added: %v", got.Header)
	}
}

// Guards against a path that loses its first part, or is encoded in another way, because of how it begins.
func TestTargetIsForwardedByteForByte(t *testing.T) {
	e := newEndpoint(t, echo)
	s := newFixture(t, chivetable.Route{Attempts: 1}, e.registration("one"))
	for i, target := range []string{
		"/", "/a", "//a", "//a/b?c=d", "//", "///", "//?", "//a?", "//a?b?c", "//a%2Fb%20c", "//a:80/b@c", "//[::1]/a", "/a//b", "//a;b=c,d!$&'()*+", "/a|b\"", "//a/%7e~?%zz",
	} {
		if err := chiveforward.CheckTarget(target); err != nil {
			t.Errorf("%s: %v", target, err)
		}
		request := s.request(http.MethodPost, "body")
		request.Target = target
		if result, _ := s.run(request); result.Outcome != chiveforward.Completed || e.request(i).RequestURI != target {
			t.Errorf("%s: got %+v, the endpoint received %q", target, result, e.request(i).RequestURI)
		}
	}
	for _, target := range []string{"//a|b", "//a%zz"} {
		if chiveforward.CheckTarget(target) == nil {
			t.Errorf("%s would not be sent as it is", target)
		}
	}
}

func TestConnectionIsReused(t *testing.T) {
	e := newEndpoint(t, echo)
	s := newFixture(t, chivetable.Route{Attempts: 1}, e.registration("one"))
	for range 5 {
		if result, _ := s.run(s.request(http.MethodPost, "body")); result.Outcome != chiveforward.Completed {
			t.Fatalf("got %+v", result)
		}
	}
	if e.connections() != 1 {
		t.Errorf("%d connections for five requests in a row, want 1", e.connections())
	}
}

// Guards against passing a late second response on a reused connection to another caller.
func TestResponseOfAnotherRequestIsNotForwarded(t *testing.T) {
	e := newEndpoint(t, func(conn net.Conn, _ *http.Request, _ string) {
		write(conn, "HTTP/1.1 200 OK\r\nId: 41\r\nContent-Length: 5\r\n\r\nwrong")
	})
	s := newFixture(t, chivetable.Route{Attempts: 1}, e.registration("one"))
	result, c := s.run(s.request(http.MethodPost, "body"))
	if result.Outcome != chiveforward.Unknown || result.Status != http.StatusBadGateway || c.status != 0 {
		t.Errorf("got %+v, forwarded %d %q", result, c.status, c.body)
	}
}

// Guards against a response without a final status, which would crash the handler of the caller's request and keep its place.
func TestResponseWithoutFinalStatusBreaksTheAttempt(t *testing.T) {
	for _, status := range []string{"020 OK", "000 None", "101 Switching Protocols"} {
		e := newEndpoint(t, func(conn net.Conn, _ *http.Request, _ string) {
			write(conn, "HTTP/1.1 "+status+"\r\nId: 42\r\nContent-Length: 2\r\n\r\nhi")
		})
		s := newFixture(t, chivetable.Route{Attempts: 1}, e.registration("one"))
		if result, c := s.run(s.request(http.MethodPost, "body")); result.Outcome != chiveforward.Unknown || c.status != 0 {
			t.Errorf("%s: got %+v, forwarded %d", status, result, c.status)
		}
	}
}

// Guards against resending a request that must not run twice after an endpoint may have started it.
func TestNonRepeatableRequestIsNotRetried(t *testing.T) {
	for name, fail := range map[string]func(net.Conn, *http.Request, string){
		"reset":    func(conn net.Conn, _ *http.Request, _ string) { reset(conn) },
		"closed":   func(conn net.Conn, _ *http.Request, _ string) { conn.Close() },
		"not HTTP": func(conn net.Conn, _ *http.Request, _ string) { write(conn, "\x00\x01 nonsense\r\n\r\n"); conn.Close() },
		"truncated": func(conn net.Conn, _ *http.Request, _ string) {
			write(conn, "HTTP/1.1 200 OK\r\nId: 42\r\nContent-Length: 9\r\n\r\nshort")
			conn.Close()
		},
	} {
		t.Run(name, func(t *testing.T) {
			one, two := newEndpoint(t, fail), newEndpoint(t, fail)
			s := newFixture(t, chivetable.Route{Attempts: 3}, one.registration("one"), two.registration("two"))
			request := s.request(http.MethodGet, "")
			request.Header.Set("Idempotency-Key", "net/http repeats such a request by itself")
			result, c := s.run(request)
			if result.Outcome != chiveforward.Unknown || c.status != 0 {
				t.Errorf("got %+v, forwarded status %d", result, c.status)
			}
			if n := one.requests() + two.requests(); n != 1 {
				t.Errorf("sent %d times, want 1", n)
			}
		})
	}
}

// Guards against retries by net/http that bypass the retry budget.
func TestIdempotentRequestIsNotRetriedByTransport(t *testing.T) {
	first := true
	e := newEndpoint(t, func(conn net.Conn, request *http.Request, body string) {
		if first {
			first = false
			echo(conn, request, body)
			return
		}
		reset(conn)
	})
	s := newFixture(t, chivetable.Route{Attempts: 1, Repeat: chivetable.RepeatAlways}, e.registration("one"))
	s.run(s.request(http.MethodGet, ""))
	result, _ := s.run(s.request(http.MethodGet, ""))
	if result.Outcome == chiveforward.Completed || e.requests() != 2 {
		t.Errorf("got %+v after %d requests, want a failure after 2", result, e.requests())
	}
}

func TestIdempotentRequestIsRetriedElsewhere(t *testing.T) {
	bad := newEndpoint(t, func(conn net.Conn, _ *http.Request, _ string) { reset(conn) })
	good := newEndpoint(t, echo)
	s := newFixture(t, chivetable.Route{Attempts: 2, Repeat: chivetable.RepeatAlways}, bad.registration("bad"), good.registration("good"))
	for range 20 {
		result, _ := s.run(s.request(http.MethodGet, ""))
		if result.Outcome != chiveforward.Completed {
			t.Fatalf("got %+v", result)
		}
	}
}

func TestEndpointErrorIsForwardedWithoutBetterResponse(t *testing.T) {
	e := newEndpoint(t, func(conn net.Conn, _ *http.Request, _ string) {
		write(conn, "HTTP/1.1 500 Oops\r\nId: 42\r\nContent-Length: 4\r\n\r\noops")
	})
	s := newFixture(t, chivetable.Route{Attempts: 2, Repeat: chivetable.RepeatAlways}, e.registration("one"))
	result, c := s.run(s.request(http.MethodGet, ""))
	if result.Outcome != chiveforward.Failed || c.status != http.StatusInternalServerError || string(c.body) != "oops" {
		t.Errorf("got %+v, forwarded %d %q", result, c.status, c.body)
	}
}

func TestRefusalIsNotRunWithRetryAfter(t *testing.T) {
	e := newEndpoint(t, func(conn net.Conn, _ *http.Request, _ string) {
		write(conn, "HTTP/1.1 503 Full\r\nId: 42\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
	})
	s := newFixture(t, chivetable.Route{Attempts: 1}, e.registration("one"))
	start := time.Now()
	result, _ := s.run(s.request(http.MethodPost, "body"))
	if result.Outcome != chiveforward.NotRun || result.Status != http.StatusServiceUnavailable || result.RetryAfter <= 0 {
		t.Errorf("got %+v", result)
	}
	if elapsed := time.Since(start); elapsed > time.Second {
		t.Errorf("the final response took %v", elapsed)
	}
}

// Guards against failing a request because its endpoint's address now belongs to another process.
func TestMisdirectedRequestIsRetried(t *testing.T) {
	moved := newEndpoint(t, func(conn net.Conn, _ *http.Request, _ string) {
		write(conn, "HTTP/1.1 421 Moved\r\nContent-Length: 0\r\n\r\n")
	})
	good := newEndpoint(t, echo)
	s := newFixture(t, chivetable.Route{Attempts: 1}, moved.registration("moved"), good.registration("good"))
	for range 10 {
		if result, _ := s.run(s.request(http.MethodPost, "body")); result.Outcome != chiveforward.Completed {
			t.Fatalf("got %+v", result)
		}
	}
	if moved.requests() > 1 {
		t.Errorf("sent %d requests to the wrong endpoint", moved.requests())
	}
}

func TestUnreachableEndpointIsNotRun(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := closed.Addr().String()
	closed.Close()
	s := newFixture(t, chivetable.Route{Attempts: 1}, chivedirectory.Endpoint{ID: "one", Pool: "p", Address: address})
	result, _ := s.run(s.request(http.MethodPost, "body"))
	if result.Outcome != chiveforward.NotRun || result.RetryAfter <= 0 {
		t.Errorf("got %+v", result)
	}
}

func TestDeadlineAndCallerGone(t *testing.T) {
	e := newEndpoint(t, func(net.Conn, *http.Request, string) { time.Sleep(2 * time.Second) })
	s := newFixture(t, chivetable.Route{Attempts: 1}, e.registration("one"))
	expiring := s.request(http.MethodPost, "body")
	expiring.Deadline = expiring.Arrival.Add(100 * time.Millisecond)
	if result, _ := s.run(expiring); result.Outcome != chiveforward.Unknown || result.Status != http.StatusGatewayTimeout {
		t.Errorf("deadline: got %+v", result)
	}
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)
	if result := s.forwarder.Run(ctx, s.request(http.MethodPost, "body"), &recordingSink{}); result.Code != chiveforward.CodeCallerGone {
		t.Errorf("caller gone: got %+v", result)
	}
}

const streamHeader = "HTTP/1.1 200 OK\r\nId: 42\r\nContent-Type: text/event-stream\r\n"

func chunk(text string) string {
	const hex = "0123456789abcdef"
	return string([]byte{hex[len(text)/16], hex[len(text)%16]}) + "\r\n" + text + "\r\n"
}

// Guards against a resumed stream that repeats or misses an event.
func TestStreamIsResumedElsewhere(t *testing.T) {
	var resumedAfter []string
	answer := func(conn net.Conn, request *http.Request, _ string) {
		resumedAfter = append(resumedAfter, request.Header.Get("After"))
		write(conn, streamHeader+"Transfer-Encoding: chunked\r\n\r\n")
		if request.Header.Get("After") == "" {
			write(conn, chunk("id: 1\ndata: a\n\n")+chunk("id: 2\ndata: b\n\nid: 3\nda"))
			time.Sleep(20 * time.Millisecond)
			reset(conn)
			return
		}
		write(conn, chunk("id: 2\ndata: b\n\n")+chunk("id: 3\ndata: c\n\n")+"0\r\n\r\n")
	}
	one, two := newEndpoint(t, answer), newEndpoint(t, answer)
	s := newFixture(t, chivetable.Route{Attempts: 2, Stream: true, Repeat: chivetable.RepeatResume}, one.registration("one"), two.registration("two"))
	result, c := s.run(s.request(http.MethodPost, "body"))
	want := "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n"
	if result.Outcome != chiveforward.Completed || string(c.body) != want {
		t.Errorf("got %+v\n%q, want\n%q", result, c.body, want)
	}
	if strings.Join(resumedAfter, ",") != ",2" {
		t.Errorf("the attempts resumed after %q", resumedAfter)
	}
}

func TestNonResumableStreamIsNotResumed(t *testing.T) {
	e := newEndpoint(t, func(conn net.Conn, _ *http.Request, _ string) {
		write(conn, streamHeader+"Transfer-Encoding: chunked\r\n\r\n"+chunk("id: 1\ndata: a\n\n"))
		time.Sleep(20 * time.Millisecond)
		reset(conn)
	})
	s := newFixture(t, chivetable.Route{Attempts: 2, Stream: true}, e.registration("one"))
	result, _ := s.run(s.request(http.MethodPost, "body"))
	if !result.Started || result.Outcome != chiveforward.Unknown || e.requests() != 1 {
		t.Errorf("got %+v after %d requests", result, e.requests())
	}
}

// Guards against treating a stream that was truncated inside an event as complete.
func TestStreamWithoutLengthTruncatedInsideEvent(t *testing.T) {
	e := newEndpoint(t, func(conn net.Conn, _ *http.Request, _ string) {
		write(conn, streamHeader+"\r\nid: 1\ndata: a\n\nid: 2\nda")
		conn.Close()
	})
	s := newFixture(t, chivetable.Route{Attempts: 1, Stream: true}, e.registration("one"))
	result, c := s.run(s.request(http.MethodPost, "body"))
	if result.Outcome == chiveforward.Completed || strings.Contains(string(c.body), "id: 2") {
		t.Errorf("got %+v, %q", result, c.body)
	}
}

// Guards against requests that hang at a silent endpoint while a healthy one is available.
func TestRequestIsRetriedAfterSilence(t *testing.T) {
	silent := newEndpoint(t, func(net.Conn, *http.Request, string) { time.Sleep(3 * time.Second) })
	good := newEndpoint(t, echo)
	s := newFixture(t, chivetable.Route{Attempts: 2, Repeat: chivetable.RepeatAlways}, silent.registration("silent"), good.registration("good"))
	for range 3 {
		request := s.request(http.MethodGet, "")
		request.Deadline = request.Arrival.Add(time.Second)
		if result, _ := s.run(request); result.Outcome != chiveforward.Completed {
			t.Errorf("got %+v", result)
		}
	}
}

// Guards against sending requests that expired while the machine was suspended.
func TestRequestExpiredDuringSuspensionIsNotRetried(t *testing.T) {
	var s *fixture
	bad := newEndpoint(t, func(conn net.Conn, _ *http.Request, _ string) {
		s.suspendedNs.Add(int64(10 * time.Second))
		reset(conn)
	})
	s = newFixture(t, chivetable.Route{Attempts: 3, Repeat: chivetable.RepeatAlways}, bad.registration("one"), bad.registration("two"))
	result, _ := s.run(s.request(http.MethodGet, ""))
	if bad.requests() != 1 || result.Code != chiveforward.CodeDeadline {
		t.Errorf("sent %d times, got %+v", bad.requests(), result)
	}
}

// recordingPlaces records how long the forwarder waited for each event.
type recordingPlaces struct {
	chiveforward.Places
	waits []time.Duration
}

func (p *recordingPlaces) Take(ctx context.Context, request *chiverequest.Request, exclude []string) (chiveforward.Place, error) {
	place, err := p.Places.Take(ctx, request, exclude)
	if err != nil {
		return nil, err
	}
	return &recordingPlace{place, p}, nil
}

type recordingPlace struct {
	chiveforward.Place
	places *recordingPlaces
}

func (p *recordingPlace) Event(now time.Time, waited time.Duration) {
	p.places.waits = append(p.places.waits, waited)
	p.Place.Event(now, waited)
}

// slowSink takes 200 ms for each write.
type slowSink struct{ recordingSink }

func (c *slowSink) Write(data []byte, flush bool) error {
	time.Sleep(200 * time.Millisecond)
	return c.recordingSink.Write(data, flush)
}

// Guards against ejecting an engine whose streams are slow only because of their callers.
func TestSlowCallerDoesNotCountAsSlowEngine(t *testing.T) {
	e := newEndpoint(t, func(conn net.Conn, _ *http.Request, _ string) {
		write(conn, streamHeader+"Transfer-Encoding: chunked\r\n\r\n"+chunk("id: 1\ndata: a\n\n")+chunk("id: 2\ndata: b\n\n")+chunk("id: 3\ndata: c\n\n")+"0\r\n\r\n")
	})
	var places *recordingPlaces
	s := newFixtureWithOptions(t, func(o *chiveforward.Options) {
		places = &recordingPlaces{Places: o.Places}
		o.Places = places
	}, chivetable.Route{Attempts: 1, Stream: true}, e.registration("e"))
	result := s.forwarder.Run(context.Background(), s.request(http.MethodPost, "body"), &slowSink{})
	if result.Outcome != chiveforward.Completed || len(places.waits) != 3 {
		t.Fatalf("got %+v, waits %v", result, places.waits)
	}
	for _, waited := range places.waits[1:] {
		if waited > 100*time.Millisecond {
			t.Errorf("recorded waits for events: %v", places.waits)
		}
	}
}
