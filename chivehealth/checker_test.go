package chivehealth_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"chivedrift/chivehealth"
	"chivedrift/chiverequest"
	"chivedrift/chivestand"
	"chivedrift/chivewire"
)

// dialect sends health checks to /health.
type dialect struct{}

func (dialect) HealthCheck(header http.Header, id string) (method, target string) {
	header.Set("Endpoint-Id", id)
	return http.MethodGet, "/health"
}

func (dialect) JudgeHealth(_, _ string, response *http.Response) chiverequest.Health {
	switch {
	case response.StatusCode == http.StatusMisdirectedRequest:
		return chiverequest.HealthOther
	case chiverequest.IsGateway(response.StatusCode):
		return chiverequest.HealthGateway
	}
	return chiverequest.HealthAlive
}

// listen serves connections at a new address until the test ends, and returns the address.
func listen(t *testing.T, serve func(conn *net.TCPConn)) string {
	t.Helper()
	listener, err := net.Listen("tcp", chivestand.FreeAddress())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn.(*net.TCPConn))
		}
	}()
	return listener.Addr().String()
}

// respond returns a handler that reads a request and responds with text.
func respond(text string) func(conn *net.TCPConn) {
	return func(conn *net.TCPConn) {
		defer conn.Close()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			io.WriteString(conn, text)
		}
	}
}

func reset(conn *net.TCPConn) {
	conn.SetLinger(0)
	conn.Close()
}

// keepOpen sends nothing for longer than a check takes. The runtime closes connections that nothing refers to.
func keepOpen(conn *net.TCPConn) {
	time.Sleep(2 * chivehealth.CheckTimeout)
	conn.Close()
}

// unresponsiveNetwork never answers connection attempts.
type unresponsiveNetwork struct{ chivewire.TCP }

func (unresponsiveNetwork) Dial(ctx context.Context, _, _ string) (net.Conn, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// Guards against crashes behind a proxy that are not detected, and against false reports for a process that is alive.
func TestCheckDistinguishesFailedFromLivingProcess(t *testing.T) {
	const head = "HTTP/1.1 "
	tests := map[string]struct {
		serve func(conn *net.TCPConn)
		want  chivehealth.Result
	}{
		"answers":              {respond(head + "200 OK\r\nContent-Length: 0\r\n\r\n"), chivehealth.Result{Alive: true}},
		"has no health check":  {respond(head + "404 Not Found\r\nContent-Length: 0\r\n\r\n"), chivehealth.Result{Alive: true}},
		"malformed response":   {respond("\x00\x01\r\n\r\n"), chivehealth.Result{}},
		"status 000":           {respond(head + "000 Any\r\nContent-Length: 0\r\n\r\n"), chivehealth.Result{}},
		"status 600":           {respond(head + "600 Any\r\nContent-Length: 0\r\n\r\n"), chivehealth.Result{}},
		"blank in a name":      {respond(head + "200 OK\r\nA b: c\r\nContent-Length: 0\r\n\r\n"), chivehealth.Result{}},
		"control byte":         {respond(head + "200 OK\r\nA\x01: c\r\nContent-Length: 0\r\n\r\n"), chivehealth.Result{}},
		"folded line":          {respond(head + "421 Misdirected Request\r\nA: b\r\n c\r\nContent-Length: 0\r\n\r\n"), chivehealth.Result{}},
		"resets":               {reset, chivehealth.Result{Evidence: chivehealth.EvidenceReset}},
		"closes immediately":   {func(conn *net.TCPConn) { conn.Close() }, chivehealth.Result{Evidence: chivehealth.EvidenceReset}},
		"closes after request": {respond(""), chivehealth.Result{Evidence: chivehealth.EvidenceReset}},
		"bad gateway":          {respond(head + "502 Bad Gateway\r\nContent-Length: 0\r\n\r\n"), chivehealth.Result{Evidence: chivehealth.EvidenceGateway}},
		"no upstream":          {respond(head + "503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"), chivehealth.Result{Evidence: chivehealth.EvidenceGateway}},
		"another process":      {respond(head + "421 Misdirected Request\r\nContent-Length: 0\r\n\r\n"), chivehealth.Result{Evidence: chivehealth.EvidenceReplaced}},
		"head without end":     {respond(head + "200 OK\r\n" + strings.Repeat("A: b\r\n", 100_000)), chivehealth.Result{}},
		"silent":               {keepOpen, chivehealth.Result{TimedOut: true}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			checker := chivehealth.NewChecker("test", chivewire.TCP{}, dialect{})
			if got := checker.Start(chivehealth.Endpoint{ID: "e", Incarnation: "e@1", Address: listen(t, test.serve)}).Result(); got != test.want {
				t.Errorf("got %+v, want %+v", got, test.want)
			}
		})
	}
	t.Run("refuses", func(t *testing.T) {
		checker := chivehealth.NewChecker("test", chivewire.TCP{}, dialect{})
		got := checker.Start(chivehealth.Endpoint{Incarnation: "e", Address: chivestand.FreeAddress()}).Result()
		if got.Evidence != chivehealth.EvidenceRefused || got.Alive {
			t.Errorf("got %+v", got)
		}
	})
	t.Run("unresponsive host", func(t *testing.T) {
		checker := chivehealth.NewChecker("test", unresponsiveNetwork{}, dialect{})
		if got := checker.Start(chivehealth.Endpoint{Incarnation: "e", Address: "127.0.0.1:1"}).Result(); got != (chivehealth.Result{TimedOut: true}) {
			t.Errorf("got %+v", got)
		}
	})
}

// Guards against a missed crash right after an answered health check: the old result must not be reused.
func TestAliveResultExpires(t *testing.T) {
	crashed := make(chan struct{})
	address := listen(t, func(conn *net.TCPConn) {
		select {
		case <-crashed:
			reset(conn)
		default:
			respond("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")(conn)
		}
	})
	checker := chivehealth.NewChecker("test", chivewire.TCP{}, dialect{})
	endpoint := chivehealth.Endpoint{Incarnation: "e", Address: address}
	if got := checker.Start(endpoint).Result(); !got.Alive {
		t.Fatalf("got %+v", got)
	}
	close(crashed)
	time.Sleep(100 * time.Millisecond)
	if got := checker.Start(endpoint).Result(); got.Evidence != chivehealth.EvidenceReset {
		t.Errorf("got %+v", got)
	}
}

// Guards against a burst of health checks when many requests break at once: they share one check.
func TestConcurrentlyBrokenRequestsShareOneCheck(t *testing.T) {
	checker := chivehealth.NewChecker("test", chivewire.TCP{}, dialect{})
	endpoint := chivehealth.Endpoint{Incarnation: "e", Address: listen(t, reset)}
	first := checker.Start(endpoint)
	for range 20 {
		if checker.Start(endpoint) != first {
			t.Fatal("a second check was started")
		}
	}
	if got := first.Result(); got.Evidence != chivehealth.EvidenceReset {
		t.Errorf("got %+v", got)
	}
}
