package chiveentry_test

import (
	"bufio"
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"chivedrift/chiveentry"
	"chivedrift/chivestand"
	"chivedrift/chivewire"

	"github.com/uber-go/tally/v4"
)

// Guards against a node killed by the kernel because it accepts bodies it has no memory for.
func TestNodeWithoutMemoryRefusesBeforeItReadsTheBody(t *testing.T) {
	var full atomic.Bool
	forwarder := &fakeForwarder{}
	address := chivestand.FreeAddress()
	e := chiveentry.New(chiveentry.Options{
		Address: address, Network: chivewire.TCP{}, Dialect: plainDialect{}, Forwarder: forwarder, Full: full.Load, Scope: tally.NoopScope,
		Logger: slog.New(slog.DiscardHandler),
	})
	e.SetTable(testTable(t))
	if err := e.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	defer func() {
		ended, cancel := context.WithCancel(context.Background())
		cancel()
		e.Stop(ended)
	}()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	from := bufio.NewReader(conn)
	full.Store(true)
	response, err := ask(t, conn, from, "/x")
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	if response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Retry-After") == "" {
		t.Errorf("answered %s with Retry-After %q, expected 503 with a time to come back", response.Status, response.Header.Get("Retry-After"))
	}
	if len(forwarder.seen) != 0 {
		t.Errorf("%d requests were passed on", len(forwarder.seen))
	}
}
