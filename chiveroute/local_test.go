package chiveroute_test

import (
	"testing"
	"time"

	"chivedrift/chiveconfig"
	"chivedrift/chiveresidency"
	"chivedrift/chiveroute"
)

func noneEvacuated(string) bool { return false }

// Guards against using a replica outside the allowed regions because the ones inside are full or excluded.
func TestReplicaOutsideAllowedRegionsIsNotUsed(t *testing.T) {
	l := chiveroute.NewLocal()
	l.SetEndpoints([]chiveconfig.Endpoint{{Name: "n", Region: "north"}, {Name: "s", Region: "south"}})
	south := chiveresidency.Within([]string{"south"})
	for range 20 {
		e, ok := l.Take(time.Now(), "north", south, noneEvacuated, nil)
		if !ok || e.Name != "s" {
			t.Fatalf("took %q, %v, want replica s", e.Name, ok)
		}
	}
	if e, ok := l.Take(time.Now(), "north", south, noneEvacuated, []string{"s"}); ok {
		t.Errorf("took %q, although the only allowed replica is excluded", e.Name)
	}
	if _, ok := l.Take(time.Now(), "north", chiveresidency.Policy{}, noneEvacuated, []string{"s"}); !ok {
		t.Error("no replica taken, although all regions are allowed and one replica is not excluded")
	}
}

// Guards against using a replica in an evacuated failure domain because the others are excluded.
func TestReplicaInEvacuatedDomainIsNotUsed(t *testing.T) {
	l := chiveroute.NewLocal()
	l.SetEndpoints([]chiveconfig.Endpoint{{Name: "a", FailureDomain: "a"}, {Name: "b", FailureDomain: "b"}})
	isEvacuated := func(domain string) bool { return domain == "a" }
	for range 20 {
		if e, ok := l.Take(time.Now(), "", chiveresidency.Policy{}, isEvacuated, nil); !ok || e.Name != "b" {
			t.Fatalf("took %q, %v, want replica b", e.Name, ok)
		}
	}
	if e, ok := l.Take(time.Now(), "", chiveresidency.Policy{}, isEvacuated, []string{"b"}); ok {
		t.Errorf("took %q in the evacuated failure domain", e.Name)
	}
}
