package chiveentry_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"

	"chivedrift/chiveentry"
	"chivedrift/chiveevent"
	"chivedrift/chiveforward"
	"chivedrift/chiverequest"
	"chivedrift/chivestand"
	"chivedrift/chivewire"

	"github.com/uber-go/tally/v4"
)

// Guards against warnings about failed requests that do not say why each attempt counts as run or not run.
func TestWarningListsLastAttempts(t *testing.T) {
	tries := make([]chiveforward.Try, 0, 10)
	for range 9 {
		tries = append(tries, chiveforward.Try{Endpoint: "a", Ended: "unreached", NotRunBy: "not_connected"})
	}
	tries = append(tries, chiveforward.Try{Endpoint: "b", Ended: "refused_by_endpoint", NotRunBy: "refusal", Kept: true, Through: "peer:1", ResponseNames: "none"})
	forwarder := &fakeForwarder{run: func(context.Context, *chiverequest.Request, chiveforward.Sink) chiveforward.Result {
		return chiveforward.Result{Outcome: chiveforward.NotRun, Status: http.StatusServiceUnavailable, Tries: tries}
	}}
	var logged bytes.Buffer
	address := chivestand.FreeAddress()
	e := chiveentry.New(chiveentry.Options{
		Address: address, Network: chivewire.TCP{}, Dialect: testDialect{}, Forwarder: forwarder, Scope: tally.NoopScope, Logger: slog.New(slog.NewJSONHandler(&logged, nil)),
	})
	e.SetTable(testTable(t))
	if err := e.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	response, err := sendGet(t, conn, bufio.NewReader(conn), "/x")
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	conn.Close()
	if err := e.Stop(t.Context()); err != nil {
		t.Fatal(err)
	}
	want := strings.Repeat("a unreached connection=new not_run_by=not_connected; ", 7) +
		"b refused_by_endpoint connection=kept through=peer:1 response_names=none not_run_by=refusal"
	for _, raw := range strings.Split(logged.String(), "\n") {
		var line struct {
			Event int
			Level string
			Tries string
		}
		if json.Unmarshal([]byte(raw), &line) != nil || line.Event != chiveevent.RequestFailed.Number() {
			continue
		}
		if line.Level != "WARN" || line.Tries != want {
			t.Errorf("got  %s %s\nwant WARN %s", line.Level, line.Tries, want)
		}
		return
	}
	t.Errorf("no line of event 508 in %s", logged.String())
}
