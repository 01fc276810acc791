package chiverelay_test

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"chivedrift/chivestand"
)

const (
	// uploadBytes is more than the buffers on the way hold.
	uploadBytes = 8 << 20
	// uploads is how often each way to end a connection is tried, since the order in which a peer's goroutines run decides.
	uploads = 40
)

// receiveDuringUpload uploads through a peer to an endpoint that reads a part, answers and ends its side, and returns what came back.
func receiveDuringUpload(t *testing.T, end func(far *net.TCPConn)) (received string, err error) {
	t.Helper()
	listener, err := chivestand.ListenDistant()
	if err != nil {
		t.Fatal(err)
	}
	e := startEndpointAt(t, listener)
	nodes := startNodes(t, e, 1, 2)
	conn, far := nodes[0].mustDial(t, e)
	go conn.Write(make([]byte, uploadBytes))
	go func() {
		if _, err := io.CopyN(io.Discard, far, 64<<10); err != nil {
			return
		}
		io.WriteString(far, "response")
		end(far.(*net.TCPConn))
	}()
	data, err := io.ReadAll(conn)
	return string(data), err
}

// Guards against an endpoint's reset during an upload that a peer passes on as an end in order.
func TestResetDuringAnUploadIsNoEndOfTheResponse(t *testing.T) {
	for name, end := range map[string]func(far *net.TCPConn){
		"reset": func(far *net.TCPConn) {
			far.SetLinger(0)
			far.Close()
		},
		"closed unread": func(far *net.TCPConn) {
			chivestand.AwaitUnread(far)
			far.Close()
		},
		"reset a little later": func(far *net.TCPConn) {
			time.Sleep(2 * time.Millisecond)
			far.SetLinger(0)
			far.Close()
		},
	} {
		t.Run(name, func(t *testing.T) {
			whole := 0
			for range uploads {
				if _, err := receiveDuringUpload(t, end); err == nil || errors.Is(err, io.EOF) {
					whole++
				}
			}
			if whole > 0 {
				t.Errorf("%d of %d ended in order", whole, uploads)
			}
		})
	}
}

// Guards against a whole response, whose endpoint ends its side in order during an upload, that a peer breaks off.
func TestEndDuringAnUploadIsAnEndOfTheResponse(t *testing.T) {
	for name, end := range map[string]func(far *net.TCPConn){
		"then reads": func(far *net.TCPConn) {
			far.CloseWrite()
			io.Copy(io.Discard, far)
		},
		"then reads nothing": func(far *net.TCPConn) {
			far.CloseWrite()
			time.Sleep(50 * time.Millisecond)
		},
	} {
		t.Run(name, func(t *testing.T) {
			broken := 0
			for range uploads {
				if received, err := receiveDuringUpload(t, end); err != nil || received != "response" {
					broken++
				}
			}
			if broken > 0 {
				t.Errorf("%d of %d were broken off", broken, uploads)
			}
		})
	}
}
