package chivedispatch_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"chivedrift/chiveconfig"
	"chivedrift/chivedispatch"
	"chivedrift/chivewire"
)

const refusal = "HTTP/1.1 503 Service Unavailable\r\n" + chivedispatch.NotRunHeader + ": true\r\nContent-Length: 0\r\n\r\n"

// lateService runs requests. On a connection that has carried another one, it first sends a refusal once more.
type lateService struct {
	listener net.Listener
	runs     atomic.Int64
}

func newLateService(t *testing.T) *lateService {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &lateService{listener: listener}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s
}

func (s *lateService) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for number := 0; ; number++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		s.runs.Add(1)
		if number > 0 {
			io.WriteString(conn, refusal)
		}
		time.Sleep(10 * time.Millisecond)
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(request.URL.Path), request.URL.Path)
	}
}

type noFleet struct{}

func (noFleet) EndpointLeaves(string) {}

// Guards against a request that is reported as not run, or answered with another one's answer, because a late copy of a response
// came on its connection.
func TestLateRefusalIsNoProofThatARequestDidNotRun(t *testing.T) {
	for _, repeatable := range []bool{false, true} {
		t.Run(fmt.Sprintf("repeatable %v", repeatable), func(t *testing.T) {
			service := newLateService(t)
			base := fmt.Sprintf(`tiers: [{name: urgent}]
classes: [{name: chat, tier: urgent, first_token_ms: 100, deadline_ms: 1000, stall_ms: 100, expected_tokens: 5, idempotent: true}]
teams: [{name: t, key_sha256: ["%s"], weight: 1}]
pools: [{name: s, kind: service, default_class: chat, endpoints: [{name: s, address: %q, region: r, failure_domain: a}]}]
`, strings.Repeat("0", 64), service.listener.Addr())
			config, err := chiveconfig.Bundle{Base: base, Overlays: []chiveconfig.Overlay{{Site: "x", Text: "{}"}}}.Effective("x")
			if err != nil {
				t.Fatal(err)
			}
			dispatcher := chivedispatch.New("test", chivewire.TCP{}, nil, noFleet{}, nil, slog.New(slog.DiscardHandler))
			services := chivedispatch.NewServices(dispatcher, "r")
			services.SetConfig(config)
			for i := range 20 {
				before := service.runs.Load()
				path := fmt.Sprintf("/%d", i)
				result, answer := services.Run(context.Background(), &chivedispatch.ServiceWork{
					ID: fmt.Sprintf("id-%d", i), Pool: "s", Class: &config.Classes[0], Method: http.MethodGet, Path: path, Header: http.Header{}, Arrival: time.Now(),
					Deadline: time.Now().Add(time.Second), Repeatable: repeatable,
				})
				if ran := service.runs.Load() - before; ran > 0 && result.Outcome == chivedispatch.NotRun || ran > 1 && !repeatable {
					t.Errorf("%s: ran %d times, outcome %q", path, ran, result.Outcome)
				}
				if result.Outcome != chivedispatch.Completed || string(answer.Body) != path {
					t.Errorf("%s: outcome %q, answer %+v", path, result.Outcome, answer)
				}
			}
		})
	}
}
