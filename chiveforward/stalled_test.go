package chiveforward_test

import (
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"testing"
	"time"

	"chivedrift/chiveforward"
	"chivedrift/chivetable"
)

// standStill makes the process of the tests stand still for a time.
func standStill(t *testing.T, lasts time.Duration) {
	t.Helper()
	pid := strconv.Itoa(os.Getpid())
	seconds := strconv.FormatFloat(lasts.Seconds(), 'f', 3, 64)
	if err := exec.Command("sh", "-c", "kill -STOP "+pid+"; sleep "+seconds+"; kill -CONT "+pid).Run(); err != nil {
		t.Error(err)
	}
}

// Guards against attempts at sound endpoints that are given up, and streams that are cut, since the process was not scheduled for longer than
// an endpoint may be silent.
func TestStalledNodeGivesUpNoSoundEndpoint(t *testing.T) {
	const pieces, piece, pause, silence, lasts = 20, "data: piece\n\n", 50 * time.Millisecond, 600 * time.Millisecond, 900 * time.Millisecond
	for name, test := range map[string]struct {
		kind  string
		route chivetable.Route
		limit time.Duration
	}{
		"response that may be repeated":       {"text/plain", chivetable.Route{Attempts: 2, Repeat: chivetable.RepeatAlways, Target: silence / 2}, 0},
		"response with the operator's limit":  {"text/plain", chivetable.Route{Attempts: 2}, silence},
		"stream that runs once, with a limit": {"text/event-stream", chivetable.Route{Attempts: 2}, silence},
	} {
		t.Run(name, func(t *testing.T) {
			began := make(chan struct{}, 2)
			e := newEndpoint(t, func(conn net.Conn, request *http.Request, _ string) {
				write(conn, "HTTP/1.1 200 OK\r\nId: "+request.Header.Get("Id")+"\r\nContent-Type: "+test.kind+"\r\nContent-Length: "+strconv.Itoa(pieces*len(piece))+"\r\n\r\n")
				began <- struct{}{}
				for range pieces {
					time.Sleep(pause)
					write(conn, piece)
				}
			})
			s := newFixture(t, test.route, e.registration("a"), e.registration("b"))
			go func() {
				<-began
				time.Sleep(pieces / 4 * pause)
				standStill(t, lasts)
			}()
			request := s.request(http.MethodGet, "")
			request.Silence = test.limit
			result, c := s.run(request)
			if result.Outcome != chiveforward.Completed || e.requests() != 1 || string(c.body) != strings.Repeat(piece, pieces) {
				t.Errorf("got %+v, %d bytes after %d requests", result, len(c.body), e.requests())
			}
		})
	}
}
