package chiveentry_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"chivedrift/chiveentry"
	"chivedrift/chiveevent"
	"chivedrift/chiveforward"
	"chivedrift/chiverequest"
	"chivedrift/chivestand"
	"chivedrift/chivewire"

	"github.com/uber-go/tally/v4"
)

// lockedBuffer holds the log of an entry.
type lockedBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *lockedBuffer) Write(data []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(data)
}

// lines returns the lines of an event.
func (b *lockedBuffer) lines(t *testing.T, event chiveevent.Event) []map[string]any {
	t.Helper()
	b.mu.Lock()
	defer b.mu.Unlock()
	var lines []map[string]any
	for text := range strings.Lines(b.text.String()) {
		line := make(map[string]any)
		if err := json.Unmarshal([]byte(text), &line); err != nil {
			t.Fatal(err)
		}
		if line["event"] == float64(event.Number()) {
			lines = append(lines, line)
		}
	}
	return lines
}

// startLoggingEntry starts an entry on a network and returns its log.
func startLoggingEntry(t *testing.T, network chivewire.Network, forwarder chiveentry.Forwarder) (*chiveentry.Entry, string, *lockedBuffer) {
	t.Helper()
	logged := &lockedBuffer{}
	address := chivestand.FreeAddress()
	e := chiveentry.New(chiveentry.Options{
		Address: address, Network: network, Dialect: testDialect{}, Forwarder: forwarder, Scope: tally.NoopScope, Logger: slog.New(slog.NewJSONHandler(logged, nil)),
	})
	e.SetTable(testTable(t))
	if err := e.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	return e, address, logged
}

// beginStream is a forwarder that begins a stream and goes on with it until the caller's connection ends.
func beginStream(ctx context.Context, _ *chiverequest.Request, sink chiveforward.Sink) chiveforward.Result {
	sent := time.Now()
	sink.Start(http.StatusOK, http.Header{})
	_ = sink.Write([]byte("event"), true)
	<-ctx.Done()
	return chiveforward.Result{Outcome: chiveforward.Unknown, Code: chiveforward.CodeCallerGone, Started: true, Status: http.StatusOK, Events: 1, Sent: sent}
}

// Guards against a request that the end of a stop cut without a line that says so, and when it was read and sent.
func TestCutStreamIsLoggedWithTimesOfTheStop(t *testing.T) {
	e, address, logged := startLoggingEntry(t, chivewire.TCP{}, &fakeForwarder{run: beginStream})
	cut := time.Now().Add(300 * time.Millisecond)
	e.Leave(cut)
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	time.Sleep(100 * time.Millisecond)
	io.WriteString(conn, "GET /stream HTTP/1.1\r\nHost: a.example\r\nId: 7\r\nWait: 50ms\r\n\r\n")
	time.Sleep(50 * time.Millisecond)
	ctx, cancel := context.WithDeadline(t.Context(), cut)
	defer cancel()
	if err := e.Stop(ctx); err != nil {
		t.Fatal(err)
	}
	lines := logged.lines(t, chiveevent.ResponseCut)
	if len(lines) != 1 || e.StopCounts().Cut != 1 {
		t.Fatalf("%d lines of event %d and a count of %d, want 1", len(lines), chiveevent.ResponseCut.Number(), e.StopCounts().Cut)
	}
	line := lines[0]
	if line["request"] != "7" || line["ending"] != "cut" || line["begun"] != true || line["level"] != "WARN" {
		t.Errorf("got %v", line)
	}
	for name, least := range map[string]float64{"read_after_stop_ms": 90, "sent_after_stop_ms": 90, "stop_left_ms": 1, "since_stop_ms": 250} {
		if value, ok := line[name].(float64); !ok || value < least || value > 450 {
			t.Errorf("%s is %v, want %v to 450", name, line[name], least)
		}
	}
}

// Guards against lines that report responses as cut which their callers have got.
func TestWrittenResponsesAreNotLoggedAsCut(t *testing.T) {
	e, address, logged := startLoggingEntry(t, chivewire.TCP{}, &fakeForwarder{})
	e.Leave(time.Now().Add(time.Second))
	for range 3 {
		response, err := http.Get("http://" + address + "/x")
		if err != nil {
			t.Fatal(err)
		}
		response.Body.Close()
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	if err := e.Stop(ctx); err != nil {
		t.Fatal(err)
	}
	if lines := logged.lines(t, chiveevent.ResponseCut); len(lines) > 0 || e.StopCounts().Cut != 0 {
		t.Errorf("got %v", lines)
	}
}
