package chiveforward_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"chivedrift/chiveforward"
	"chivedrift/chivestand"
	"chivedrift/chivetable"
)

const (
	// uploadBytes is more than the buffers of both ends of a connection hold.
	uploadBytes = 8 << 20
	// uploads is how often each way to end a connection is tried, since the order in which a node's goroutines run decides.
	uploads = 40
)

// newEarlyEndpoint returns an endpoint that reads a part of each request's body before it answers, which gets the rest to read.
func newEarlyEndpoint(t *testing.T, answer func(conn *net.TCPConn, rest io.Reader)) *endpoint {
	t.Helper()
	listener, err := chivestand.ListenDistant()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	e := &endpoint{listener: listener}
	go func() {
		for {
			conn, err := e.listener.Accept()
			if err != nil {
				return
			}
			go serveEarly(conn.(*net.TCPConn), answer)
		}
	}()
	return e
}

// serveEarly answers short requests, and one with a long body before it has read all of it.
func serveEarly(conn *net.TCPConn, answer func(conn *net.TCPConn, rest io.Reader)) {
	defer conn.Close()
	for reader := bufio.NewReader(conn); ; {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if request.ContentLength < uploadBytes {
			io.Copy(io.Discard, request.Body)
			echo(conn, request, "")
			continue
		}
		if _, err := io.CopyN(io.Discard, request.Body, 64<<10); err == nil {
			answer(conn, request.Body)
		}
		return
	}
}

// upload sends uploads one after another, each on a new connection or a kept one, and returns how many responses callers got as whole ones.
func upload(t *testing.T, e *endpoint, kept bool, check func(result chiveforward.Result, c *recordingSink)) (whole int) {
	t.Helper()
	s := newFixture(t, chivetable.Route{Attempts: 1}, e.registration("one"))
	content := strings.Repeat("b", uploadBytes)
	for range uploads {
		if kept {
			s.run(s.request(http.MethodPost, "short"))
		}
		result, c := s.run(s.request(http.MethodPost, content))
		check(result, c)
		if result.Outcome == chiveforward.Completed {
			whole++
		}
	}
	return whole
}

// Guards against a part of a response that callers get as a whole one since the endpoint reset its connection during the upload.
func TestResetDuringAnUploadIsNoEndOfResponse(t *testing.T) {
	for name, end := range map[string]func(conn *net.TCPConn){
		"reset": func(conn *net.TCPConn) { reset(conn) },
		"closed unread": func(conn *net.TCPConn) {
			chivestand.AwaitUnread(conn)
			conn.Close()
		},
		"reset a little later": func(conn *net.TCPConn) {
			time.Sleep(2 * time.Millisecond)
			reset(conn)
		},
	} {
		t.Run(name, func(t *testing.T) {
			var sent atomic.Int64
			e := newEarlyEndpoint(t, func(conn *net.TCPConn, _ io.Reader) {
				sent.Add(1)
				write(conn, plainHead+"\r\npart of a body")
				end(conn)
			})
			for _, kept := range []bool{false, true} {
				sent.Store(0)
				whole := upload(t, e, kept, func(chiveforward.Result, *recordingSink) {})
				if whole > 0 || sent.Load() == 0 {
					t.Errorf("kept %v: %d of %d parts were passed on as whole", kept, whole, sent.Load())
				}
			}
		})
	}
}

// Guards against whole responses that come early, end in order and are taken for broken ones.
func TestEndDuringAnUploadIsAnEndOfResponse(t *testing.T) {
	for name, end := range map[string]func(conn *net.TCPConn, rest io.Reader){
		"then reads": func(conn *net.TCPConn, rest io.Reader) {
			conn.CloseWrite()
			io.Copy(io.Discard, rest)
		},
		"then reads slowly": func(conn *net.TCPConn, rest io.Reader) {
			conn.CloseWrite()
			for buffer := make([]byte, 256<<10); ; time.Sleep(time.Millisecond) {
				if _, err := rest.Read(buffer); err != nil {
					return
				}
			}
		},
		"then reads nothing": func(conn *net.TCPConn, _ io.Reader) {
			conn.CloseWrite()
			time.Sleep(50 * time.Millisecond)
		},
	} {
		t.Run(name, func(t *testing.T) {
			e := newEarlyEndpoint(t, func(conn *net.TCPConn, rest io.Reader) {
				write(conn, plainHead+"\r\na whole body")
				end(conn, rest)
			})
			broken := 0
			upload(t, e, false, func(result chiveforward.Result, c *recordingSink) {
				if result.Outcome != chiveforward.Completed || string(c.body) != "a whole body" || !c.endsWithConnection {
					broken++
					t.Logf("%+v, body %q, ends with the connection %v", result, c.body, c.endsWithConnection)
				}
			})
			if broken > 0 {
				t.Errorf("%d of %d whole responses were not passed on", broken, uploads)
			}
		})
	}
}
