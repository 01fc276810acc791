package chiveentry_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"chivedrift/chivetable"
)

// waitForClose waits until the other end closes a connection and returns the time that took.
func waitForClose(t *testing.T, conn net.Conn, limit time.Duration) time.Duration {
	t.Helper()
	start := time.Now()
	conn.SetReadDeadline(start.Add(limit))
	if _, err := io.Copy(io.Discard, conn); err != nil {
		t.Fatalf("connection not closed within %v: %v", limit, err)
	}
	return time.Since(start)
}

// Guards against connections that stay open, idle or with an incomplete header, beyond the configured limits.
func TestClosesConnectionsPastTimeouts(t *testing.T) {
	forwarder := &fakeForwarder{}
	e, address := startEntry(t, forwarder)
	table, err := chivetable.New(chivetable.Spec{
		Routes: []chivetable.Route{{Name: "all", Host: "a.example", Prefix: "/", Shares: []chivetable.Share{{Pool: "p", Weight: 1}}, Attempts: 1}},
		Pools:  []chivetable.Pool{{Name: "p"}},
		Limits: chivetable.Limits{HeaderTime: 600 * time.Millisecond, IdleTime: 1500 * time.Millisecond},
	})
	if err != nil {
		t.Fatal(err)
	}
	e.SetTable(table)
	slow, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer slow.Close()
	idle, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer idle.Close()
	reader := bufio.NewReader(idle)
	response, err := sendGet(t, idle, reader, "/one")
	if err != nil || response.StatusCode != http.StatusOK {
		t.Fatalf("%v, %v", response, err)
	}
	io.WriteString(slow, "GET /slow HTTP/1.1\r\nHost: a.ex")
	headerTimeout := waitForClose(t, slow, 4*time.Second)
	idleTimeout := headerTimeout + waitForClose(t, idle, 4*time.Second)
	if headerTimeout < 500*time.Millisecond || idleTimeout < 1400*time.Millisecond {
		t.Errorf("a connection with an incomplete header was closed after %v, an idle one after %v", headerTimeout, idleTimeout)
	}
}
