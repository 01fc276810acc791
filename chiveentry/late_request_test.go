package chiveentry_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"chivedrift/chiveentry"
	"chivedrift/chivewire"
)

// lateBodies are the requests, by the form of their body, whose rest comes late in a stop.
var lateBodies = map[string]string{
	"length":   "POST /body HTTP/1.1\r\nHost: a.example\r\nId: 3\r\nWait: 4s\r\nContent-Length: 5\r\n\r\n12",
	"chunked":  "POST /body HTTP/1.1\r\nHost: a.example\r\nId: 3\r\nWait: 4s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n12\r\n",
	"expect":   "POST /body HTTP/1.1\r\nHost: a.example\r\nId: 3\r\nWait: 4s\r\nExpect: 100-continue\r\nContent-Length: 5\r\n\r\n",
	"HTTP/1.0": "POST /body HTTP/1.0\r\nHost: a.example\r\nId: 3\r\nWait: 4s\r\nContent-Length: 5\r\n\r\n12",
}

// Guards against a request whose body comes late in a stop: the node would cut the request that it began, or close the connection
// without an answer.
func TestStopAnswersRequestsWithLateBodies(t *testing.T) {
	for name, head := range lateBodies {
		for _, before := range []bool{true, false} {
			t.Run(name+map[bool]string{true: " before the stop", false: " during the stop"}[before], func(t *testing.T) {
				t.Parallel()
				stopWithLateBody(t, chivewire.TCP{}, head, before, 800*time.Millisecond)
			})
		}
	}
}

// stopWithLateBody checks that a stop refuses a request whose body does not come, and ends its connection in order. The request arrives
// before the stop or during it.
func stopWithLateBody(t *testing.T, network chivewire.Network, head string, before bool, untilCut time.Duration) {
	t.Helper()
	forwarder := &fakeForwarder{}
	e, address, _ := startLoggingEntry(t, network, forwarder)
	conn, err := network.Dial(t.Context(), "", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	cut := time.Now().Add(untilCut)
	stopped := make(chan error, 1)
	stop := func() {
		ctx, cancel := context.WithDeadline(t.Context(), cut)
		defer cancel()
		stopped <- e.Stop(ctx)
	}
	if before {
		io.WriteString(conn, head)
		for e.InFlight() == 0 {
			time.Sleep(time.Millisecond)
		}
		go stop()
	} else {
		e.Leave(cut)
		io.WriteString(conn, head)
	}
	checkRefusedBeforeCut(t, conn, cut)
	if !before {
		go stop()
	}
	if err := <-stopped; err != nil {
		t.Error(err)
	}
	if counts := e.StopCounts(); counts != (chiveentry.StopCounts{Refused: 1}) {
		t.Errorf("counted %+v", counts)
	}
	forwarder.mu.Lock()
	defer forwarder.mu.Unlock()
	if len(forwarder.requests) > 0 {
		t.Errorf("%d requests were forwarded", len(forwarder.requests))
	}
}

// checkRefusedBeforeCut checks that a stopping node refuses a request as a whole, as not run.
func checkRefusedBeforeCut(t *testing.T, conn net.Conn, cut time.Time) {
	t.Helper()
	conn.SetReadDeadline(time.Now().Add(3 * time.Second))
	response, err := readFinal(bufio.NewReader(conn))
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	body, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Retry-After") == "" || !response.Close || len(body) == 0 {
		t.Errorf("got %v %v %q, %v", response.Status, response.Header, body, err)
	}
	if time.Now().After(cut) {
		t.Errorf("answered %v after the cut", time.Since(cut))
	}
}

// readFinal returns the first response that is not an interim one.
func readFinal(reader *bufio.Reader) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(reader, nil)
		if err != nil || response.StatusCode >= http.StatusOK {
			return response, err
		}
	}
}

// Guards against a stop that refuses requests whose deadline comes before the cut, in whatever form they come.
func TestStopServesRequestsThatEndBeforeTheCut(t *testing.T) {
	for name, parts := range map[string][2]string{
		"length":   {"POST /body HTTP/1.1\r\nHost: a.example\r\nId: 3\r\nWait: 400ms\r\nContent-Length: 5\r\n\r\n12", "345"},
		"chunked":  {"POST /body HTTP/1.1\r\nHost: a.example\r\nId: 3\r\nWait: 400ms\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n12\r\n", "3\r\n345\r\n0\r\n\r\n"},
		"expect":   {"POST /body HTTP/1.1\r\nHost: a.example\r\nId: 3\r\nWait: 400ms\r\nExpect: 100-continue\r\nContent-Length: 5\r\n\r\n", "12345"},
		"HTTP/1.0": {"POST /body HTTP/1.0\r\nHost: a.example\r\nId: 3\r\nWait: 400ms\r\nContent-Length: 5\r\n\r\n12", "345"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			forwarder := &fakeForwarder{}
			e, address, _ := startLoggingEntry(t, chivewire.TCP{}, forwarder)
			conn, err := net.Dial("tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			cut := time.Now().Add(1500 * time.Millisecond)
			e.Leave(cut)
			io.WriteString(conn, parts[0])
			for e.InFlight() == 0 && time.Now().Before(cut) {
				time.Sleep(time.Millisecond)
			}
			ctx, cancel := context.WithDeadline(t.Context(), cut)
			defer cancel()
			stopped := make(chan error, 1)
			go func() { stopped <- e.Stop(ctx) }()
			time.Sleep(200 * time.Millisecond)
			io.WriteString(conn, parts[1])
			conn.SetReadDeadline(time.Now().Add(3 * time.Second))
			response, err := readFinal(bufio.NewReader(conn))
			if err != nil || response.StatusCode != http.StatusOK || !response.Close {
				t.Fatalf("got %+v, %v", response, err)
			}
			if err := <-stopped; err != nil {
				t.Error(err)
			}
			forwarder.mu.Lock()
			defer forwarder.mu.Unlock()
			if len(forwarder.requests) != 1 || string(forwarder.requests[0].Body) != "12345" {
				t.Errorf("got %+v", forwarder.requests)
			}
		})
	}
}
