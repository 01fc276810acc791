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

// Guards against connections that a lower limit closes although it came into force while their callers relied on a higher one.
func TestWaitingConnectionsKeepTheirLimits(t *testing.T) {
	const low, high, callersWait = 300 * time.Millisecond, 4 * time.Second, 2 * time.Second
	e, address := startEntry(t, &fakeForwarder{})
	setLimit := func(limit time.Duration) {
		table, err := chivetable.New(chivetable.Spec{
			Routes: []chivetable.Route{{Name: "all", Host: "a.example", Prefix: "/", Shares: []chivetable.Share{{Pool: "p", Weight: 1}}, Attempts: 1}},
			Pools:  []chivetable.Pool{{Name: "p"}}, Limits: chivetable.Limits{HeaderTime: limit, IdleTime: limit},
		})
		if err != nil {
			t.Fatal(err)
		}
		e.SetTable(table)
	}
	setLimit(high)
	var conns []net.Conn
	var readers []*bufio.Reader
	for range 3 {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		reader := bufio.NewReader(conn)
		if response, err := sendGet(t, conn, reader, "/one"); err != nil || response.StatusCode != http.StatusOK {
			t.Fatalf("%v, %v", response, err)
		}
		conns, readers = append(conns, conn), append(readers, reader)
	}
	// The first connection is idle, the second waits for the rest of a header; the third begins to wait under the low limit.
	head, rest := "GET /two HTTP/1.1\r\nHost: a.ex", "ample\r\n\r\n"
	io.WriteString(conns[1], head)
	time.Sleep(50 * time.Millisecond)
	setLimit(low)
	if response, err := sendGet(t, conns[2], readers[2], "/two"); err != nil || response.StatusCode != http.StatusOK {
		t.Fatalf("%v, %v", response, err)
	}
	time.Sleep(callersWait)
	if response, err := sendGet(t, conns[0], readers[0], "/two"); err != nil || response.StatusCode != http.StatusOK {
		t.Errorf("on the idle connection: %v, %v", response, err)
	}
	io.WriteString(conns[1], rest)
	conns[1].SetReadDeadline(time.Now().Add(2 * time.Second))
	if response, err := http.ReadResponse(readers[1], nil); err != nil || response.StatusCode != http.StatusOK {
		t.Errorf("to the header in two parts: %v, %v", response, err)
	}
	conns[2].SetReadDeadline(time.Now().Add(2 * time.Second))
	if _, err := readers[2].ReadByte(); err != io.EOF {
		t.Errorf("the connection under the low limit: %v", err)
	}
}
