package chiveforward_test

import (
	"net"
	"net/http"
	"strings"
	"testing"

	"chivedrift/chiveforward"
	"chivedrift/chivetable"
)

// Guards against a stream that begins again behind its first part, since that has no position from which it could go on.
func TestStreamWithoutPositionIsNotResumed(t *testing.T) {
	for name, began := range map[string]string{
		"no IDs":                         "data: a\n\ndata: b\n\n",
		"no ID behind one":               "id: 1\ndata: a\n\ndata: b\n\n",
		"IDs that are no numbers":        "id: x-1\ndata: a\n\nid: x-2\ndata: b\n\n",
		"an ID that is no number":        "id: 1\ndata: a\n\nid: 2a\ndata: b\n\n",
		"an ID that is too long":         "id: 99999999999999999999\ndata: a\n\n",
		"an empty ID":                    "id: 1\ndata: a\n\nid\ndata: b\n\n",
		"lines that end with CR":         "id: 1\rdata: a\n\n",
		"an event without data or an ID": "id: 1\ndata: a\n\nevent: b\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			r := &resumption{t: t, began: began, answer: func(conn net.Conn, _ *http.Request) { framings["chunks"](conn, streamHeader, began+lastEvent) }}
			if result, c, sent := r.run(3); result.Outcome != chiveforward.Unknown || string(c.body) != began || sent != 1 {
				t.Errorf("got %+v, %q after %d requests", result, c.body, sent)
			}
		})
	}
}

// Guards against events that are joined with those of another attempt although they need not follow them.
func TestEventsThatDoNotFollowAreNotJoined(t *testing.T) {
	for name, rest := range map[string]string{
		"without an ID":                   "data: c\n\n" + lastEvent,
		"only one, without an ID":         "data: c\n\n",
		"an ID that is no number":         "id: 3a\ndata: c\n\n",
		"overlapping events":              "id: 1\ndata: a\n\nid: 3\ndata: bc\n\n",
		"a replay that goes back":         "id: 2\ndata: b\n\nid: 1\ndata: a\n\n" + lastEvent,
		"a replay with an event twice":    "id: 2\ndata: b\n\nid: 2\ndata: b\n\n" + lastEvent,
		"a replay with one without an ID": "id: 1\ndata: a\n\ndata: b\n\n" + lastEvent,
		"lines that end with CR":          "id: 1\rdata: a\r\rid: 2\rdata: b\r\rid: 3\rdata: c\r\r",
		"only CR":                         "id: 3\rdata: c\r\r",
		"text":                            "no stream\n\n" + lastEvent,
		"JSON":                            "{\"error\": 1}\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			checkNotJoined(t, "", func(conn net.Conn, _ *http.Request) { framings["length"](conn, streamHeader, rest) })
		})
	}
}

// Guards against an event that comes twice, or before an earlier one, in a stream whose events have increasing IDs.
func TestEventsThatGoBackBreakTheAttempt(t *testing.T) {
	for name, back := range map[string]string{
		"again": "id: 2\ndata: b\n\n", "back": "id: 1\ndata: a\n\n", "again with leading zeros": "id: 002\ndata: b\n\n",
	} {
		for framing, send := range framings {
			t.Run(name+", "+framing, func(t *testing.T) {
				answer := func(conn net.Conn, request *http.Request, _ string) {
					if request.Header.Get("After") == "2" {
						send(conn, streamHeader, lastEvent)
						return
					}
					send(conn, streamHeader, firstEvents+back+lastEvent)
				}
				e := newEndpoint(t, answer)
				for attempts, want := range map[int]string{1: firstEvents, 2: firstEvents + lastEvent} {
					s := newFixture(t, chivetable.Route{Attempts: attempts, Stream: true, Repeat: chivetable.RepeatResume}, e.registration("one"), e.registration("two"))
					result, c := s.run(s.request(http.MethodPost, "body"))
					if (result.Outcome == chiveforward.Completed) != (attempts == 2) || string(c.body) != want {
						t.Errorf("%d attempts: got %+v, %q", attempts, result, c.body)
					}
				}
			})
		}
	}
}

// Guards against bytes behind a stream that ends with its connection, which the caller gets as a part of it.
func TestBytesBehindAStreamAreNotPartOfIt(t *testing.T) {
	const foreign = "Id: 41\r\nContent-Type: text/event-stream\r\n"
	for name, behind := range map[string]string{
		"stream":           "HTTP/1.1 200 OK\r\n" + foreign + "\r\nid: 8\ndata: x\n\nid: 9\ndata: y\n\n",
		"chunked stream":   "HTTP/1.1 200 OK\r\n" + foreign + "Transfer-Encoding: chunked\r\n\r\n10\r\nid: 8\ndata: x\n\n\r\n0\r\n\r\n",
		"refusal":          "HTTP/1.1 503 Full\r\nId: 41\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"earlier stream":   "id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
		"bytes":            "\x00\x01\x02\r\n\r\n",
		"words":            "late\r\n\r\n",
		"event without ID": "data: x\n\n",
		"without an end":   "late",
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

// check runs the streams and checks whether they are complete, what the caller gets, and behind which event they go on.
func (r *resumption) check(completes bool, want, after string) {
	r.t.Helper()
	result, sink, sent := r.run(2)
	outcome := chiveforward.Unknown
	if completes {
		outcome = chiveforward.Completed
	}
	if result.Outcome != outcome || !result.Started || sink.endsWithConnection != r.unframed || string(sink.body) != want || sent != 2 || r.after != after {
		r.t.Errorf("began without chunks %v: got %+v, %q after %d requests, the second one behind %q", r.unframed, result, sink.body, sent, r.after)
	}
}

// Guards against sound streams that break off, or lose an event, because of their IDs and lines.
func TestSoundStreamsGoOn(t *testing.T) {
	for name, c := range map[string]struct {
		began, rest, want string
		// after is where the stream is to go on; "2" if it is empty.
		after string
	}{
		"next event":                     {rest: lastEvent},
		"several tokens in an event":     {rest: "id: 7\ndata: cdefg\n\n"},
		"last event once more":           {rest: "id: 2\ndata: b\n\n" + lastEvent, want: lastEvent},
		"from the beginning":             {rest: firstEvents + lastEvent, want: lastEvent},
		"leading zeros":                  {rest: "id: 003\ndata: c\n\n"},
		"no space":                       {rest: "id:3\ndata:c\n\n"},
		"nothing left":                   {rest: ""},
		"comments":                       {rest: ": hello\n\n" + lastEvent + ": bye\n\n"},
		"comments only":                  {rest: ": bye\n\n"},
		"time to reconnect":              {rest: "retry: 100\n\n" + lastEvent},
		"version of the weights":         {rest: "weight-versions: 3\n" + lastEvent},
		"name of the event":              {rest: "event: token\n" + lastEvent},
		"field without a value":          {rest: "id: 3\ndata\n\n"},
		"CRLF":                           {rest: "id: 3\r\ndata: c\r\n\r\n"},
		"several lines of data":          {rest: "id: 3\ndata: c\ndata: d e {f}: /g\n\n"},
		"further event without an ID":    {rest: lastEvent + "data: [DONE]\n\n"},
		"comment behind the first part":  {began: firstEvents + ": on\n\n", rest: lastEvent},
		"comment before the first event": {began: ": hello\n\n", rest: firstEvents, after: "-"},
		"event without an ID before one": {began: "data: hello\n\n" + firstEvents, rest: lastEvent},
	} {
		for framing, send := range framings {
			if name == "further event without an ID" && framing == "connection" {
				continue
			}
			t.Run(name+", "+framing, func(t *testing.T) {
				began, want, after := c.began, c.want, strings.TrimPrefix(c.after, "-")
				if began == "" {
					began = firstEvents
				}
				if want == "" {
					want = c.rest
				}
				if c.after == "" {
					after = "2"
				}
				for _, unframed := range []bool{false, true} {
					r := &resumption{t: t, began: c.began, unframed: unframed, answer: func(conn net.Conn, _ *http.Request) { send(conn, streamHeader, c.rest) }}
					// A caller that was promised a last chunk gets none for the end of a connection.
					r.check(framing != "connection" || unframed, began+want, after)
				}
			})
		}
	}
}
