package chiveforward_test

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"chivedrift/chiveforward"
	"chivedrift/chivetable"
)

const firstEvents = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"

// Guards against more attempts than a route allows, after an endpoint's error to one that should have gone on with a stream.
func TestErrorsOfResumedAttemptsCountAsAttempts(t *testing.T) {
	for _, retryErrors := range []bool{false, true} {
		var sent atomic.Int64
		e := newEndpoint(t, func(conn net.Conn, _ *http.Request, _ string) {
			if sent.Add(1) == 1 {
				write(conn, streamHeader+"Transfer-Encoding: chunked\r\n\r\n"+chunk(firstEvents))
				time.Sleep(20 * time.Millisecond)
				reset(conn)
				return
			}
			framings["length"](conn, "HTTP/1.1 500 Oops\r\nId: 42\r\n", "oops")
		})
		s := newFixtureWithOptions(t, func(o *chiveforward.Options) { o.Rules.RetryErrors = retryErrors },
			chivetable.Route{Attempts: 3, Stream: true, Repeat: chivetable.RepeatResume}, e.registration("one"), e.registration("two"), e.registration("three"), e.registration("four"))
		result, c := s.run(s.request(http.MethodPost, "body"))
		if result.Outcome != chiveforward.Unknown || string(c.body) != firstEvents || e.requests() != 3 {
			t.Errorf("errors are retried %v: got %+v, %q after %d requests", retryErrors, result, c.body, e.requests())
		}
	}
}
