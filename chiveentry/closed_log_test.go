package chiveentry_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"chivedrift/chiveentry"
	"chivedrift/chiveevent"
	"chivedrift/chivetable"
)

// Guards against connections that the node closes without a line that says so, and why, and against lines of those that callers close.
func TestConnectionsClosedByTheNodeAreLogged(t *testing.T) {
	const idleTime = 700 * time.Millisecond
	table, err := chivetable.New(chivetable.Spec{
		Routes: []chivetable.Route{{Name: "all", Host: "a.example", Prefix: "/", Shares: []chivetable.Share{{Pool: "p", Weight: 1}}, Attempts: 1}},
		Pools:  []chivetable.Pool{{Name: "p"}}, Limits: chivetable.Limits{IdleTime: idleTime},
	})
	if err != nil {
		t.Fatal(err)
	}
	for closing, end := range map[string]func(e *chiveentry.Entry, release chan bool, conn net.Conn){
		"broken_off": func(_ *chiveentry.Entry, release chan bool, _ net.Conn) { release <- false },
		"timed_out":  func(_ *chiveentry.Entry, release chan bool, _ net.Conn) { release <- true },
		"unused": func(e *chiveentry.Entry, release chan bool, _ net.Conn) {
			release <- true
			time.Sleep(100 * time.Millisecond)
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			e.Stop(ctx)
		},
		"": func(_ *chiveentry.Entry, release chan bool, conn net.Conn) {
			release <- true
			time.Sleep(100 * time.Millisecond)
			conn.Close()
		},
	} {
		t.Run(closing, func(t *testing.T) {
			e, address, logged, release := startStream(t)
			e.SetTable(table)
			conn := sendBehind(t, e, address, "")
			end(e, release, conn)
			conn.SetReadDeadline(time.Now().Add(2 * time.Second))
			io.Copy(io.Discard, bufio.NewReader(conn))
			time.Sleep(50 * time.Millisecond)
			got := ""
			for _, line := range logged.lines(t, chiveevent.ConnClosed) {
				got += fmt.Sprint(line["closing"], " after ", line["requests"])
			}
			want := ""
			if closing != "" {
				want = closing + " after 1"
			}
			if got != want {
				t.Errorf("got %q, want %q", got, want)
			}
		})
	}
}
