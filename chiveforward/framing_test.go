package chiveforward_test

import (
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"chivedrift/chiveforward"
	"chivedrift/chivetable"
)

const (
	plainHead  = "HTTP/1.1 200 OK\r\nId: 42\r\n"
	streamHead = plainHead + "Content-Type: text/event-stream\r\n"
	eventBody  = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n"
)

// unframed are heads of responses that end with their connection.
var unframed = map[string]func(head string) string{
	"announced":   func(head string) string { return head + "Connection: close\r\n\r\n" },
	"unannounced": func(head string) string { return head + "\r\n" },
	"HTTP/1.0":    func(head string) string { return strings.Replace(head, "HTTP/1.1", "HTTP/1.0", 1) + "\r\n" },
	"behind an interim one": func(head string) string {
		return "HTTP/1.1 103 Early Hints\r\n\r\n" + head + "Connection: close\r\n\r\n"
	},
}

// routeKinds are the kinds of routes that treat cut responses differently.
var routeKinds = map[string]chivetable.Route{
	"once":             {Attempts: 2},
	"repeatable":       {Attempts: 2, Repeat: chivetable.RepeatAlways},
	"stream":           {Attempts: 2, Stream: true},
	"resumable stream": {Attempts: 2, Stream: true, Repeat: chivetable.RepeatResume},
}

// Guards against a body that only the end of its connection ends, and that the caller gets as one known to be whole.
func TestEndOfConnectionProvesNoEndOfResponse(t *testing.T) {
	for framing, frame := range unframed {
		for kind, route := range routeKinds {
			t.Run(framing+", "+kind, func(t *testing.T) {
				head, cut := frame(plainHead), 0
				if route.Stream {
					head = frame(streamHead)
				}
				e := newEndpoint(t, func(conn net.Conn, _ *http.Request, _ string) {
					write(conn, head+eventBody[:cut])
					conn.Close()
				})
				for cut = 0; cut <= len(eventBody); cut++ {
					s := newFixture(t, route, e.registration("one"))
					result, c := s.run(s.request(http.MethodPost, "body"))
					isWhole := !route.Stream || cut == 0 || strings.HasSuffix(eventBody[:cut], "\n\n")
					if isWhole != (result.Outcome == chiveforward.Completed) || !strings.HasPrefix(eventBody[:cut], string(c.body)) || c.status != 0 && !c.endsWithConnection {
						t.Errorf("cut at %d: %s, body %q, ends with the connection %v", cut, result.Outcome, c.body, c.endsWithConnection)
					}
				}
			})
		}
	}
}

// Guards against an error of an endpoint, cut in its body, that the caller gets as whole.
func TestEndOfConnectionProvesNoEndOfError(t *testing.T) {
	for kind, route := range routeKinds {
		t.Run(kind, func(t *testing.T) {
			e := newEndpoint(t, func(conn net.Conn, _ *http.Request, _ string) {
				write(conn, "HTTP/1.1 500 Failed\r\nId: 42\r\nConnection: close\r\n\r\nfai")
				conn.Close()
			})
			s := newFixture(t, route, e.registration("one"))
			if result, c := s.run(s.request(http.MethodPost, "body")); result.Outcome != chiveforward.Failed || c.status != http.StatusInternalServerError || !c.endsWithConnection {
				t.Errorf("%s, status %d, body %q, ends with the connection %v", result.Outcome, c.status, c.body, c.endsWithConnection)
			}
		})
	}
}

// Guards against responses whose end is proved and that callers get as ones whose end is not.
func TestProvedEndIsPassedOn(t *testing.T) {
	for framing, send := range framings {
		for kind, route := range routeKinds {
			t.Run(framing+", "+kind, func(t *testing.T) {
				head := plainHead
				if route.Stream {
					head = streamHead
				}
				e := newEndpoint(t, func(conn net.Conn, _ *http.Request, _ string) { send(conn, head, eventBody) })
				s := newFixture(t, route, e.registration("one"))
				result, c := s.run(s.request(http.MethodPost, "body"))
				if result.Outcome != chiveforward.Completed || string(c.body) != eventBody || c.endsWithConnection != (framing == "connection") {
					t.Errorf("%s, body %q, ends with the connection %v", result.Outcome, c.body, c.endsWithConnection)
				}
			})
		}
	}
}

// Guards against responses without a body, by their status or method, that callers get as ones that end with the connection.
func TestResponsesWithoutABodyHaveAProvedEnd(t *testing.T) {
	for name, c := range map[string]struct{ method, head string }{
		"HEAD":            {http.MethodHead, plainHead},
		"HEAD, closed":    {http.MethodHead, plainHead + "Connection: close\r\n"},
		"204":             {http.MethodGet, "HTTP/1.1 204 No Content\r\nId: 42\r\n"},
		"304":             {http.MethodGet, "HTTP/1.1 304 Not Modified\r\nId: 42\r\n"},
		"304 with length": {http.MethodGet, "HTTP/1.1 304 Not Modified\r\nId: 42\r\nContent-Length: 5\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			e := newEndpoint(t, func(conn net.Conn, _ *http.Request, _ string) { write(conn, c.head+"\r\n") })
			s := newFixture(t, chivetable.Route{Attempts: 1}, e.registration("one"))
			if result, sink := s.run(s.request(c.method, "")); result.Outcome != chiveforward.Completed || sink.endsWithConnection {
				t.Errorf("%s, ends with the connection %v", result.Outcome, sink.endsWithConnection)
			}
		})
	}
}

// Guards against a stream in chunks whose rest ends with its connection, and that the caller gets as whole.
func TestUnprovedRestDoesNotEndAStreamInChunks(t *testing.T) {
	for name, c := range map[string]struct {
		attempts int
		want     chiveforward.Outcome
	}{
		"no other attempt":        {2, chiveforward.Unknown},
		"the empty rest is whole": {3, chiveforward.Completed},
	} {
		t.Run(name, func(t *testing.T) {
			var number atomic.Int64
			answer := func(conn net.Conn, request *http.Request, _ string) {
				switch number.Add(1) {
				case 1:
					write(conn, streamHead+"Transfer-Encoding: chunked\r\n\r\n"+chunk(eventBody[:len(eventBody)/3]))
					time.Sleep(20 * time.Millisecond)
					reset(conn)
				case 2:
					write(conn, streamHead+"Connection: close\r\n\r\n"+eventBody[len(eventBody)/3:])
					conn.Close()
				default:
					if request.Header.Get("After") != "3" {
						t.Errorf("asked for the rest after %q, want 3", request.Header.Get("After"))
					}
					write(conn, streamHead+"Content-Length: 0\r\n\r\n")
				}
			}
			route := chivetable.Route{Attempts: c.attempts, Stream: true, Repeat: chivetable.RepeatResume}
			s := newFixture(t, route, newEndpoint(t, answer).registration("one"), newEndpoint(t, answer).registration("two"), newEndpoint(t, answer).registration("three"))
			result, sink := s.run(s.request(http.MethodPost, "body"))
			if result.Outcome != c.want || string(sink.body) != eventBody || sink.endsWithConnection {
				t.Errorf("%s, want %s, body %q, ends with the connection %v", result.Outcome, c.want, sink.body, sink.endsWithConnection)
			}
		})
	}
}

// Guards against a head that was cut, anywhere before its empty line, and that the caller gets as a response.
func TestCutHeadIsNoResponse(t *testing.T) {
	for framing, field := range map[string]string{"length": "Content-Length: 10\r\n", "chunks": "Transfer-Encoding: chunked\r\n", "connection": "Connection: close\r\n"} {
		for _, interim := range []string{"", "HTTP/1.1 103 Early Hints\r\n\r\n"} {
			for kind, route := range routeKinds {
				t.Run(framing+", "+kind+", "+strings.TrimSpace(interim), func(t *testing.T) {
					head, cut := interim+plainHead+field+"\r\n", 0
					e := newEndpoint(t, func(conn net.Conn, _ *http.Request, _ string) {
						write(conn, head[:cut])
						conn.Close()
					})
					step := 7
					if kind == "once" {
						step = 1
					}
					for cut = 0; cut < len(head); cut += step {
						s := newFixture(t, route, e.registration("one"))
						if result, c := s.run(s.request(http.MethodPost, "body")); result.Outcome != chiveforward.Unknown || c.status != 0 {
							t.Errorf("cut at %d: %s, status %d, body %q", cut, result.Outcome, c.status, c.body)
						}
					}
				})
			}
		}
	}
}

// Guards against a head that arrives slowly and is taken for one that was cut, or whose framing is misread.
func TestSlowHeadIsRead(t *testing.T) {
	for framing, want := range map[string]bool{"Content-Length: 4\r\n": false, "Connection: close\r\n": true} {
		t.Run(strings.TrimSpace(framing), func(t *testing.T) {
			e := newEndpoint(t, func(conn net.Conn, _ *http.Request, _ string) {
				for i, c := range plainHead + framing + "\r\n" {
					write(conn, string(c))
					time.Sleep(5 * time.Millisecond)
					if i == len(plainHead) {
						time.Sleep(time.Second)
					}
				}
				write(conn, "body")
				conn.Close()
			})
			s := newFixture(t, chivetable.Route{Attempts: 1}, e.registration("one"))
			if result, c := s.run(s.request(http.MethodPost, "body")); result.Outcome != chiveforward.Completed || string(c.body) != "body" || c.endsWithConnection != want {
				t.Errorf("%s, body %q, ends with the connection %v, want %v", result.Outcome, c.body, c.endsWithConnection, want)
			}
		})
	}
}
