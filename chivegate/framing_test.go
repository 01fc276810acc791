package chivegate_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"chivedrift/chivedispatch"
	"chivedrift/chivewire"
)

// unframedServices answers with a body that ended with its connection; rest is what follows the first part, nil for nothing.
type unframedServices struct{ rest func() io.ReadCloser }

func (s unframedServices) Run(context.Context, *chivedispatch.ServiceWork) (chivedispatch.Result, *chivedispatch.ServiceAnswer) {
	answer := &chivedispatch.ServiceAnswer{Status: http.StatusOK, Header: http.Header{"Content-Type": {"text/plain"}}, Body: []byte("part"), EndsWithConnection: true}
	if s.rest != nil {
		answer.Rest = s.rest()
	}
	return chivedispatch.Result{Outcome: chivedispatch.Completed}, answer
}

// brokenBody is a body that breaks off.
type brokenBody struct{}

func (brokenBody) Read([]byte) (int, error) { return 0, errors.New("broken") }
func (brokenBody) Close() error             { return nil }

// Guards against a length, a last chunk or an orderly end of the connection behind a response that is not known to be whole.
func TestUncertainServiceResponseEndsWithTheConnection(t *testing.T) {
	for name, c := range map[string]struct {
		rest   func() io.ReadCloser
		want   string
		breaks bool
	}{
		"short":  {want: "part"},
		"long":   {rest: func() io.ReadCloser { return io.NopCloser(strings.NewReader(" and rest")) }, want: "part and rest"},
		"broken": {rest: func() io.ReadCloser { return brokenBody{} }, breaks: true},
	} {
		t.Run(name, func(t *testing.T) {
			_, address := startGateway(t, chivewire.TCP{}, unframedServices{c.rest})
			conn := dial(t, address)
			fmt.Fprintf(conn, "POST /services/s/x HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Length: 0\r\n\r\n", key)
			conn.SetReadDeadline(time.Now().Add(3 * time.Second))
			all, err := io.ReadAll(conn)
			if c.breaks {
				if !errors.Is(err, syscall.ECONNRESET) {
					t.Errorf("%q, then %v; want a reset", all, err)
				}
				return
			}
			head, body, _ := strings.Cut(string(all), "\r\n\r\n")
			if err != nil || body != c.want || !strings.Contains(head+"\r\n", "Connection: close\r\n") || strings.Contains(head, "Content-Length") || strings.Contains(head, "Transfer-Encoding") {
				t.Errorf("%q, %v", all, err)
			}
		})
	}
}
