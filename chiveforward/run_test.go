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

func TestRequestGoesOutAsItCame(t *testing.T) {
	e := newEndpoint(t, plain)
	s := newSetup(t, chivetable.Route{Attempts: 1}, e.entry("one"))
	result, c := s.run(s.request(http.MethodPost, "body"))
	if result.Outcome != chiveforward.Completed || c.status != http.StatusOK || string(c.body) != "body" {
		t.Fatalf("got %+v, %d %q", result, c.status, c.body)
	}
	got := e.request(0)
	if got.RequestURI != "/x?y=%2F" || got.Host != "h" || got.Header.Get("A") != "b" || got.Header.Get("Meant") != "one" {
		t.Errorf("the endpoint got %s %s %v", got.RequestURI, got.Host, got.Header)
	}
	if _, given := got.Header["User-Agent"]; given {
		t.Errorf("a user agent was added: %v", got.Header)
	}
}

func TestConnectionIsUsedAgain(t *testing.T) {
	e := newEndpoint(t, plain)
	s := newSetup(t, chivetable.Route{Attempts: 1}, e.entry("one"))
	for range 5 {
		if result, _ := s.run(s.request(http.MethodPost, "body")); result.Outcome != chiveforward.Completed {
			t.Fatalf("got %+v", result)
		}
	}
	if e.connections() != 1 {
		t.Errorf("%d connections for five requests in a row, want 1", e.connections())
	}
}

// Guards against a late second answer on a reused connection that reaches another caller.
func TestAnswerOfAnotherRequestIsNotPassedOn(t *testing.T) {
	e := newEndpoint(t, func(conn net.Conn, _ *http.Request, _ string) {
		write(conn, "HTTP/1.1 200 OK\r\nId: 41\r\nContent-Length: 5\r\n\r\nwrong")
	})
	s := newSetup(t, chivetable.Route{Attempts: 1}, e.entry("one"))
	result, c := s.run(s.request(http.MethodPost, "body"))
	if result.Outcome != chiveforward.Unknown || result.Status != http.StatusBadGateway || c.status != 0 {
		t.Errorf("got %+v, passed on %d %q", result, c.status, c.body)
	}
}

// Guards against resending a request that may run once after its endpoint has begun it.
func TestRequestThatMayRunOnceIsNotSentAgain(t *testing.T) {
	for name, breakOff := range map[string]func(net.Conn, *http.Request, string){
		"reset":   func(conn net.Conn, _ *http.Request, _ string) { reset(conn) },
		"closed":  func(conn net.Conn, _ *http.Request, _ string) { conn.Close() },
		"no http": func(conn net.Conn, _ *http.Request, _ string) { write(conn, "\x00\x01 nonsense\r\n\r\n"); conn.Close() },
		"cut short": func(conn net.Conn, _ *http.Request, _ string) {
			write(conn, "HTTP/1.1 200 OK\r\nId: 42\r\nContent-Length: 9\r\n\r\nshort")
			conn.Close()
		},
	} {
		t.Run(name, func(t *testing.T) {
			one, two := newEndpoint(t, breakOff), newEndpoint(t, breakOff)
			s := newSetup(t, chivetable.Route{Attempts: 3}, one.entry("one"), two.entry("two"))
			request := s.request(http.MethodGet, "")
			request.Header.Set("Idempotency-Key", "net/http repeats such a request by itself")
			result, c := s.run(request)
			if result.Outcome != chiveforward.Unknown || c.status != 0 {
				t.Errorf("got %+v, passed on %d", result, c.status)
			}
			if n := one.requests() + two.requests(); n != 1 {
				t.Errorf("sent %d times, want 1", n)
			}
		})
	}
}

// Guards against retries by net/http that bypass the retry budget.
func TestIdempotentRequestOnADeadConnectionAsksTheBudget(t *testing.T) {
	first := true
	e := newEndpoint(t, func(conn net.Conn, request *http.Request, body string) {
		if first {
			first = false
			plain(conn, request, body)
			return
		}
		reset(conn)
	})
	s := newSetup(t, chivetable.Route{Attempts: 1, Repeat: chivetable.RepeatAlways}, e.entry("one"))
	s.run(s.request(http.MethodGet, ""))
	result, _ := s.run(s.request(http.MethodGet, ""))
	if result.Outcome == chiveforward.Completed || e.requests() != 2 {
		t.Errorf("got %+v after %d requests, want a failure after 2", result, e.requests())
	}
}

func TestIdempotentRequestGoesElsewhere(t *testing.T) {
	bad := newEndpoint(t, func(conn net.Conn, _ *http.Request, _ string) { reset(conn) })
	good := newEndpoint(t, plain)
	s := newSetup(t, chivetable.Route{Attempts: 2, Repeat: chivetable.RepeatAlways}, bad.entry("bad"), good.entry("good"))
	for range 20 {
		result, _ := s.run(s.request(http.MethodGet, ""))
		if result.Outcome != chiveforward.Completed {
			t.Fatalf("got %+v", result)
		}
	}
}

func TestEndpointsOwnErrorIsPassedOnWhenNoOtherDoesBetter(t *testing.T) {
	e := newEndpoint(t, func(conn net.Conn, _ *http.Request, _ string) {
		write(conn, "HTTP/1.1 500 Oops\r\nId: 42\r\nContent-Length: 4\r\n\r\noops")
	})
	s := newSetup(t, chivetable.Route{Attempts: 2, Repeat: chivetable.RepeatAlways}, e.entry("one"))
	result, c := s.run(s.request(http.MethodGet, ""))
	if result.Outcome != chiveforward.Failed || c.status != http.StatusInternalServerError || string(c.body) != "oops" {
		t.Errorf("got %+v, passed on %d %q", result, c.status, c.body)
	}
}

func TestRefusalIsNotRunAndTellsWhenToComeBack(t *testing.T) {
	e := newEndpoint(t, func(conn net.Conn, _ *http.Request, _ string) {
		write(conn, "HTTP/1.1 503 Full\r\nId: 42\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
	})
	s := newSetup(t, chivetable.Route{Attempts: 1}, e.entry("one"))
	began := time.Now()
	result, _ := s.run(s.request(http.MethodPost, "body"))
	if result.Outcome != chiveforward.NotRun || result.Status != http.StatusServiceUnavailable || result.RetryAfter <= 0 {
		t.Errorf("got %+v", result)
	}
	if took := time.Since(began); took > time.Second {
		t.Errorf("the final answer took %v", took)
	}
}

// Guards against failing a request because its endpoint's address now belongs to another process.
func TestAddressOfAnotherEndpoint(t *testing.T) {
	moved := newEndpoint(t, func(conn net.Conn, _ *http.Request, _ string) {
		write(conn, "HTTP/1.1 421 Moved\r\nContent-Length: 0\r\n\r\n")
	})
	good := newEndpoint(t, plain)
	s := newSetup(t, chivetable.Route{Attempts: 1}, moved.entry("moved"), good.entry("good"))
	for range 10 {
		if result, _ := s.run(s.request(http.MethodPost, "body")); result.Outcome != chiveforward.Completed {
			t.Fatalf("got %+v", result)
		}
	}
	if moved.requests() > 1 {
		t.Errorf("asked the wrong endpoint %d times", moved.requests())
	}
}

func TestUnreachedEndpointIsNotRun(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := closed.Addr().String()
	closed.Close()
	s := newSetup(t, chivetable.Route{Attempts: 1}, chivedirectory.Endpoint{ID: "one", Pool: "p", Address: address})
	result, _ := s.run(s.request(http.MethodPost, "body"))
	if result.Outcome != chiveforward.NotRun || result.RetryAfter <= 0 {
		t.Errorf("got %+v", result)
	}
}

func TestDeadlineAndCallerGone(t *testing.T) {
	e := newEndpoint(t, func(net.Conn, *http.Request, string) { time.Sleep(2 * time.Second) })
	s := newSetup(t, chivetable.Route{Attempts: 1}, e.entry("one"))
	late := s.request(http.MethodPost, "body")
	late.Deadline = late.Arrival.Add(100 * time.Millisecond)
	if result, _ := s.run(late); result.Outcome != chiveforward.Unknown || result.Status != http.StatusGatewayTimeout {
		t.Errorf("deadline: got %+v", result)
	}
	ctx, leave := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, leave)
	if result := s.forwarder.Run(ctx, s.request(http.MethodPost, "body"), &caller{}); result.Code != chiveforward.CodeCallerGone {
		t.Errorf("caller gone: got %+v", result)
	}
}

const streamHead = "HTTP/1.1 200 OK\r\nId: 42\r\nContent-Type: text/event-stream\r\n"

func chunk(text string) string {
	const hex = "0123456789abcdef"
	return string([]byte{hex[len(text)/16], hex[len(text)%16]}) + "\r\n" + text + "\r\n"
}

// Guards against a resumed stream that repeats or misses an event.
func TestStreamGoesOnElsewhere(t *testing.T) {
	var order []string
	answer := func(conn net.Conn, request *http.Request, _ string) {
		order = append(order, request.Header.Get("After"))
		write(conn, streamHead+"Transfer-Encoding: chunked\r\n\r\n")
		if request.Header.Get("After") == "" {
			write(conn, chunk("id: 1\ndata: a\n\n")+chunk("id: 2\ndata: b\n\nid: 3\nda"))
			time.Sleep(20 * time.Millisecond)
			reset(conn)
			return
		}
		write(conn, chunk("id: 2\ndata: b\n\n")+chunk("id: 3\ndata: c\n\n")+"0\r\n\r\n")
	}
	one, two := newEndpoint(t, answer), newEndpoint(t, answer)
	s := newSetup(t, chivetable.Route{Attempts: 2, Stream: true, Repeat: chivetable.RepeatResume}, one.entry("one"), two.entry("two"))
	result, c := s.run(s.request(http.MethodPost, "body"))
	want := "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n"
	if result.Outcome != chiveforward.Completed || string(c.body) != want {
		t.Errorf("got %+v\n%q, want\n%q", result, c.body, want)
	}
	if strings.Join(order, ",") != ",2" {
		t.Errorf("the attempts went on after %q", order)
	}
}

func TestStreamThatMayNotGoOnIsBrokenOff(t *testing.T) {
	e := newEndpoint(t, func(conn net.Conn, _ *http.Request, _ string) {
		write(conn, streamHead+"Transfer-Encoding: chunked\r\n\r\n"+chunk("id: 1\ndata: a\n\n"))
		time.Sleep(20 * time.Millisecond)
		reset(conn)
	})
	s := newSetup(t, chivetable.Route{Attempts: 2, Stream: true}, e.entry("one"))
	result, _ := s.run(s.request(http.MethodPost, "body"))
	if !result.Started || result.Outcome != chiveforward.Unknown || e.requests() != 1 {
		t.Errorf("got %+v after %d requests", result, e.requests())
	}
}

// Guards against a stream cut inside an event that passes for complete.
func TestStreamWithoutLengthThatEndsInsideAnEvent(t *testing.T) {
	e := newEndpoint(t, func(conn net.Conn, _ *http.Request, _ string) {
		write(conn, streamHead+"\r\nid: 1\ndata: a\n\nid: 2\nda")
		conn.Close()
	})
	s := newSetup(t, chivetable.Route{Attempts: 1, Stream: true}, e.entry("one"))
	result, c := s.run(s.request(http.MethodPost, "body"))
	if result.Outcome == chiveforward.Completed || strings.Contains(string(c.body), "id: 2") {
		t.Errorf("got %+v, %q", result, c.body)
	}
}

// Guards against requests that hang at a silent endpoint while a healthy one is available.
func TestSilentEndpoint(t *testing.T) {
	silent := newEndpoint(t, func(net.Conn, *http.Request, string) { time.Sleep(3 * time.Second) })
	good := newEndpoint(t, plain)
	s := newSetup(t, chivetable.Route{Attempts: 2, Repeat: chivetable.RepeatAlways}, silent.entry("silent"), good.entry("good"))
	for range 3 {
		request := s.request(http.MethodGet, "")
		request.Deadline = request.Arrival.Add(time.Second)
		if result, _ := s.run(request); result.Outcome != chiveforward.Completed {
			t.Errorf("got %+v", result)
		}
	}
}

// Guards against sending requests that expired while the machine was suspended.
func TestSuspendedMachineDropsWhatItsCallersGaveUp(t *testing.T) {
	var s *setup
	bad := newEndpoint(t, func(conn net.Conn, _ *http.Request, _ string) {
		s.asleep.Add(int64(10 * time.Second))
		reset(conn)
	})
	s = newSetup(t, chivetable.Route{Attempts: 3, Repeat: chivetable.RepeatAlways}, bad.entry("one"), bad.entry("two"))
	result, _ := s.run(s.request(http.MethodGet, ""))
	if bad.requests() != 1 || result.Code != chiveforward.CodeDeadline {
		t.Errorf("sent %d times, got %+v", bad.requests(), result)
	}
}

// watchedPlaces notes how long the events of an answer were waited for.
type watchedPlaces struct {
	chiveforward.Places
	waits []time.Duration
}

func (p *watchedPlaces) Take(ctx context.Context, request *chiverequest.Request, exclude []string) (chiveforward.Place, error) {
	place, err := p.Places.Take(ctx, request, exclude)
	if err != nil {
		return nil, err
	}
	return &watchedPlace{place, p}, nil
}

type watchedPlace struct {
	chiveforward.Place
	of *watchedPlaces
}

func (p *watchedPlace) Event(now time.Time, waited time.Duration) {
	p.of.waits = append(p.of.waits, waited)
	p.Place.Event(now, waited)
}

// slowCaller takes a fifth of a second for each piece.
type slowCaller struct{ caller }

func (c *slowCaller) Write(data []byte, flush bool) error {
	time.Sleep(200 * time.Millisecond)
	return c.caller.Write(data, flush)
}

// Guards against ejecting an engine whose streams are slow only because of their callers.
func TestSlowCallerDoesNotMakeTheEngineLookSlow(t *testing.T) {
	e := newEndpoint(t, func(conn net.Conn, _ *http.Request, _ string) {
		write(conn, streamHead+"Transfer-Encoding: chunked\r\n\r\n"+chunk("id: 1\ndata: a\n\n")+chunk("id: 2\ndata: b\n\n")+chunk("id: 3\ndata: c\n\n")+"0\r\n\r\n")
	})
	var watched *watchedPlaces
	s := newSetupWith(t, func(o *chiveforward.Options) {
		watched = &watchedPlaces{Places: o.Places}
		o.Places = watched
	}, chivetable.Route{Attempts: 1, Stream: true}, e.entry("e"))
	result := s.forwarder.Run(context.Background(), s.request(http.MethodPost, "body"), &slowCaller{})
	if result.Outcome != chiveforward.Completed || len(watched.waits) != 3 {
		t.Fatalf("got %+v, waits %v", result, watched.waits)
	}
	for _, waited := range watched.waits[1:] {
		if waited > 100*time.Millisecond {
			t.Errorf("the engine's events were waited for %v", watched.waits)
		}
	}
}
