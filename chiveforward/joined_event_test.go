package chiveforward_test

import (
	"net"
	"net/http"
	"testing"

	"chivedrift/chiveforward"
	"chivedrift/chivetable"
)

// Guards against an event that is cut off and joined with the head of another response to a whole one.
func TestEventJoinedWithAHeadIsNoEvent(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: 41\r\nContent-Type: text/event-stream\r\n\r\n"
	for name, behind := range map[string]string{
		"in the data":       "id: 3\ndata: c" + head + "id: 8\ndata: x\n\nid: 9\ndata: y\n\n",
		"behind the data":   "id: 3\ndata: c\n" + head + "id: 8\ndata: x\n\n",
		"in the number":     "id: 3" + head + "id: 8\ndata: x\n\n",
		"behind the number": "id: 3\n" + head + "id: 8\ndata: x\n\n",
		"in a name":         "id: 3\nda" + head + "id: 8\ndata: x\n\n",
		"refusal":           "id: 3\ndata: cHTTP/1.1 503 Full\r\nId: 41\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			e := newEndpoint(t, func(conn net.Conn, _ *http.Request, _ string) {
				framings["connection"](conn, streamHeader, firstEvents+behind)
			})
			s := newFixture(t, chivetable.Route{Attempts: 1, Stream: true}, e.registration("one"))
			if result, c := s.run(s.request(http.MethodPost, "body")); result.Outcome != chiveforward.Unknown || string(c.body) != firstEvents {
				t.Errorf("got %+v, %q", result, c.body)
			}
		})
	}
}

// Guards against breaking a sound stream whose data contains a status line.
func TestDataMayHoldAStatusLine(t *testing.T) {
	const events = firstEvents + "weight-versions: 3\nevent: token\nid: 3\ndata: {\"text\": \"HTTP/1.1 200 OK\\r\\nId: 41\"}\n\nid: 4\ndata: HTTP/1.1 503 Full\ndata: Id: 41\n\n" +
		"weight-versions: 3\nid: 5\ndata: d\n\n"
	for framing, send := range framings {
		t.Run(framing, func(t *testing.T) {
			e := newEndpoint(t, func(conn net.Conn, _ *http.Request, _ string) { send(conn, streamHeader, events) })
			s := newFixture(t, chivetable.Route{Attempts: 1, Stream: true}, e.registration("one"))
			if result, c := s.run(s.request(http.MethodPost, "body")); result.Outcome != chiveforward.Completed || string(c.body) != events {
				t.Errorf("got %+v, %q", result, c.body)
			}
		})
	}
}
