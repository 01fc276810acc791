package chiveforward_test

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"chivedrift/chiveduration"
	"chivedrift/chiveforward"
	"chivedrift/chiverequest"
	"chivedrift/chivetable"
	"chivedrift/chivewire"
)

const (
	// lateGrace is how long the stops of these tests last until the cut, lateAfter how long after the signal a request comes that no
	// rule excuses.
	lateGrace, lateAfter = 7600 * time.Millisecond, 3300 * time.Millisecond
	// usualTime is how long the streams that are known have lasted.
	usualTime = 400 * time.Millisecond
)

// beginLate begins a shutdown lateAfter before now.
func beginLate(s *chiveforward.Shutdown, now time.Time, left time.Duration) {
	s.Begin(now.Add(-lateAfter), now.Add(left))
}

// Guards against a stream that is begun late in a stop by how long others have lasted, and cut since it lasts longer than all of them.
func TestStoppingNodeBeginsNoLateStreamThatMayOutlastTheStop(t *testing.T) {
	for _, repeat := range []chivetable.Repetition{chivetable.RepeatNever, chivetable.RepeatResume} {
		for _, known := range []int{4, 128} {
			t.Run(fmt.Sprintf("%v, %d known", repeat, known), func(t *testing.T) {
				route, shutdown, now := &chivetable.Route{Name: "r", Repeat: repeat}, chiveforward.NewShutdown(), time.Now()
				request := &chiverequest.Request{Route: route, Pool: "p", Deadline: now.Add(time.Minute)}
				for range known {
					shutdown.Record(request, chiveduration.Ran{Took: usualTime, Events: 8, Streamed: true})
				}
				beginLate(shutdown, now, lateGrace-lateAfter)
				if shutdown.MayBegin(now, request, 0) {
					t.Errorf("a stream may begin %v after the signal although its limit is behind the cut", lateAfter)
				}
				request.Deadline = now.Add(lateGrace - lateAfter - time.Second)
				if !shutdown.MayBegin(now, request, 0) {
					t.Error("a stream whose limit is before the cut may not begin")
				}
			})
		}
	}
}

// partsField is the header of requests whose response comes in parts.
const partsField = "Parts"

// newPartsFixture returns a fixture whose endpoint has answered some requests whole and at once, and answers those with partsField by a
// function.
func newPartsFixture(t *testing.T, network chivewire.Network, answer func(conn net.Conn)) (*fixture, *chiveforward.Shutdown) {
	t.Helper()
	const known = 8
	listener, err := network.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := newEndpointAt(t, listener, func(conn net.Conn, request *http.Request, body string) {
		if request.Header.Get(partsField) == "" {
			echo(conn, request, body)
			return
		}
		answer(conn)
	})
	shutdown := chiveforward.NewShutdown()
	s := newFixtureWithOptions(t, func(o *chiveforward.Options) { o.Network, o.Shutdown = network, shutdown }, chivetable.Route{Attempts: 1, Target: 4 * time.Second}, e.registration("one"))
	for range known {
		if result, _ := s.run(s.lastingRequest(0)); result.Outcome != chiveforward.Completed {
			t.Fatalf("before the stop: %+v", result)
		}
	}
	return s, shutdown
}

// Guards against a stopping node whose memory a late response fills, and against one that passes on a part of it.
func TestStoppingNodeHoldsLateResponsesWithinItsMemory(t *testing.T) {
	// most is what is held and what stands in the buffers of the connection.
	const left, size, most = 1500 * time.Millisecond, 64 << 20, 36 << 20
	var sent atomic.Int64
	s, shutdown := newPartsFixture(t, chivewire.TCP{}, func(conn net.Conn) {
		write(conn, fmt.Sprintf("HTTP/1.1 200 OK\r\nId: 42\r\nContent-Length: %d\r\n\r\n", size))
		part := make([]byte, 64<<10)
		for sent.Load() < size {
			n, err := conn.Write(part)
			if err != nil {
				return
			}
			sent.Add(int64(n))
		}
	})
	beginLate(shutdown, time.Now(), left)
	request := s.lastingRequest(0)
	request.Header.Set(partsField, "1")
	if result, sink := s.run(request); result.Started || result.Status != http.StatusBadGateway || sink.status != 0 || sent.Load() > most {
		t.Errorf("got %+v after %d bytes", result, sent.Load())
	}
	request = s.lastingRequest(0)
	if result, _ := s.run(request); result.Outcome != chiveforward.Completed {
		t.Errorf("the next request: %+v", result)
	}
}
