package chiveaccount_test

import (
	"fmt"
	"strings"
	"testing"

	"chivedrift/chiveaccount"
)

// newNode returns a node with an uptime of ten seconds that has sent the given number of 30-byte digests.
func newNode(t *testing.T, digests int) chiveaccount.Node {
	t.Helper()
	n, err := chiveaccount.ReadNode(strings.NewReader(fmt.Sprintf(
		`{"wire":{"sent":{"digest":{"messages":%d,"bytes":%d}}},"process":{"cpu_us":100000,"uptime_ms":10000,"total_bytes":20000000},"table feed":{"calls":%d}}`,
		digests, 30*digests, digests/10)))
	if err != nil {
		t.Fatal(err)
	}
	return n
}

func TestReportHasMedianAndMaximum(t *testing.T) {
	report := chiveaccount.New([]chiveaccount.Node{newNode(t, 1000), newNode(t, 10), newNode(t, 20)})
	want := map[string][2]float64{"sent digest": {2, 100}, "processor": {1, 1}, "memory": {20, 20}, "store, configurations": {0.2, 10}}
	for _, r := range report.Rows() {
		if expected, ok := want[r.Name()]; ok {
			if r.Middle() != expected[0] || r.Busiest() != expected[1] {
				t.Errorf("%s: middle %v, busiest %v, expected %v", r.Name(), r.Middle(), r.Busiest(), expected)
			}
			delete(want, r.Name())
		}
	}
	for name := range want {
		t.Errorf("no row %q", name)
	}
}

func TestInvalidDumps(t *testing.T) {
	for text, want := range map[string]string{
		`x`:                                  "not a state dump",
		`{"wire":{}}`:                        `no service "process"`,
		`{"wire":{},"process":{"cpu_us":1}}`: "uptime_ms is 0",
		`{"wire":{"sent":[]},"process":{"uptime_ms":5}}`:                           "service wire",
		`{"wire":{},"process":{"uptime_ms":5},"table feed":{"calls":"a hundred"}}`: "service table feed",
	} {
		if _, err := chiveaccount.ReadNode(strings.NewReader(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v, expected %q", text, err, want)
		}
	}
}
