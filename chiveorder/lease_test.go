package chiveorder_test

import (
	"testing"
	"time"

	"chivedrift/chiveorder"
)

// Guards against a lease that a second node acquires before the holder's term has expired or the holder has released
// it.
func TestLeaseIsTakenOnlyAfterTheLastTerm(t *testing.T) {
	leases := chiveorder.NewLeases()
	start := time.Unix(1000, 0)
	steps := []struct {
		holder     string
		after      time.Duration
		released   bool
		wantHolder string
		wantToken  int64
	}{
		{"a", 0, false, "a", 0},
		{"b", chiveorder.Term / 2, false, "a", 0},
		{"a", chiveorder.Term, false, "a", 2},
		{"b", 2 * chiveorder.Term, false, "a", 2},
		{"b", 2*chiveorder.Term + 1, false, "b", 4},
		{"a", 2*chiveorder.Term + 2, false, "b", 4},
		{"a", 2*chiveorder.Term + 3, true, "b", 4},
		{"b", 2*chiveorder.Term + 4, true, "", 0},
		{"a", 2*chiveorder.Term + 5, false, "a", 8},
	}
	for offset, s := range steps {
		data, err := chiveorder.Record{Group: "g", Holder: s.holder, Released: s.released}.Encode()
		if err != nil {
			t.Fatal(err)
		}
		leases.Apply(int64(offset), start.Add(s.after), data)
		lease, _ := leases.Of("g")
		if lease.Holder != s.wantHolder || lease.Fencing != s.wantToken {
			t.Errorf("after step %d: held by %q under %d, expected %q under %d", offset, lease.Holder, lease.Fencing, s.wantHolder, s.wantToken)
		}
	}
	leases.Apply(99, start, []byte("no record"))
	if lease, _ := leases.Of("g"); lease.Holder != "a" {
		t.Error("a record that cannot be read changed the lease")
	}
}
