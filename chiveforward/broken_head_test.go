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
	chunkedBody = "4\r\nbody\r\n0\r\n\r\n"
	sized       = "Content-Length: 4\r\n"
)

// blankedFields are fields of a head whose name holds a blank, and the body behind the head.
var blankedFields = map[string]struct{ fields, body string }{
	"inside a name":                    {"X Trace: 1\r\n" + sized, "body"},
	"before the colon":                 {"X-Trace : 1\r\n" + sized, "body"},
	"before the colon of a connection": {"Connection : close\r\n" + sized, "body"},
	"chunks":                           {"Transfer-Encoding : chunked\r\n", chunkedBody},
	"chunks beside a length":           {"Transfer-Encoding : chunked\r\nContent-Length: 14\r\n", chunkedBody},
	"before the colon of a length":     {"Content-Length : 4\r\n", "body"},
	"inside the name of a length":      {"Content Length: 4\r\n", "body"},
	"before a name":                    {"X-Trace: 1\r\n Content-Length: 4\r\n", "body"},
	"a tab before a name":              {"X-Trace: 1\r\n\tContent-Length: 4\r\n", "body"},
	"the last field":                   {sized + "X-Trace : 1\r\n", "body"},
	"a refusal":                        {"Not-Run : 1\r\n" + sized, "body"},
	"behind a refusal":                 {"Not-Run: 1\r\nX-Trace : 1\r\n" + sized, "body"},
}

// sendBroken returns how an endpoint sends a response in pieces of a few bytes, or whole for 0, and ends the connection.
func sendBroken(response string, piece int) func(conn net.Conn, request *http.Request, body string) {
	return func(conn net.Conn, _ *http.Request, _ string) {
		for piece > 0 && len(response) > piece {
			write(conn, response[:piece])
			response = response[piece:]
			time.Sleep(time.Millisecond)
		}
		write(conn, response)
		conn.Close()
	}
}

// checkUnused checks that nothing of an endpoint's only response reached the caller.
func checkUnused(t *testing.T, route chivetable.Route, response string, piece int) {
	t.Helper()
	s := newFixture(t, route, newEndpoint(t, sendBroken(response, piece)).registration("one"))
	result, c := s.run(s.request(http.MethodPost, "body"))
	if result.Outcome != chiveforward.Unknown || result.Status != http.StatusBadGateway || c.status != 0 || len(c.body) > 0 {
		t.Errorf("got %+v, status %d, header %v, body %q", result, c.status, c.header, c.body)
	}
}

// Guards against a head whose field has a blank in its name, and that callers get as a response with this field ignored.
func TestBlankInTheNameOfAFieldIsNoResponse(t *testing.T) {
	for name, broken := range blankedFields {
		for kind, route := range routeKinds {
			t.Run(name+", "+kind, func(t *testing.T) {
				head := plainHead
				if route.Stream {
					head = streamHead
				}
				checkUnused(t, route, head+broken.fields+"\r\n"+broken.body, 0)
				checkUnused(t, route, "HTTP/1.1 103 Early Hints\r\nLink : x\r\n\r\n"+head+sized+"\r\nbody", 0)
			})
		}
		t.Run(name+", in pieces", func(t *testing.T) {
			checkUnused(t, routeKinds["once"], plainHead+broken.fields+"\r\n"+broken.body, 3)
		})
	}
}

// Guards against a status that is none, such as 000 and 600, and that callers get as a response's.
func TestStatusThatIsNoneIsNoResponse(t *testing.T) {
	for _, status := range []string{"000", "007", "099", "600", "999"} {
		for kind, route := range routeKinds {
			t.Run(status+", "+kind, func(t *testing.T) {
				for _, framing := range []string{sized, "Transfer-Encoding: chunked\r\n", ""} {
					body := "body"
					if strings.HasPrefix(framing, "Transfer") {
						body = chunkedBody
					}
					checkUnused(t, route, strings.Replace(plainHead, "200", status, 1)+framing+"\r\n"+body, 0)
				}
			})
		}
	}
}

// Guards against a head of another version of HTTP that callers get as a response.
func TestHeadOfAnotherVersionIsNoResponse(t *testing.T) {
	for _, version := range []string{"HTTP/2.0", "HTTP/0.9", "HTTP/3.0"} {
		for kind, route := range routeKinds {
			t.Run(version+", "+kind, func(t *testing.T) {
				checkUnused(t, route, strings.Replace(plainHead, "HTTP/1.1", version, 1)+sized+"\r\nbody", 0)
			})
		}
	}
}

// Guards against a head whose field has a control byte in its name, and that callers get as a response.
func TestControlByteInTheNameOfAFieldIsNoResponse(t *testing.T) {
	for _, field := range []string{"X-\x01Trace: 1", "X-\x00Trace: 1", "X-\x7fTrace: 1", "X-\x0bTrace: 1", "X-\rTrace: 1", "X-Trace\t: 1", ": 1", "X-\xe4Trace: 1"} {
		for kind, route := range routeKinds {
			t.Run(strings.ToValidUTF8(field, "?")+", "+kind, func(t *testing.T) {
				checkUnused(t, route, plainHead+field+"\r\n"+sized+"\r\nbody", 0)
			})
		}
	}
}

// Guards against requests that fail for good although another endpoint answers them, and against repeats of those that must not be.
func TestRequestBehindABrokenHeadRunsElsewhere(t *testing.T) {
	for kind, route := range routeKinds {
		t.Run(kind, func(t *testing.T) {
			var sent atomic.Int64
			answer := func(conn net.Conn, request *http.Request, body string) {
				if sent.Add(1) == 1 {
					sendBroken(plainHead+"X-Trace : 1\r\n"+sized+"\r\nbody", 0)(conn, request, body)
					return
				}
				sendBroken(plainHead+"Content-Length: 5\r\n\r\nsound", 0)(conn, request, body)
			}
			s := newFixture(t, route, newEndpoint(t, answer).registration("one"), newEndpoint(t, answer).registration("two"))
			result, c := s.run(s.request(http.MethodPost, "body"))
			mayRepeat := route.Repeat != chivetable.RepeatNever
			if mayRepeat && (result.Outcome != chiveforward.Completed || string(c.body) != "sound") || !mayRepeat && sent.Load() != 1 {
				t.Errorf("%s, body %q, sent %d times", result.Outcome, c.body, sent.Load())
			}
		})
	}
}

// checkLate checks that a request fails at once whose response comes behind a broken one to an earlier request.
func checkLate(t *testing.T, late string) {
	t.Helper()
	e := newEndpoint(t, func(conn net.Conn, request *http.Request, body string) {
		if request.Header.Get("Id") != "41" {
			write(conn, late)
		}
		echo(conn, request, body)
	})
	s := newFixture(t, chivetable.Route{Attempts: 1}, e.registration("one"))
	first := s.request(http.MethodPost, "first")
	first.ID = "41"
	s.run(first)
	start := time.Now()
	result, c := s.run(s.request(http.MethodPost, "second"))
	if took := time.Since(start); result.Outcome != chiveforward.Unknown || c.status != 0 || took > time.Second {
		t.Errorf("%+v, body %q after %v", result, c.body, took)
	}
}

// Guards against a late copy with a broken head, behind which a caller gets bytes that are no response to its request.
func TestBrokenHeadOfALateResponse(t *testing.T) {
	for name, broken := range blankedFields {
		t.Run(name, func(t *testing.T) { checkLate(t, "HTTP/1.1 200 OK\r\nId: 41\r\n"+broken.fields+"\r\n"+broken.body) })
	}
}

// Guards against a late copy whose status is none and that is taken for an interim response, or hides the response behind it.
func TestStatusThatIsNoneOfALateResponse(t *testing.T) {
	for _, status := range []string{"000", "099", "600"} {
		for name, rest := range map[string]string{"without a body": "\r\n", "with a body": sized + "\r\nbody", "in chunks": "Transfer-Encoding: chunked\r\n\r\n" + chunkedBody} {
			t.Run(status+", "+name, func(t *testing.T) { checkLate(t, "HTTP/1.1 "+status+" Any\r\nId: 41\r\n"+rest) })
		}
	}
}
