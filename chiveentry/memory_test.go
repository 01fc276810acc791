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

// Guards against the kernel killing a node that reads request bodies it has no memory for.
func TestRefusesRequestsWhenOutOfMemory(t *testing.T) {
	var memoryFull atomic.Bool
	forwarder := &fakeForwarder{}
	address := chivestand.FreeAddress()
	e := chiveentry.New(chiveentry.Options{
		Address: address, Network: chivewire.TCP{}, Dialect: testDialect{}, Forwarder: forwarder, Full: memoryFull.Load, Scope: tally.NoopScope,
		Logger: slog.New(slog.DiscardHandler),
	})
	e.SetTable(testTable(t))
	if err := e.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	defer func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		e.Stop(ctx)
	}()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	memoryFull.Store(true)
	response, err := sendGet(t, conn, reader, "/x")
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	if response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Retry-After") == "" {
		t.Errorf("got %s with Retry-After %q, want 503 with a Retry-After", response.Status, response.Header.Get("Retry-After"))
	}
	if len(forwarder.requests) != 0 {
		t.Errorf("%d requests were forwarded", len(forwarder.requests))
	}
}
