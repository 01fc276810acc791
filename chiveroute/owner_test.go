package chiveroute_test

import (
	"fmt"
	"testing"

	"chivedrift/chivemember"
	"chivedrift/chiveroute"
)

// Guards against an owner that misses that it now owns a key, or takes each other change of the fleet for that.
func TestOneNodeBecomesOwnerOfAKey(t *testing.T) {
	var members []chivemember.Member
	for i := range 5 {
		name := fmt.Sprintf("n%d", i)
		members = append(members, chivemember.Member{Name: name, Address: name, State: chivemember.Alive})
	}
	if _, ok := chiveroute.Owner("key", nil); ok {
		t.Error("a key has an owner without members")
	}
	for end := 1; end <= len(members); end++ {
		before, after := members[:end-1], members[:end]
		owner, _ := chiveroute.Owner("key", after)
		previous, _ := chiveroute.Owner("key", before)
		for _, m := range members {
			if becomes := chiveroute.BecomesOwner(m.Address, "key", before, after); becomes != (m.Address == owner && owner != previous) {
				t.Errorf("%s becomes the owner: %t; the owner was %q and is %q", m.Address, becomes, previous, owner)
			}
		}
	}
}
