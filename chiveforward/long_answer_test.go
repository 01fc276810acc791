package chiveforward_test

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"chivedrift/chiveforward"
	"chivedrift/chivetable"
)

// answerSlowly returns an endpoint's answer of as many bytes as it is given, in pieces over some time.
func answerSlowly(bytes, pieces int, over time.Duration) func(conn net.Conn, request *http.Request, body string) {
	return func(conn net.Conn, request *http.Request, _ string) {
		write(conn, "HTTP/1.1 200 OK\r\nId: "+request.Header.Get("Id")+"\r\nBy: "+request.Header.Get("Meant")+"\r\nContent-Length: "+strconv.Itoa(bytes)+"\r\n\r\n")
		for range pieces {
			time.Sleep(over / time.Duration(pieces))
			write(conn, strings.Repeat(request.Header.Get("Meant")[:1], bytes/pieces))
		}
	}
}

// Guards against an answer of a slow, sound endpoint that is cut off while it arrives, and continued with another one's.
func TestSlowAnswerIsNotCutOff(t *testing.T) {
	for _, bytes := range []int{100_000, 1_000_000, 3_000_000} {
		t.Run(fmt.Sprint(bytes), func(t *testing.T) {
			slow := newEndpoint(t, answerSlowly(bytes, 20, 1200*time.Millisecond))
			s := newFixture(t, chivetable.Route{Attempts: 2, Repeat: chivetable.RepeatAlways, Target: 100 * time.Millisecond}, slow.registration("a"), slow.registration("b"))
			result, c := s.run(s.request(http.MethodGet, ""))
			want := strings.Repeat(c.header.Get("By"), bytes)
			if result.Outcome != chiveforward.Completed || slow.requests() != 1 || string(c.body) != want {
				t.Errorf("got %+v, %d bytes after %d requests", result, len(c.body), slow.requests())
			}
		})
	}
}

// Guards against an answer that breaks off after a part of it was passed on, and is continued with another endpoint's.
func TestAnswerThatBreaksOffIsNotContinued(t *testing.T) {
	for _, repeat := range []chivetable.Repetition{chivetable.RepeatNever, chivetable.RepeatAlways, chivetable.RepeatResume} {
		for _, silent := range []bool{false, true} {
			t.Run(fmt.Sprintf("%v, silent %v", repeat, silent), func(t *testing.T) {
				passedOn := make(chan struct{})
				broken := newEndpoint(t, func(conn net.Conn, request *http.Request, body string) {
					write(conn, "HTTP/1.1 200 OK\r\nId: "+request.Header.Get("Id")+"\r\nContent-Length: 3000000\r\n\r\n"+strings.Repeat("x", 2_000_000))
					<-passedOn
					if silent {
						time.Sleep(2 * time.Second)
					}
					reset(conn)
				})
				s := newFixture(t, chivetable.Route{Attempts: 2, Repeat: repeat, Target: 100 * time.Millisecond}, broken.registration("a"), broken.registration("b"))
				c := &startedSink{started: passedOn}
				result := s.forwarder.Run(t.Context(), s.request(http.MethodGet, ""), c)
				if result.Outcome != chiveforward.Unknown || !result.Started || broken.requests() != 1 || len(c.body) > 2_000_000 {
					t.Errorf("got %+v, %d bytes after %d requests", result, len(c.body), broken.requests())
				}
			})
		}
	}
}

// startedSink is a recordingSink that states when the first part of a response is passed on.
type startedSink struct {
	recordingSink
	started chan struct{}
}

func (c *startedSink) Start(status int, header http.Header) {
	c.recordingSink.Start(status, header)
	close(c.started)
}

// Guards against a request that waits for the rest of an answer whose endpoint has fallen silent, although another one could
// still answer it.
func TestAnswerThatFallsSilentIsRetriedBeforeItIsPassedOn(t *testing.T) {
	silent := newEndpoint(t, func(conn net.Conn, request *http.Request, body string) {
		if request.Header.Get("Meant") == "sound" {
			echo(conn, request, body)
			return
		}
		write(conn, "HTTP/1.1 200 OK\r\nId: 42\r\nContent-Length: 3000\r\n\r\npart")
		time.Sleep(3 * time.Second)
	})
	s := newFixture(t, chivetable.Route{Attempts: 2, Repeat: chivetable.RepeatAlways, Target: 100 * time.Millisecond}, silent.registration("sound"), silent.registration("silent"))
	for range 6 {
		request := s.request(http.MethodPost, "body")
		if result, c := s.run(request); result.Outcome != chiveforward.Completed || string(c.body) != "body" || time.Since(request.Arrival) > time.Second {
			t.Errorf("got %+v, %q after %v", result, c.body, time.Since(request.Arrival))
		}
	}
}
