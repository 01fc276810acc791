package chiveentry_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"chivedrift/chiveforward"
	"chivedrift/chiverequest"
)

// rawResponse sends a request and returns the response, byte for byte, with the error that ended it.
func rawResponse(t *testing.T, address, protocol string) (head, body string, err error) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, "GET /x "+protocol+"\r\nHost: a.example\r\nId: 1\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	conn.SetReadDeadline(time.Now().Add(3 * time.Second))
	all, err := io.ReadAll(bufio.NewReader(conn))
	head, body, _ = strings.Cut(string(all), "\r\n\r\n")
	return head + "\r\n", body, err
}

// Guards against a response without a length to a caller of HTTP/1.0 that is broken off and looks whole.
func TestBrokenResponseToHTTP10IsReset(t *testing.T) {
	_, address := startEntry(t, &fakeForwarder{run: func(_ context.Context, _ *chiverequest.Request, sink chiveforward.Sink) chiveforward.Result {
		sink.Start(http.StatusOK, http.Header{})
		_ = sink.Write([]byte("part"), true)
		return chiveforward.Result{Outcome: chiveforward.Unknown, Started: true, Code: chiveforward.CodeBroken}
	}})
	if _, body, err := rawResponse(t, address, "HTTP/1.0"); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("body %q, then %v; want a reset", body, err)
	}
}

// Guards against a length, a last chunk or an orderly end of the connection behind a response that is not known to be whole.
func TestUncertainResponseEndsWithTheConnection(t *testing.T) {
	const small, large = 100, 1 << 20
	for _, protocol := range []string{"HTTP/1.1", "HTTP/1.0"} {
		for _, size := range []int{0, small, large} {
			for _, completes := range []bool{true, false} {
				t.Run(fmt.Sprintf("%s, %d bytes, completes %v", protocol, size, completes), func(t *testing.T) {
					_, address := startEntry(t, &fakeForwarder{run: func(_ context.Context, _ *chiverequest.Request, sink chiveforward.Sink) chiveforward.Result {
						sink.EndsWithConnection()
						sink.Start(http.StatusOK, http.Header{"Content-Type": {"text/plain"}})
						if err := sink.Write([]byte(strings.Repeat("x", size)), true); err != nil {
							t.Error(err)
						}
						if !completes {
							return chiveforward.Result{Outcome: chiveforward.Unknown, Started: true, Code: chiveforward.CodeBroken}
						}
						return chiveforward.Result{Outcome: chiveforward.Completed, Started: true, Status: http.StatusOK}
					}})
					head, body, err := rawResponse(t, address, protocol)
					if !completes {
						if !errors.Is(err, syscall.ECONNRESET) {
							t.Errorf("%d bytes, then %v; want a reset", len(body), err)
						}
						return
					}
					isClosed := protocol == "HTTP/1.0" || strings.Contains(head, "Connection: close\r\n")
					if err != nil || len(body) != size || !isClosed || strings.Contains(head, "Content-Length") || strings.Contains(head, "Transfer-Encoding") {
						t.Errorf("head %q, %d bytes, %v", head, len(body), err)
					}
				})
			}
		}
	}
}

// Guards against a response that ends with the connection, and that a planned stop cuts such that it looks whole.
func TestUncertainResponseCutByAStopIsReset(t *testing.T) {
	begun := make(chan struct{})
	e, address := startEntry(t, &fakeForwarder{run: func(ctx context.Context, _ *chiverequest.Request, sink chiveforward.Sink) chiveforward.Result {
		sink.EndsWithConnection()
		sink.Start(http.StatusOK, http.Header{})
		_ = sink.Write([]byte("part"), true)
		close(begun)
		<-ctx.Done()
		return chiveforward.Result{Outcome: chiveforward.Unknown, Started: true, Code: chiveforward.CodeCallerGone}
	}})
	go func() {
		<-begun
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		e.Stop(ctx)
	}()
	if _, body, err := rawResponse(t, address, "HTTP/1.1"); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("body %q, then %v; want a reset", body, err)
	}
}
