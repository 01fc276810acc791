package chiveentry_test

import (
	"bufio"
	"context"
	"errors"
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
