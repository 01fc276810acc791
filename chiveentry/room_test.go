package chiveentry_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"chivedrift/chiveforward"
	"chivedrift/chiverequest"
)

const (
	roomConnections = 4
	roomWait        = 10 * time.Second
)

// mustServeOnNew checks that a request on a new connection is answered soon.
func mustServeOnNew(t *testing.T, address string) {
	t.Helper()
	for start := time.Now(); ; time.Sleep(50 * time.Millisecond) {
		conn := dialEntry(t, address)
		io.WriteString(conn, bodyHead("Content-Length: 0\r\n"))
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		conn.Close()
		if err == nil && response.StatusCode == http.StatusOK {
			return
		}
		if time.Since(start) > roomWait {
			t.Fatalf("on a new connection: %v", err)
		}
	}
}

// Guards against heads that keep others from being accepted, and against one that is closed without a response.
func TestStalledHeadsMakeRoom(t *testing.T) {
	_, _, address := startBounded(t, roomConnections)
	read := make(chan error, roomConnections)
	for range roomConnections {
		conn := dialEntry(t, address)
		io.WriteString(conn, "POST /x HTTP/1.1\r\nHost: ")
		go func() { read <- readNoMemory(conn) }()
	}
	time.Sleep(200 * time.Millisecond)
	mustServeOnNew(t, address)
	if err := <-read; err != nil {
		t.Errorf("the head that made room: %v", err)
	}
}

// Guards against callers that keep others from being accepted with running requests, behind which they send on.
func TestConnectionsWithManyBytesBehindMakeRoom(t *testing.T) {
	forwarder, _, address := startBounded(t, roomConnections)
	const quiet = 1
	var conns []net.Conn
	forwarder.run = func(ctx context.Context, request *chiverequest.Request, sink chiveforward.Sink) chiveforward.Result {
		if request.Target == "/long" {
			select {
			case <-ctx.Done():
			case <-time.After(2 * roomWait):
			}
		}
		sink.Start(http.StatusOK, http.Header{})
		return chiveforward.Result{Outcome: chiveforward.Completed, Started: true, Status: http.StatusOK}
	}
	for i := range roomConnections {
		conn := dialEntry(t, address)
		io.WriteString(conn, "POST /long HTTP/1.1\r\nHost: a.example\r\nContent-Length: 0\r\n\r\n")
		if i >= quiet {
			go io.WriteString(conn, strings.Repeat("a", 1<<20))
		}
		conns = append(conns, conn)
	}
	time.Sleep(200 * time.Millisecond)
	mustServeOnNew(t, address)
	conns[0].SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	var timeout net.Error
	if n, err := conns[0].Read(make([]byte, 1)); n > 0 || !errors.As(err, &timeout) || !timeout.Timeout() {
		t.Errorf("a running request with nothing behind it: %d bytes, %v", n, err)
	}
}
