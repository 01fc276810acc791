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

// Guards against requests that wait until their deadline because their response is read as the body of a late one.
func TestOwnResponseIsNoBodyOfALateOne(t *testing.T) {
	const own = "HTTP/1.1 200 OK\r\nId: 42\r\nContent-Length: 3\r\n\r\nown"
	for name, late := range map[string]string{
		"to HEAD": "HTTP/1.1 200 OK\r\nId: 41\r\nContent-Length: 5000\r\n\r\n",
		"cut off": "HTTP/1.1 200 OK\r\nId: 41\r\nContent-Length: 500\r\n\r\nlat",
	} {
		t.Run(name, func(t *testing.T) {
			var cut atomic.Int64
			e := newEndpoint(t, func(conn net.Conn, request *http.Request, body string) {
				if request.Header.Get("Id") == "41" {
					echo(conn, request, body)
					return
				}
				at := cut.Load()
				write(conn, late+own[:at])
				time.Sleep(time.Millisecond)
				write(conn, own[at:])
			})
			s := newFixture(t, chivetable.Route{Attempts: 1}, e.registration("one"))
			for ; cut.Load() < int64(len("HTTP/1.1 200 OK")); cut.Add(1) {
				first := s.request(http.MethodPost, "first")
				first.ID = "41"
				s.run(first)
				start := time.Now()
				result, _ := s.run(s.request(http.MethodPost, "second"))
				if took := time.Since(start); result.Outcome != chiveforward.Unknown || result.Status != http.StatusBadGateway || took > time.Second {
					t.Fatalf("cut at %d: got %+v after %v", cut.Load(), result, took)
				}
			}
		})
	}
}
