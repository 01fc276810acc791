package chiveforward_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"chivedrift/chiveforward"
	"chivedrift/chivetable"
)

// Guards against an event, head or refusal that comes without end and keeps its attempt, or a refused one from being tried elsewhere.
func TestSlowResponseWithoutEndIsBrokenOff(t *testing.T) {
	const most = 2 * time.Second
	for name, c := range map[string]struct {
		start, piece string
		refused      bool
	}{
		"head":            {start: "HTTP/1.1 200 OK\r\nId: 42\r\n", piece: "A: b\r\n"},
		"status line":     {start: "HTTP/1.1 200 ", piece: "x"},
		"event":           {start: streamHeader + "\r\n", piece: "data: a\n"},
		"line of event":   {start: streamHeader + "\r\ndata: ", piece: "a"},
		"chunk of event":  {start: streamHeader + "Transfer-Encoding: chunked\r\n\r\n6\r\ndata: \r\n4;", piece: "a"},
		"refusal":         {start: "HTTP/1.1 503 Full\r\nId: 42\r\nNot-Run: 1\r\n\r\n", piece: "a", refused: true},
		"refusal's chunk": {start: "HTTP/1.1 503 Full\r\nId: 42\r\nNot-Run: 1\r\nTransfer-Encoding: chunked\r\n\r\n4;", piece: "a", refused: true},
	} {
		for _, pause := range []time.Duration{20 * time.Millisecond, 300 * time.Millisecond} {
			t.Run(fmt.Sprintf("%s, every %v", name, pause), func(t *testing.T) {
				t.Parallel()
				closed := make(chan time.Duration, 1)
				endless := newEndpoint(t, func(conn net.Conn, _ *http.Request, _ string) {
					began := time.Now()
					write(conn, c.start)
					for {
						if _, err := conn.Write([]byte(c.piece)); err != nil {
							closed <- time.Since(began)
							return
						}
						time.Sleep(pause)
					}
				})
				s := newFixture(t, chivetable.Route{Attempts: 1, Stream: true}, endless.registration("endless"))
				request := s.request(http.MethodPost, "body")
				request.Deadline = request.Arrival.Add(10 * time.Second)
				result, _ := s.run(request)
				took := time.Since(request.Arrival)
				if want := map[bool]chiveforward.Outcome{false: chiveforward.Unknown, true: chiveforward.NotRun}[c.refused]; result.Outcome != want {
					t.Errorf("got %+v", result)
				}
				if took > most || c.refused && took > 500*time.Millisecond {
					t.Errorf("the attempt took %v", took)
				}
				select {
				case open := <-closed:
					if open > most+2*pause {
						t.Errorf("the connection was open for %v", open)
					}
				case <-time.After(2 * most):
					t.Error("the connection is still open")
				}
			})
		}
	}
}

// Guards against breaking off a sound endpoint that falls silent for a second inside its head or an event, or that sends a large
// event over a slow link.
func TestPauseInsideHeadOrEventIsNoEndlessResponse(t *testing.T) {
	large := "data: " + strings.Repeat("x", 40_000) + "\n\n"
	for name, pieces := range map[string][]string{
		"head":  {"HTTP/1.1 200 OK\r\nId: 4", "2\r\nContent-Type: text/event-stream\r\nContent-Length: 9\r\n\r\ndata: a\n\n"},
		"event": {streamHeader + "\r\ndata", ": a\n", "\n"},
		"large": append([]string{streamHeader + "\r\n"}, large[:10_000], large[10_000:20_000], large[20_000:30_000], large[30_000:]),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := newEndpoint(t, func(conn net.Conn, _ *http.Request, _ string) {
				for i, p := range pieces {
					write(conn, p)
					time.Sleep(100 * time.Millisecond)
					if i == 0 {
						time.Sleep(1200 * time.Millisecond)
					}
				}
				conn.Close()
			})
			s := newFixture(t, chivetable.Route{Attempts: 1, Stream: true}, e.registration("one"))
			result, c := s.run(s.request(http.MethodPost, "body"))
			if result.Outcome != chiveforward.Completed || !strings.HasSuffix(string(c.body), "\n\n") {
				t.Errorf("got %+v, %d bytes", result, len(c.body))
			}
		})
	}
}

// Guards against a connection that is reused although a response on it was not read to its end.
func TestConnectionWithUnreadResponseIsNotReused(t *testing.T) {
	first := true
	e := newEndpoint(t, func(conn net.Conn, request *http.Request, body string) {
		if !first {
			echo(conn, request, body)
			return
		}
		first = false
		write(conn, "HTTP/1.1 503 Full\r\nId: 42\r\nNot-Run: 1\r\nContent-Length: 2000000\r\n\r\n")
		go write(conn, strings.Repeat("full", 500_000))
	})
	s := newFixture(t, chivetable.Route{Attempts: 1}, e.registration("one"))
	s.run(s.request(http.MethodPost, "body"))
	time.Sleep(200 * time.Millisecond)
	result, _ := s.run(s.request(http.MethodPost, "body"))
	if result.Outcome != chiveforward.Completed || e.connections() != 2 {
		t.Errorf("got %+v over %d connections, want 2", result, e.connections())
	}
}
