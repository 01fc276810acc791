package chivecaller_test

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"chivedrift/chivecaller"
	"chivedrift/chivestand"
	"chivedrift/chivewire"
)

// Guards against a connection that is closed at its limit although the rest of its request has arrived, which a process that was not
// scheduled had no time to read.
func TestTimeoutsSpareConnectionsWithUnreadBytes(t *testing.T) {
	const first, rest = "GET / HTTP/1.1\r\nHo", "st: a.example\r\n\r\n"
	for name, sent := range map[string]string{"for a first request": "", "for the rest of a header": first} {
		t.Run(name, func(t *testing.T) {
			conns, now := chivecaller.NewConns(), time.Now()
			conns.SetLimits(now, time.Second, time.Second)
			address := chivestand.FreeAddress()
			listener, err := conns.On(chivewire.TCP{}).Listen(address)
			if err != nil {
				t.Fatal(err)
			}
			defer listener.Close()
			caller, err := net.Dial("tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			defer caller.Close()
			conn, err := listener.Accept()
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			conns.ConnState(conn, http.StateNew)
			conns.ConnContext(t.Context(), conn)
			got := ""
			if sent != "" {
				sendText(t, caller, sent)
				got = readSome(t, conn)
			}
			sendText(t, caller, (first + rest)[len(sent):])
			time.Sleep(settleTime)
			conns.CloseTimedOut(now.Add(time.Minute))
			got += readSome(t, conn)
			if got != first+rest {
				t.Errorf("read %q", got)
			}
		})
	}
}

func sendText(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
}

// readSome returns what has come on a connection.
func readSome(t *testing.T, conn net.Conn) string {
	t.Helper()
	buffer := make([]byte, 1024)
	n, err := conn.Read(buffer)
	if err != nil {
		t.Errorf("read: %v", err)
	}
	return string(buffer[:n])
}
