package chiveversion_test

import (
	"testing"
	"time"

	"chivedrift/chiveversion"
)

// Guards against taking the version of a pool for certain while a stream of another one may still be taken up.
func TestSoleVersionIsCertain(t *testing.T) {
	start := time.Now()
	r := chiveversion.NewRegistry()
	check := func(at time.Duration, wantSole, wantSeveral bool) {
		t.Helper()
		_, sole := r.Sole(start.Add(at), "p")
		if several := r.Several(start.Add(at), "p"); sole != wantSole || several != wantSeveral {
			t.Errorf("after %v: sole %v, several %v", at, sole, several)
		}
	}
	r.Learn(start, "a", "v1")
	r.Add(start, "a", "p")
	check(time.Second, false, false)
	check(time.Minute, true, false)
	r.Add(start.Add(time.Minute), "b", "p")
	check(time.Minute, false, false)
	r.Learn(start.Add(time.Minute), "b", "v1")
	check(time.Minute, true, false)
	r.Learn(start.Add(time.Minute), "c", "v2")
	r.Add(start.Add(time.Minute), "c", "p")
	check(time.Minute, false, true)
	r.Remove(start.Add(2*time.Minute), "c")
	check(2*time.Minute+20*time.Second, false, true)
	check(3*time.Minute, true, false)
}

// Guards against a version that is forgotten while its endpoint is listed, and against keeping all for ever.
func TestVersionsOfListedEndpointsAreKept(t *testing.T) {
	start := time.Now()
	r := chiveversion.NewRegistry()
	for _, incarnation := range []string{"a", "b", "c"} {
		r.Learn(start, incarnation, "v1")
	}
	r.Add(start, "a", "p")
	r.Add(start, "b", "p")
	r.Remove(start, "b")
	r.Expire(start.Add(5 * time.Minute))
	if r.Of("b") == "" || r.Of("c") == "" {
		t.Error("a version was forgotten within minutes")
	}
	r.Expire(start.Add(time.Hour))
	if r.Of("a") == "" || r.Of("b") != "" || r.Of("c") != "" {
		t.Errorf("after an hour: listed %q, left %q, never listed %q", r.Of("a"), r.Of("b"), r.Of("c"))
	}
}
