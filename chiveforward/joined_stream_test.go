package chiveforward_test

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"chivedrift/chiveforward"
	"chivedrift/chiverequest"
	"chivedrift/chivetable"
)

const (
	firstEvents = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	lastEvent   = "id: 3\ndata: c\n\n"
)

// resumption is how two streams that broke off go on: at an endpoint that answers as a test has it, and at a sound one behind it.
type resumption struct {
	t *testing.T
	// began is what the endpoint that breaks off sends; firstEvents if it is empty.
	began string
	// unframed means that it ends only with its connection; otherwise it has chunks.
	unframed bool
	// answer answers the first resumed attempt.
	answer func(conn net.Conn, request *http.Request)
	// after is what the first resumed attempt asked for.
	after string
}

// run runs a request of as many attempts, and returns its result, what its caller got, and how often it was sent.
func (r *resumption) run(attempts int) (chiveforward.Result, *recordingSink, int) {
	r.t.Helper()
	began := r.began
	if began == "" {
		began = firstEvents
	}
	var sent atomic.Int64
	e := newEndpoint(r.t, func(conn net.Conn, request *http.Request, _ string) {
		switch sent.Add(1) {
		case 1:
			if r.unframed {
				write(conn, streamHeader+"Connection: close\r\n\r\n"+began)
			} else {
				write(conn, streamHeader+"Transfer-Encoding: chunked\r\n\r\n"+chunk(began))
			}
			time.Sleep(20 * time.Millisecond)
			reset(conn)
		case 2:
			r.after = request.Header.Get("After")
			r.answer(conn, request)
		default:
			framings["chunks"](conn, streamHeader, lastEvent)
		}
	})
	s := newFixture(r.t, chivetable.Route{Attempts: attempts, Stream: true, Repeat: chivetable.RepeatResume}, e.registration("one"), e.registration("two"), e.registration("three"))
	request := s.request(http.MethodPost, "body")
	request.Deadline = request.Arrival.Add(time.Second)
	result, c := s.run(request)
	return result, c, int(sent.Load())
}

// checkNotJoined checks that nothing of the answer to a resumed attempt reaches the caller: without a further attempt the
// response breaks off, and with one it goes on at another endpoint.
func checkNotJoined(t *testing.T, began string, answer func(conn net.Conn, request *http.Request)) {
	t.Helper()
	r := &resumption{t: t, began: began, answer: answer}
	if result, c, _ := r.run(2); result.Outcome != chiveforward.Unknown || string(c.body) != firstEvents {
		t.Errorf("two attempts: got %+v, %q", result, c.body)
	}
	if result, c, _ := r.run(3); result.Outcome != chiveforward.Completed || string(c.body) != firstEvents+lastEvent || c.status != http.StatusOK {
		t.Errorf("three attempts: got %+v, %d %q", result, c.status, c.body)
	}
}

// Guards against a stream that is ended, or joined with another body, by a response that is no stream of events, to the attempt that
// should have gone on with it.
func TestOnlyAStreamGoesOnWithAStream(t *testing.T) {
	for _, status := range []string{
		"200 OK", "201 Created", "204 No Content", "206 Partial Content", "304 Not Modified", "307 Temporary Redirect", "400 Bad Request", "401 Unauthorized",
		"404 Not Found", "408 Request Timeout", "413 Too Large", "429 Too Many Requests", "500 Internal Server Error", "503 Service Unavailable", "504 Gateway Timeout",
	} {
		for _, contentType := range []string{"", "text/plain", "application/json", "text/event-stream"} {
			if contentType == "text/event-stream" && strings.HasPrefix(status, "2") && status != "204 No Content" {
				continue
			}
			for _, body := range []string{"", "short", strings.Repeat("long ", 1<<19)} {
				hasNoBody := strings.HasPrefix(status, "204") || strings.HasPrefix(status, "304")
				if hasNoBody && body != "" || contentType != "" && len(body) > 1<<10 {
					continue
				}
				t.Run(status+", "+contentType+", "+body[:min(len(body), 5)], func(t *testing.T) {
					checkNotJoined(t, "", func(conn net.Conn, _ *http.Request) {
						head := "HTTP/1.1 " + status + "\r\nId: 42\r\nContent-Type: " + contentType + "\r\n"
						if hasNoBody {
							write(conn, head+"\r\n")
							return
						}
						framings["length"](conn, head, body)
					})
				})
			}
		}
	}
}

// Guards against a stream that is joined with the rest of another encoding.
func TestEncodedStreamDoesNotGoOnWithAPlainOne(t *testing.T) {
	checkNotJoined(t, "", func(conn net.Conn, _ *http.Request) {
		framings["chunks"](conn, streamHeader+"Content-Encoding: gzip\r\n", lastEvent)
	})
}

// modelStream records the events of a model's response, which has no event that marks its end.
type modelStream struct{ data []byte }

func (m *modelStream) Event(data []byte, _ string, _ bool) (ended bool, err error) {
	m.data = append(m.data, data...)
	return false, nil
}

func (m *modelStream) Whole() bool { return false }

// Guards against a model's response that is joined with a body, or ends as complete with it, after a part of it was delivered.
func TestBodyDoesNotGoOnWithAModelsResponse(t *testing.T) {
	for _, status := range []string{"200 OK", "204 No Content", "400 Bad Request", "500 Internal Server Error"} {
		t.Run(status, func(t *testing.T) {
			e := newEndpoint(t, func(conn net.Conn, request *http.Request, _ string) {
				if request.Header.Get("Meant") == "one" {
					write(conn, streamHeader+"Transfer-Encoding: chunked\r\n\r\n"+chunk("data: a\n\n"))
					time.Sleep(20 * time.Millisecond)
					reset(conn)
					return
				}
				head := "HTTP/1.1 " + status + "\r\nId: 42\r\n"
				if strings.HasPrefix(status, "204") {
					write(conn, head+"\r\n")
					return
				}
				framings["length"](conn, head, "body")
			})
			s := newFixtureWithOptions(t, func(o *chiveforward.Options) {
				o.Rules, o.Places = chiveforward.Rules{Refusals: 3}, placesInTurn{o.Places}
			}, chivetable.Route{Attempts: 2, Repeat: chivetable.RepeatResume}, e.registration("one"), e.registration("two"))
			request, delivered := s.request(http.MethodPost, "body"), &modelStream{}
			request.Stream = delivered
			result, c := s.run(request)
			if result.Outcome != chiveforward.Unknown || c.status != 0 || len(c.body) > 0 || string(delivered.data) != "data: a\n\n" || e.requests() != 2 {
				t.Errorf("got %+v, %d %q, %q after %d requests", result, c.status, c.body, delivered.data, e.requests())
			}
		})
	}
}

// placesInTurn gives a request endpoint "one" first.
type placesInTurn struct{ chiveforward.Places }

func (p placesInTurn) Take(ctx context.Context, request *chiverequest.Request, exclude []string) (chiveforward.Place, error) {
	if len(exclude) == 0 {
		exclude = []string{"two"}
	}
	return p.Places.Take(ctx, request, exclude)
}

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
