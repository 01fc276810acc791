package chiveforward_test

import (
	"bytes"
	"io"
	"log"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"chivedrift/chiveevent"
	"chivedrift/chiveforward"
	"chivedrift/chivetable"
)

// lockedBuffer is a buffer that goroutines share.
type lockedBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *lockedBuffer) Write(data []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(data)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// captureStandardLog has the standard logger write to an output until the test ends.
func captureStandardLog(t *testing.T, output io.Writer) {
	t.Helper()
	before := log.Writer()
	log.SetOutput(output)
	t.Cleanup(func() { log.SetOutput(before) })
}

// Guards against responses at idle of which lines without a limit, or their content, are logged. One that net/http has read together
// with the response before is a line of a library.
func TestUnsolicitedResponsesAreCountedAndNotPrinted(t *testing.T) {
	const secret = "content-of-a-response"
	var logged lockedBuffer
	logger := slog.New(slog.NewJSONHandler(&logged, nil))
	captureStandardLog(t, chiveevent.NewLibraryLog(logger))
	e := newEndpoint(t, func(conn net.Conn, request *http.Request, body string) {
		echo(conn, request, body)
		time.Sleep(20 * time.Millisecond)
		echo(conn, request, secret)
	})
	s := newFixtureWithOptions(t, func(o *chiveforward.Options) { o.Logger = logger }, chivetable.Route{Attempts: 1}, e.registration("one"))
	const requests = 40
	for i := range requests {
		request := s.request(http.MethodPost, "body")
		request.ID = strconv.Itoa(i)
		if result, c := s.run(request); result.Outcome != chiveforward.Completed || string(c.body) != "body" {
			t.Fatalf("got %+v, %q", result, c.body)
		}
		time.Sleep(30 * time.Millisecond)
	}
	if n := s.forwarder.ResponseCounts().Unsolicited; n < requests*3/4 {
		t.Errorf("%d connections with unsolicited bytes, want about %d", n, requests)
	}
	for start := time.Now(); !strings.Contains(logged.String(), `"event":414`); time.Sleep(10 * time.Millisecond) {
		if time.Since(start) > 3*time.Second {
			t.Fatal("no line of event 414")
		}
	}
	if text := logged.String(); strings.Contains(text, secret) || strings.Count(text, `"event":414`) != 1 || strings.Count(text, `"event":111`) > 1 || !strings.Contains(text, `"endpoint":"one","connections":`) {
		t.Errorf("logged %s", text)
	}
}

// Guards against a request that fails, or is believed to be refused, since unsolicited bytes come on its connection just before its
// first byte is written.
func TestRequestMeetsUnsolicitedBytes(t *testing.T) {
	for name, stray := range map[string]string{
		"refusal":  "HTTP/1.1 503 Full\r\nId: 42\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"another":  "HTTP/1.1 200 OK\r\nId: 41\r\nContent-Length: 0\r\n\r\n",
		"unnamed":  "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		"one byte": "H",
	} {
		t.Run(name, func(t *testing.T) {
			var printed lockedBuffer
			captureStandardLog(t, &printed)
			first := make(chan net.Conn, 1)
			e := newEndpoint(t, func(conn net.Conn, request *http.Request, body string) {
				echo(conn, request, body)
				select {
				case first <- conn:
				default:
				}
			})
			var s *fixture
			asked := 0
			s = newFixtureWithOptions(t, askBefore(func() bool {
				if asked++; asked != 2 {
					return true
				}
				write(<-first, stray)
				for start := time.Now(); s.forwarder.ResponseCounts().Unsolicited == 0 && time.Since(start) < time.Second; {
					time.Sleep(time.Millisecond)
				}
				return true
			}), chivetable.Route{Attempts: 1}, e.registration("one"))
			for _, id := range []string{"41", "42"} {
				request := s.request(http.MethodPost, "body "+id)
				request.ID = id
				result, c := s.run(request)
				if result.Outcome != chiveforward.Completed || string(c.body) != "body "+id || len(result.Tries) != 1 {
					t.Fatalf("request %s: got %+v, %q", id, result, c.body)
				}
			}
			if e.requests() != 2 || e.connections() != 2 || printed.String() != "" {
				t.Errorf("%d requests on %d connections, printed %q", e.requests(), e.connections(), printed.String())
			}
		})
	}
}

// Guards against an endpoint whose unsolicited bytes are read, or kept, without end.
func TestEndlessUnsolicitedBytesEndTheConnection(t *testing.T) {
	var printed lockedBuffer
	captureStandardLog(t, &printed)
	ended := make(chan struct{}, 1)
	e := newEndpoint(t, func(conn net.Conn, request *http.Request, body string) {
		echo(conn, request, body)
		time.Sleep(5 * time.Millisecond)
		for {
			if _, err := conn.Write(make([]byte, 4096)); err != nil {
				ended <- struct{}{}
				return
			}
		}
	})
	s := newFixture(t, chivetable.Route{Attempts: 1}, e.registration("one"))
	s.run(s.request(http.MethodPost, "body"))
	select {
	case <-ended:
	case <-time.After(2 * time.Second):
		t.Error("the endpoint still sends")
	}
	if text := printed.String(); text != "" {
		t.Errorf("printed past the log: %q", text)
	}
}
