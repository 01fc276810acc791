package chiveroute_test

import (
	"testing"
	"time"

	"chivedrift/chiveconfig"
	"chivedrift/chiveresidency"
	"chivedrift/chiveroute"
)

// Guards against using a replica outside the allowed regions because the ones inside are full or excluded.
func TestReplicaOutsideAllowedRegionsIsNotUsed(t *testing.T) {
	l := chiveroute.NewLocal()
	l.SetEndpoints([]chiveconfig.Endpoint{{Name: "n", Region: "north"}, {Name: "s", Region: "south"}})
	south := chiveresidency.Within([]string{"south"})
	for range 20 {
		e, ok := l.Take(time.Now(), "north", south, nil)
		if !ok || e.Name != "s" {
			t.Fatalf("took %q, %v, want replica s", e.Name, ok)
		}
	}
	if e, ok := l.Take(time.Now(), "north", south, []string{"s"}); ok {
		t.Errorf("took %q, although the only allowed replica is excluded", e.Name)
	}
	if _, ok := l.Take(time.Now(), "north", chiveresidency.Policy{}, []string{"s"}); !ok {
		t.Error("no replica taken, although all regions are allowed and one replica is not excluded")
	}
}
