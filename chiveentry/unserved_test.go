package chiveentry_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"chivedrift/chiveentry"
	"chivedrift/chiveevent"
	"chivedrift/chiveforward"
	"chivedrift/chiverequest"
	"chivedrift/chivewire"
)

const (
	// streamRequest begins the stream of startStream, nextRequest is sent behind it.
	streamRequest = "POST /stream HTTP/1.1\r\nHost: a.example\r\nId: 7\r\nContent-Length: 2\r\n\r\nhi"
	nextRequest   = "POST /next HTTP/1.1\r\nHost: a.example\r\nId: 8\r\nContent-Length: 2\r\n\r\nhi"
)

// startStream starts an entry whose request 7 gets a stream that ends as release says: true for a whole one.
func startStream(t *testing.T) (e *chiveentry.Entry, address string, logged *lockedBuffer, release chan bool) {
	t.Helper()
	release = make(chan bool)
	forwarder := &fakeForwarder{run: func(_ context.Context, request *chiverequest.Request, sink chiveforward.Sink) chiveforward.Result {
		sink.Start(http.StatusOK, http.Header{})
		_ = sink.Write([]byte("event"), true)
		result := chiveforward.Result{Outcome: chiveforward.Completed, Started: true, Status: http.StatusOK}
		if request.ID == "7" && !<-release {
			result.Outcome, result.Code = chiveforward.Unknown, "deadline_passed"
		}
		return result
	}}
	e, address, logged = startLoggingEntry(t, chivewire.TCP{}, forwarder)
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		e.Stop(ctx)
	})
	return e, address, logged, release
}

// sendBehind sends a stream request and, once it is being served, what is given behind it.
func sendBehind(t *testing.T, e *chiveentry.Entry, address, behind string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	io.WriteString(conn, streamRequest)
	for e.InFlight() == 0 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(50 * time.Millisecond)
	io.WriteString(conn, behind)
	time.Sleep(50 * time.Millisecond)
	return conn
}

// Guards against a connection that is closed with another request on it without a line that says so, and why.
func TestUnservedRequestsAreLogged(t *testing.T) {
	for closing, end := range map[string]func(e *chiveentry.Entry, release chan bool){
		"broken_off": func(_ *chiveentry.Entry, release chan bool) { release <- false },
		"cut": func(e *chiveentry.Entry, release chan bool) {
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			e.Stop(ctx)
			release <- false
		},
	} {
		t.Run(closing, func(t *testing.T) {
			e, address, logged, release := startStream(t)
			conn := sendBehind(t, e, address, nextRequest)
			end(e, release)
			conn.SetReadDeadline(time.Now().Add(time.Second))
			io.Copy(io.Discard, conn)
			lines := logged.lines(t, chiveevent.RequestUnserved)
			if len(lines) != 1 || lines[0]["request"] != "7" || lines[0]["closing"] != closing || lines[0]["waiting"] != true || lines[0]["read"] != false {
				t.Errorf("got %v", lines)
			}
		})
	}
}

// Guards against lines on connections that are closed with nothing behind the last request.
func TestClosedConnectionsWithoutAnotherRequestAreNotLogged(t *testing.T) {
	e, address, logged, release := startStream(t)
	conn := sendBehind(t, e, address, "")
	release <- false
	io.Copy(io.Discard, conn)
	if lines := logged.lines(t, chiveevent.RequestUnserved); len(lines) > 0 {
		t.Errorf("got %v", lines)
	}
}

// Guards against a request that a stopping node does not answer since the response before it announces the end of the connection.
func TestStopAnnouncesTheEndInTheLastResponseOfSeveral(t *testing.T) {
	const (
		tooLate = "POST /late HTTP/1.1\r\nHost: a.example\r\nId: 9\r\nWait: 9s\r\nContent-Length: 2\r\n\r\nhi"
		soon    = "POST /next HTTP/1.1\r\nHost: a.example\r\nId: 8\r\nWait: 50ms\r\nContent-Length: 2\r\n\r\nhi"
		chunked = "POST /next HTTP/1.1\r\nHost: a.example\r\nId: 8\r\nWait: 50ms\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n"
		large   = "POST /late HTTP/1.1\r\nHost: a.example\r\nId: 9\r\nWait: 50ms\r\nContent-Length: 3000\r\n\r\n"
	)
	for name, c := range map[string]struct {
		requests []string
		statuses []int
	}{
		"served":              {[]string{soon, soon, soon}, []int{200, 200, 200}},
		"in chunks":           {[]string{chunked, chunked, soon}, []int{200, 200, 200}},
		"refused between":     {[]string{soon, tooLate, soon}, []int{200, 503, 200}},
		"refused last":        {[]string{soon, tooLate, tooLate}, []int{200, 503, 503}},
		"refused first":       {[]string{tooLate, soon}, []int{503, 200}},
		"refused at its size": {[]string{soon, large + strings.Repeat("x", 3000)}, []int{200, 413}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e, address, _ := startLoggingEntry(t, chivewire.TCP{}, &fakeForwarder{})
			cut := time.Now().Add(2 * time.Second)
			e.Leave(cut)
			conn, err := net.Dial("tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			io.WriteString(conn, strings.Join(c.requests, ""))
			conn.SetReadDeadline(cut)
			reader := bufio.NewReader(conn)
			for i, status := range c.statuses {
				response, err := http.ReadResponse(reader, nil)
				if err != nil {
					t.Fatalf("response %d: %v", i, err)
				}
				io.Copy(io.Discard, response.Body)
				if isLast := i == len(c.statuses)-1; response.StatusCode != status || response.Close != isLast {
					t.Errorf("response %d: %s, announces the end: %v", i, response.Status, response.Close)
				}
			}
			conn.Close()
			ctx, cancel := context.WithDeadline(t.Context(), cut)
			defer cancel()
			if err := e.Stop(ctx); err != nil {
				t.Error(err)
			}
		})
	}
}
