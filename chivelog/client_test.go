package chivelog_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"chivedrift/chivelog"
)

// Guards against an answer of the log that is used although its head is malformed: whether the record was appended is unknown.
func TestBrokenHeadIsNoAnswerOfTheLog(t *testing.T) {
	for _, head := range []string{"HTTP/1.1 200 OK\r\nA : b\r\n", "HTTP/1.1 200 OK\r\nA b: c\r\n", "HTTP/1.1 200 OK\r\nA: b\r\n c\r\n", "HTTP/1.1 503 Any\r\nA : b\r\n", "HTTP/1.1 000 Any\r\n"} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			io.Copy(io.Discard, r.Body)
			conn, _, err := w.(http.Hijacker).Hijack()
			if err != nil {
				t.Error(err)
				return
			}
			defer conn.Close()
			io.WriteString(conn, head+"Content-Length: 12\r\n\r\n{\"offset\":7}")
		}))
		address := strings.TrimPrefix(server.URL, "http://")
		client := chivelog.NewClient(address, address, nil)
		if _, err := client.Append(context.Background(), "s", []byte("r")); !errors.Is(err, chivelog.ErrUnknown) {
			t.Errorf("append, %q: %v", head, err)
		}
		if _, err := client.VMs(context.Background()); !errors.Is(err, chivelog.ErrUnavailable) {
			t.Errorf("list, %q: %v", head, err)
		}
		server.Close()
	}
}
