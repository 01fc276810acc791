package chivetrace_test

import (
	"bytes"
	"strings"
	"testing"

	"chivedrift/chivetrace"
)

const testLog = `   1.1 n1 {"time":"2026-01-01T00:00:00Z","level":"INFO","msg":"routing table in force","event":206,"version":3}
   1.1 n2 {"time":"2026-01-01T00:00:00Z","level":"INFO","msg":"routing table in force","event":206,"version":4}
not a line of ours
   1.2 n1 {"time":"2026-01-01T00:00:01Z","level":"INFO","msg":"endpoint ready","event":310,"endpoint":"e1"}
   1.2 n1 {"time":"2026-01-01T00:00:01Z","level":"INFO","msg":"endpoint ready","event":310,"endpoint":"e2"}
   9.2 n1 {"time":"2026-01-01T00:01:00.25Z","level":"INFO","msg":"attempt ended","event":503,"request":"a","endpoint":"e1","ended":"broken"}
   9.1 n1 {"time":"2026-01-01T00:01:00Z","level":"INFO","msg":"request accepted","event":505,"request":"a","route":"r"}
   9.1 n1 {"time":"2026-01-01T00:01:00Z","level":"INFO","msg":"request accepted","event":505,"request":"b","route":"r"}
   9.9 n1 {"time":"2026-01-01T00:02:00Z","level":"INFO","msg":"endpoint gone","event":311,"endpoint":"e1"}
`

func TestTraceOfOneRequest(t *testing.T) {
	lines, err := chivetrace.Read(strings.NewReader(testLog), "file")
	if err != nil || len(lines) != 8 {
		t.Fatalf("%d lines, %v", len(lines), err)
	}
	trace, ok := chivetrace.Collect(lines, "a")
	if !ok {
		t.Fatal("no trace")
	}
	var out bytes.Buffer
	trace.Write(&out)
	want := `request a
what the process believed:
     -60000.0 ms  n1             206 routing table in force: version=3
     -59000.0 ms  n1             310 endpoint ready: endpoint=e1
what happened:
         +0.0 ms  n1             505 request accepted: route=r
       +250.0 ms  n1             503 attempt ended: endpoint=e1 ended=broken
`
	if out.String() != want {
		t.Errorf("got\n%s\nwant\n%s", out.String(), want)
	}
	if _, ok := chivetrace.Collect(lines, "c"); ok {
		t.Error("got a trace for a request that no line names")
	}
}
