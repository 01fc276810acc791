package chiveforward_test

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"chivedrift/chiveforward"
	"chivedrift/chivetable"
)

// framings are the encodings of a response's body; each one ends as a complete body does.
var framings = map[string]func(conn net.Conn, head, body string){
	"chunks": func(conn net.Conn, head, body string) {
		write(conn, head+"Transfer-Encoding: chunked\r\n\r\n")
		for _, piece := range []string{body[:len(body)/2], body[len(body)/2:]} {
			if piece != "" {
				write(conn, strconv.FormatInt(int64(len(piece)), 16)+"\r\n"+piece+"\r\n")
			}
		}
		write(conn, "0\r\n\r\n")
	},
	"length": func(conn net.Conn, head, body string) {
		write(conn, head+"Content-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body)
	},
	"connection": func(conn net.Conn, head, body string) {
		write(conn, head+"\r\n"+body)
		conn.Close()
	},
}

// Guards against a stream that its endpoint ended inside an event and that the caller gets as complete, or with a part of that
// event.
func TestStreamCutInsideEventIsNotComplete(t *testing.T) {
	const events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n"
	for name, send := range framings {
		for _, resumable := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, resumable %v", name, resumable), func(t *testing.T) {
				cut := 0
				e := newEndpoint(t, func(conn net.Conn, request *http.Request, _ string) {
					after, err := strconv.Atoi(request.Header.Get("After"))
					if err != nil {
						after = 0
					}
					start := after * len(events) / 3
					if after > 0 || request.Header.Get("Meant") == "sound" {
						send(conn, streamHeader, events[start:])
						return
					}
					send(conn, streamHeader, events[:cut])
				})
				route := chivetable.Route{Attempts: 2, Stream: true}
				if resumable {
					route.Repeat = chivetable.RepeatResume
				}
				for cut = 1; cut < len(events); cut++ {
					if strings.HasSuffix(events[:cut], "\n\n") {
						continue
					}
					checkCutStream(t, newFixture(t, route, e.registration("cut")), cut, "")
					if resumable {
						checkCutStream(t, newFixture(t, route, e.registration("cut"), e.registration("sound")), cut, events)
					}
				}
			})
		}
	}
}

// checkCutStream runs a request whose stream is cut after some bytes; want is what the caller gets if the stream is resumed, empty
// if it cannot be.
func checkCutStream(t *testing.T, s *fixture, cut int, want string) {
	t.Helper()
	result, c := s.run(s.request(http.MethodPost, "body"))
	body := string(c.body)
	switch {
	case body != "" && !strings.HasSuffix(body, "\n\n"):
		t.Errorf("cut at %d: the caller got part of an event: %q", cut, body)
	case want == "" && result.Outcome != chiveforward.Unknown:
		t.Errorf("cut at %d: got %+v, %q", cut, result, body)
	case want != "" && (result.Outcome != chiveforward.Completed || body != want):
		t.Errorf("cut at %d: got %+v, %q", cut, result, body)
	}
	if length := c.header.Get("Content-Length"); length != "" {
		t.Errorf("cut at %d: the caller was promised %s bytes", cut, length)
	}
}

// Guards against whole streams that count as cut because of how they end.
func TestWholeStreamsAreComplete(t *testing.T) {
	for name, c := range map[string]struct {
		body string
		// explicit means that only the end of a length or of chunks shows that the stream is whole.
		explicit bool
	}{
		"empty":                      {body: ""},
		"event":                      {body: "id: 1\ndata: a\n\n"},
		"comment between events":     {body: "id: 1\ndata: a\n\n: on\n\nid: 2\ndata: b\n\n"},
		"comment block at the end":   {body: "id: 1\ndata: a\n\n: bye\n\n"},
		"comment at the end":         {body: "id: 1\ndata: a\n\n: bye\n", explicit: true},
		"comment without line break": {body: "id: 1\ndata: a\n\n: bye", explicit: true},
		"empty lines at the end":     {body: "id: 1\ndata: a\n\n\n\n"},
		"CRLF":                       {body: "id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n"},
		"CR":                         {body: "id: 1\rdata: a\r\rid: 2\rdata: b\r\r", explicit: true},
		"CR and a comment":           {body: "id: 1\rdata: a\r\r: bye\r", explicit: true},
	} {
		for framing, send := range framings {
			if c.explicit && framing == "connection" {
				continue
			}
			t.Run(name+", "+framing, func(t *testing.T) {
				e := newEndpoint(t, func(conn net.Conn, _ *http.Request, _ string) { send(conn, streamHeader, c.body) })
				s := newFixture(t, chivetable.Route{Attempts: 1, Stream: true}, e.registration("one"))
				result, sink := s.run(s.request(http.MethodPost, "body"))
				if result.Outcome != chiveforward.Completed || string(sink.body) != c.body || e.requests() != 1 {
					t.Errorf("got %+v, %q after %d requests", result, sink.body, e.requests())
				}
			})
		}
	}
}

// Guards against an error of an endpoint that is held to the form of a stream of events.
func TestErrorOfStreamIsForwardedAsItIs(t *testing.T) {
	const body = "data: {\"error\""
	e := newEndpoint(t, func(conn net.Conn, _ *http.Request, _ string) {
		framings["chunks"](conn, "HTTP/1.1 400 Bad\r\nId: 42\r\nContent-Type: text/event-stream\r\n", body)
	})
	s := newFixture(t, chivetable.Route{Attempts: 1, Stream: true}, e.registration("one"))
	result, c := s.run(s.request(http.MethodPost, "body"))
	if result.Outcome != chiveforward.Completed || c.status != http.StatusBadRequest || string(c.body) != body {
		t.Errorf("got %+v, %d %q", result, c.status, c.body)
	}
}

// Guards against a stream that passes for a plain body because of the spelling of its type or another status of success.
func TestCutStreamIsRecognizedByTypeAndStatus(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nId: 42\r\nContent-Type: Text/Event-Stream; charset=utf-8\r\n", "HTTP/1.1 201 Created\r\nId: 42\r\nContent-Type: text/event-stream ;charset=utf-8\r\n",
	} {
		e := newEndpoint(t, func(conn net.Conn, _ *http.Request, _ string) {
			framings["chunks"](conn, head, "id: 1\ndata: a\n\nid: 2\nda")
		})
		s := newFixture(t, chivetable.Route{Attempts: 1, Stream: true}, e.registration("one"))
		result, c := s.run(s.request(http.MethodPost, "body"))
		if result.Outcome != chiveforward.Unknown || string(c.body) != "id: 1\ndata: a\n\n" {
			t.Errorf("%q: got %+v, %q", head, result, c.body)
		}
	}
}
