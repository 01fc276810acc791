package chiveaccount_test

import (
	"fmt"
	"strings"
	"testing"

	"chivedrift/chiveaccount"
)

// dump is a node that has run for ten seconds and sent so many digests of 30 bytes.
func dump(t *testing.T, digests int) chiveaccount.Node {
	t.Helper()
	n, err := chiveaccount.ReadNode(strings.NewReader(fmt.Sprintf(
		`{"wire":{"sent":{"digest":{"messages":%d,"bytes":%d}}},"process":{"cpu_us":100000,"uptime_ms":10000,"total_bytes":20000000},"table feed":{"calls":%d}}`,
		digests, 30*digests, digests/10)))
	if err != nil {
		t.Fatal(err)
	}
	return n
}

func TestAccountHasTheMiddleAndTheBusiestNode(t *testing.T) {
	account := chiveaccount.New([]chiveaccount.Node{dump(t, 1000), dump(t, 10), dump(t, 20)})
	want := map[string][2]float64{"sent digest": {2, 100}, "processor": {1, 1}, "memory": {20, 20}, "store, configurations": {0.2, 10}}
	for _, r := range account.Rows() {
		if bounds, ok := want[r.Name()]; ok {
			if r.Middle() != bounds[0] || r.Busiest() != bounds[1] {
				t.Errorf("%s: middle %v, busiest %v, expected %v", r.Name(), r.Middle(), r.Busiest(), bounds)
			}
			delete(want, r.Name())
		}
	}
	for name := range want {
		t.Errorf("no row %q", name)
	}
}

func TestDumpsThatAreNotUsable(t *testing.T) {
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
