//go:build !race

package chiveforward_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"chivedrift/chiveforward"
	"chivedrift/chivestand"
)

// partedResponses are plain responses of which a part is passed on before the rest comes, each by its head and the number of its bytes.
var partedResponses = map[string]struct {
	head string
	size int
}{
	"over the buffer's size": {"HTTP/1.1 200 OK\r\nId: 42\r\nContent-Length: 3000000\r\n\r\n", 2_000_000},
	"without framing":        {"HTTP/1.1 200 OK\r\nId: 42\r\n\r\n", 2_000_000},
	"a stream":               {"HTTP/1.1 200 OK\r\nId: 42\r\nContent-Type: text/event-stream\r\nContent-Length: 3000000\r\n\r\n", 0},
}

// Guards against a response that is cut without an end since a part of it was passed on: the request came late in a stop, and others of
// its route were answered whole and at once.
func TestStoppingNodeAnswersLateRequestsWhoseResponseComesInParts(t *testing.T) {
	for name, parted := range partedResponses {
		for _, ends := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, ends in time: %v", name, ends), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					const left, rest = 1200 * time.Millisecond, "data: the rest\n\n"
					part := strings.Repeat("x", parted.size)
					if parted.size == 0 {
						part = "id: 1\ndata: a part\n\n"
					}
					head := strings.Replace(parted.head, "3000000", fmt.Sprint(len(part)+len(rest)), 1)
					pause := left / 4
					if !ends {
						pause = 2 * left
					}
					s, shutdown := newPartsFixture(t, chivestand.NewNetwork(), func(conn net.Conn) {
						write(conn, head+part)
						time.Sleep(pause)
						write(conn, rest)
						conn.Close()
					})
					cut := time.Now().Add(left)
					beginLate(shutdown, time.Now(), left)
					request := s.lastingRequest(0)
					request.Header.Set(partsField, "1")
					result, sink := s.run(request)
					if !time.Now().Before(cut) {
						t.Errorf("answered %v after the cut", time.Since(cut))
					}
					if ends && (result.Outcome != chiveforward.Completed || string(sink.body) != part+rest) {
						t.Errorf("got %+v, %d bytes", result, len(sink.body))
					}
					if !ends && (result.Started || result.Status != http.StatusBadGateway || result.Code != chiveforward.CodeStopping || sink.status != 0) {
						t.Errorf("got %+v, %d bytes", result, len(sink.body))
					}
					// The endpoint ends by then.
					time.Sleep(2 * pause)
				})
			})
		}
	}
}
