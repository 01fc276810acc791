package chivemember_test

import (
	"fmt"
	"testing"
	"time"

	"chivedrift/chivemember"
)

// probedView returns the view of a node in the region a that knows a member in the region b, and the round trips that it
// has measured.
func probedView(now time.Time) (v *chivemember.View, measured *[]time.Duration) {
	v = chivemember.NewView(chivemember.Member{Name: "n0", Address: "n0", Region: "a"}, now)
	measured = new([]time.Duration)
	v.OnReply(func(_ string, roundTrip time.Duration) { *measured = append(*measured, roundTrip) })
	v.Receive(now, "n1", chivemember.News{Members: []chivemember.Member{{Name: "n1", Address: "n1", Region: "b", State: chivemember.Alive}}})
	return v, measured
}

// Guards against an answer that is measured from a later probe than its own.
func TestAnswersThatMayBeToAnEarlierProbeAreNotMeasured(t *testing.T) {
	now := time.Now()
	v, measured := probedView(now)
	answer := func(after time.Duration) { v.Receive(now.Add(after), "n1", chivemember.Ack{Name: "n1"}) }
	answered := func(tick int, after time.Duration) {
		at := time.Duration(tick) * chivemember.TickEvery
		v.Tick(now.Add(at))
		answer(at + after)
	}
	for tick := range 4 {
		answered(tick, 60*time.Millisecond)
	}
	answer(1900 * time.Millisecond)
	before := len(*measured)
	if want := fmt.Sprint([]time.Duration{60 * time.Millisecond, 60 * time.Millisecond}); fmt.Sprint((*measured)[before-2:]) != want {
		t.Fatalf("measured %v, want %v", *measured, want)
	}
	v.Tick(now.Add(2 * time.Second))
	for tick := 5; tick < 8; tick++ {
		answered(tick, time.Millisecond)
	}
	if len(*measured) != before {
		t.Errorf("measured %v after a probe without an answer", (*measured)[before:])
	}
	for tick := 8; tick < 20; tick++ {
		answered(tick, 50*time.Millisecond)
	}
	if len(*measured) == before {
		t.Error("nothing is measured after the answers have come in time again")
	}
}

// Guards against a region that is never measured because none of its members is a probe target.
func TestRegionsWithoutProbeTargetsAreProbed(t *testing.T) {
	const size = 60
	now := time.Now()
	var members []chivemember.Member
	for i := range size {
		name := fmt.Sprintf("n%d", i)
		members = append(members, chivemember.Member{Name: name, Address: name, Region: fmt.Sprintf("r%d", i*6/size), State: chivemember.Alive})
	}
	for _, observed := range []bool{true, false} {
		v := chivemember.NewView(members[0], now)
		if observed {
			v.OnReply(func(string, time.Duration) {})
		}
		v.Receive(now, "n1", chivemember.News{Members: members[1:]})
		regions := make(map[string]bool)
		for tick := range 4 {
			for _, e := range v.Tick(now.Add(time.Duration(tick) * chivemember.TickEvery)) {
				if _, ok := e.Message.(chivemember.Probe); ok {
					for _, m := range members[1:] {
						if m.Address == e.To {
							regions[m.Region] = true
						}
					}
				}
			}
		}
		if all := len(regions) >= 5; all != observed {
			t.Errorf("members in %d regions were probed, distances measured: %v", len(regions), observed)
		}
	}
}
