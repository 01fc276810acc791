package chiveorder_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"chivedrift/chiveorder"
	"chivedrift/chivewire"
)

// Guards against an order that is taken for carried out, or for refused, by a response whose head is malformed.
func TestBrokenHeadIsNoResponseToAnOrder(t *testing.T) {
	for _, head := range []string{"HTTP/1.1 200 OK\r\nA : b\r\n", "HTTP/1.1 200 OK\r\nA b: c\r\n", "HTTP/1.1 409 Conflict\r\nA: b\r\n c\r\n", "HTTP/2.0 200 OK\r\n"} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := w.(http.Hijacker).Hijack()
			if err != nil {
				t.Error(err)
				return
			}
			defer conn.Close()
			io.WriteString(conn, head+"Content-Length: 0\r\n\r\n")
		}))
		err := chiveorder.Send(context.Background(), chivewire.TCP{}, "127.0.0.1:0", strings.TrimPrefix(server.URL, "http://"), chiveorder.Order{}, time.Now().Add(time.Minute))
		if !errors.Is(err, chivewire.ErrHead) {
			t.Errorf("%q: got %v", head, err)
		}
		server.Close()
	}
}
