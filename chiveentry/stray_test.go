package chiveentry_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"chivedrift/chiveforward"
	"chivedrift/chiverequest"
)

// Guards against bytes behind a request that are no request yet, as a line end behind a body, for which a stop waits until its end while
// the caller is not asked to close the connection.
func TestBytesThatAreNoRequestDoNotHoldAStop(t *testing.T) {
	const grace, bound = 6 * time.Second, 3 * time.Second
	for name, behind := range map[string]string{"line end": "\r\n", "part of a head": "GET /x HTT"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			begun, release := make(chan struct{}), make(chan struct{})
			e, address := startEntry(t, &fakeForwarder{run: func(_ context.Context, _ *chiverequest.Request, sink chiveforward.Sink) chiveforward.Result {
				close(begun)
				<-release
				sink.Start(http.StatusOK, http.Header{"Content-Length": {"2"}})
				_ = sink.Write([]byte("ok"), false)
				return chiveforward.Result{Outcome: chiveforward.Completed, Started: true, Status: http.StatusOK}
			}})
			conn, err := net.Dial("tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			io.WriteString(conn, "POST /x HTTP/1.1\r\nHost: a.example\r\nId: 1\r\nContent-Length: 2\r\n\r\nxx"+behind)
			<-begun
			began, stopped := time.Now(), make(chan error, 1)
			go func() {
				ctx, cancel := context.WithTimeout(context.Background(), grace)
				defer cancel()
				stopped <- e.Stop(ctx)
			}()
			time.Sleep(50 * time.Millisecond)
			close(release)
			conn.SetReadDeadline(time.Now().Add(grace))
			if response, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil || !response.Close {
				t.Errorf("got %+v, %v; want an announced end", response, err)
			}
			if err := <-stopped; err != nil || time.Since(began) > bound {
				t.Errorf("the stop took %v, %v", time.Since(began), err)
			}
		})
	}
}
