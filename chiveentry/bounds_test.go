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

// closedWithin returns after how long the other end closed a connection.
func closedWithin(t *testing.T, conn net.Conn, most time.Duration) time.Duration {
	t.Helper()
	began := time.Now()
	conn.SetReadDeadline(began.Add(most))
	if _, err := io.Copy(io.Discard, conn); err != nil {
		t.Fatalf("not closed within %v: %v", most, err)
	}
	return time.Since(began)
}

// Guards against idle and half-sent connections that outlive the configured limits.
func TestConnectionsThatWaitTooLongAreClosed(t *testing.T) {
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
	from := bufio.NewReader(idle)
	response, err := ask(t, idle, from, "/one")
	if err != nil || response.StatusCode != http.StatusOK {
		t.Fatalf("%v, %v", response, err)
	}
	io.WriteString(slow, "GET /slow HTTP/1.1\r\nHost: a.ex")
	header := closedWithin(t, slow, 4*time.Second)
	waited := header + closedWithin(t, idle, 4*time.Second)
	if header < 500*time.Millisecond || waited < 1400*time.Millisecond {
		t.Errorf("half a header was given %v, an idle connection %v", header, waited)
	}
}
