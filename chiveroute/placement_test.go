package chiveroute_test

import (
	"fmt"
	"testing"

	"chivedrift/chivemember"
	"chivedrift/chiveroute"

	"pgregory.net/rapid"
)

func members(count int) []chivemember.Member {
	var list []chivemember.Member
	for i := range count {
		list = append(list, chivemember.Member{Name: fmt.Sprintf("n%d", i), Region: fmt.Sprintf("r%d", i%2), State: chivemember.Alive})
	}
	return list
}

func keys(count int) []chiveroute.Key {
	var list []chiveroute.Key
	for i := range count {
		list = append(list, chiveroute.NewKey(fmt.Sprintf("k%d", i), fmt.Sprintf("r%d", i%2)))
	}
	return list
}

// TestPlacementIsEvenAndAgreed holds that no node keeps more than its share, that keys stay in their region, and that
// the order in which members and keys are listed changes nothing.
func TestPlacementIsEvenAndAgreed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.IntRange(2, 60).Draw(t, "nodes")
		count := rapid.IntRange(1, 120).Draw(t, "keys")
		fleet, list := members(nodes), keys(count)
		placed := chiveroute.NewPlacement(list, fleet)
		mixed := chiveroute.NewPlacement(rapid.Permutation(list).Draw(t, "order of keys"), rapid.Permutation(fleet).Draw(t, "order of nodes"))
		kept := make(map[string]int)
		for i, k := range list {
			first := placed.Owners(k.ID())[0]
			if other := mixed.Owners(k.ID())[0]; other.Name != first.Name {
				t.Fatalf("%s is kept by %s and by %s", k.ID(), first.Name, other.Name)
			}
			if first.Region != fmt.Sprintf("r%d", i%2) {
				t.Fatalf("%s is kept outside its region", k.ID())
			}
			kept[first.Name]++
		}
		perRegion, nodesInRegion := (count+1)/2, nodes/2
		for name, n := range kept {
			if n > (perRegion+nodesInRegion-1)/nodesInRegion {
				t.Fatalf("%s keeps %d of %d keys on %d nodes", name, n, count, nodes)
			}
		}
	})
}

// Guards against the loss of one node that moves most keys.
func TestLossOfANodeMovesFewKeys(t *testing.T) {
	fleet, list := members(330), keys(80)
	before := chiveroute.NewPlacement(list, fleet)
	most := 0
	for lost := range fleet {
		rest := append(append([]chivemember.Member(nil), fleet[:lost]...), fleet[lost+1:]...)
		after := chiveroute.NewPlacement(list, rest)
		moved := 0
		for _, k := range list {
			if before.Owners(k.ID())[0].Name != after.Owners(k.ID())[0].Name {
				moved++
			}
		}
		most = max(most, moved)
	}
	if most > 6 {
		t.Errorf("the loss of one of 330 nodes moved %d of 80 keys", most)
	}
	t.Logf("the loss of one of 330 nodes moves at most %d of 80 keys", most)
}
