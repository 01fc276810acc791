package chiveforward_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"chivedrift/chiveforward"
	"chivedrift/chivetable"
)

// Guards against a request that fails, or gets another one's answer, because late responses came before its own in pieces of
// any size.
func TestOwnResponseIsFoundBehindLateOnes(t *testing.T) {
	const (
		withLength = "HTTP/1.1 200 OK\r\nId: 41\r\nContent-Length: 5\r\n\r\nlater"
		refusal    = "HTTP/1.1 503 Full\r\nId: 41\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
		chunked    = "HTTP/1.1 200 OK\r\nId: 41\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nlat\r\n2\r\ner\r\n0\r\n\r\n"
		empty      = "HTTP/1.1 204 None\r\nId: 41\r\n\r\n"
		interim    = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
		own        = "HTTP/1.1 200 OK\r\nId: 42\r\nContent-Length: 3\r\n\r\nown"
	)
	for name, late := range map[string]string{
		"length": withLength, "refusal": refusal, "chunks": chunked, "empty": empty, "several": withLength + refusal + chunked + empty + withLength,
		"interim": interim + withLength, "interim before each": interim + refusal + interim + interim + chunked + interim,
		"long": strings.Replace(withLength, "5\r\n\r\nlater", "9000\r\n\r\n"+strings.Repeat("l", 9000), 1),
	} {
		t.Run(name, func(t *testing.T) {
			responses := late + own
			cut := 0
			e := newEndpoint(t, func(conn net.Conn, request *http.Request, body string) {
				if request.Header.Get("Id") == "41" {
					echo(conn, request, body)
					return
				}
				write(conn, responses[:cut])
				time.Sleep(200 * time.Microsecond)
				write(conn, responses[cut:])
			})
			s := newFixture(t, chivetable.Route{Attempts: 1}, e.registration("one"))
			for cut = 1; cut < len(responses); cut += 1 + len(responses)/200 {
				first := s.request(http.MethodPost, "first")
				first.ID = "41"
				s.run(first)
				result, c := s.run(s.request(http.MethodPost, "second"))
				if result.Outcome != chiveforward.Completed || string(c.body) != "own" || c.header.Get("Id") != "42" {
					t.Fatalf("cut at %d: got %+v, forwarded %d %q", cut, result, c.status, c.body)
				}
			}
			if e.connections() != 1 {
				t.Errorf("%d connections, want 1", e.connections())
			}
		})
	}
}

// Guards against requests that wait until their deadline behind a late response whose end cannot be determined.
func TestResponseBehindLateOneWithoutEndBreaksTheAttempt(t *testing.T) {
	const own = "HTTP/1.1 200 OK\r\nId: 42\r\nContent-Length: 3\r\n\r\nown"
	for name, late := range map[string]string{
		"body up to the end of the connection": "HTTP/1.1 200 OK\r\nId: 41\r\n\r\nlater",
		"behind an interim response":           "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nId: 41\r\n\r\nlater",
		"head that is cut off":                 "HTTP/1.1 200 OK\r\nId: 41",
		"head that is cut off behind its ID":   "HTTP/1.1 200 OK\r\nId: 41\r\nServer: e",
	} {
		t.Run(name, func(t *testing.T) {
			e := newEndpoint(t, func(conn net.Conn, request *http.Request, body string) {
				if request.Header.Get("Id") == "41" {
					echo(conn, request, body)
					return
				}
				write(conn, late+own)
			})
			s := newFixture(t, chivetable.Route{Attempts: 1}, e.registration("one"))
			first := s.request(http.MethodPost, "first")
			first.ID = "41"
			s.run(first)
			start := time.Now()
			result, _ := s.run(s.request(http.MethodPost, "second"))
			if took := time.Since(start); result.Outcome != chiveforward.Unknown || result.Status != http.StatusBadGateway || took > time.Second {
				t.Errorf("got %+v after %v", result, took)
			}
		})
	}
}

// Guards against waiting for a response behind one that names no request, which may be the only one.
func TestResponseWithoutIDOnReusedConnectionBreaksTheAttempt(t *testing.T) {
	e := newEndpoint(t, func(conn net.Conn, request *http.Request, body string) {
		if request.Header.Get("Id") == "41" {
			echo(conn, request, body)
			return
		}
		write(conn, "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
	})
	s := newFixture(t, chivetable.Route{Attempts: 1}, e.registration("one"))
	first := s.request(http.MethodPost, "first")
	first.ID = "41"
	s.run(first)
	start := time.Now()
	result, _ := s.run(s.request(http.MethodPost, "second"))
	if took := time.Since(start); result.Outcome != chiveforward.Unknown || result.Status != http.StatusBadGateway || took > time.Second {
		t.Errorf("got %s after %v", fmt.Sprintf("%+v", result), took)
	}
}

// Guards against a request that runs twice, or counts as not run, since a copy of its own refusal came again with its next attempt,
// which went to another process at the same address.
func TestCopyOfARefusalOfTheSameRequestProvesNothing(t *testing.T) {
	for name, refusal := range map[string]string{
		"refusal":     "HTTP/1.1 503 Full\r\nId: 42\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"misdirected": "HTTP/1.1 421 Gone\r\nId: 42\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			var attempts, runs atomic.Int64
			e := newEndpoint(t, func(conn net.Conn, request *http.Request, body string) {
				write(conn, refusal)
				if attempts.Add(1) > 1 {
					runs.Add(1)
					echo(conn, request, body)
				}
			})
			s := newFixture(t, chivetable.Route{Attempts: 3}, e.registration("before"), e.registration("after"), e.registration("later"))
			result, _ := s.run(s.request(http.MethodPost, "body"))
			if runs.Load() > 1 || result.Outcome == chiveforward.NotRun && runs.Load() > 0 {
				t.Errorf("got %+v after %d runs", result, runs.Load())
			}
		})
	}
}
