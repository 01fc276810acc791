package chiveforward_test

import (
	"net"
	"net/http"
	"testing"
	"time"

	"chivedrift/chiveforward"
)

// Guards against a broken line that arrives by itself, right behind the status line, is dropped, and whose head callers get as a response.
func TestBrokenHeadInPiecesIsNoResponse(t *testing.T) {
	for name, line := range map[string]string{"blank in a name": "X-Trace : 1\r\n", "second status line": "HTTP/1.1 429 Too Many Requests\r\n", "folded line": " x\r\n", "control byte": "X-\x01Trace: 1\r\n"} {
		t.Run(name, func(t *testing.T) {
			e := newEndpoint(t, func(conn net.Conn, _ *http.Request, _ string) {
				for _, piece := range []string{"HTTP/1.1 200 OK\r\n", line, "Id: 42\r\n" + sized + "\r\nbody"} {
					write(conn, piece)
					time.Sleep(20 * time.Millisecond)
				}
				conn.Close()
			})
			s := newFixture(t, routeKinds["once"], e.registration("one"))
			if result, c := s.run(s.request(http.MethodPost, "body")); result.Outcome != chiveforward.Unknown || c.status != 0 || len(c.body) > 0 {
				t.Errorf("got %s, status %d, body %q", result.Outcome, c.status, c.body)
			}
		})
	}
}
