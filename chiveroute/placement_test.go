package chiveroute_test

import (
	"fmt"
	"testing"

	"chivedrift/chivemember"
	"chivedrift/chiveroute"

	"pgregory.net/rapid"
)

func newMembers(count int) []chivemember.Member {
	var members []chivemember.Member
	for i := range count {
		members = append(members, chivemember.Member{Name: fmt.Sprintf("n%d", i), Region: fmt.Sprintf("r%d", i%2), State: chivemember.Alive})
	}
	return members
}

func newKeys(count int) []chiveroute.Key {
	var keys []chiveroute.Key
	for i := range count {
		keys = append(keys, chiveroute.NewKey(fmt.Sprintf("k%d", i), fmt.Sprintf("r%d", i%2)))
	}
	return keys
}

// TestPlacementIsEvenAndIndependentOfOrder checks that no node owns more than its share, that keys stay in their
// region, and that the order of members and keys does not matter.
func TestPlacementIsEvenAndIndependentOfOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.IntRange(2, 60).Draw(t, "nodes")
		count := rapid.IntRange(1, 120).Draw(t, "keys")
		members, keys := newMembers(nodes), newKeys(count)
		placement := chiveroute.NewPlacement(keys, members)
		shuffled := chiveroute.NewPlacement(rapid.Permutation(keys).Draw(t, "order of keys"), rapid.Permutation(members).Draw(t, "order of nodes"))
		keyCounts := make(map[string]int)
		for i, k := range keys {
			first := placement.Owners(k.ID())[0]
			if other := shuffled.Owners(k.ID())[0]; other.Name != first.Name {
				t.Fatalf("key %s is owned by %s and by %s", k.ID(), first.Name, other.Name)
			}
			if first.Region != fmt.Sprintf("r%d", i%2) {
				t.Fatalf("key %s is owned by a node outside its region", k.ID())
			}
			keyCounts[first.Name]++
		}
		perRegion, nodesInRegion := (count+1)/2, nodes/2
		for name, n := range keyCounts {
			if n > (perRegion+nodesInRegion-1)/nodesInRegion {
				t.Fatalf("%s owns %d of %d keys on %d nodes", name, n, count, nodes)
			}
		}
	})
}

// Guards against the loss of one node moving most keys.
func TestNodeLossMovesFewKeys(t *testing.T) {
	members, keys := newMembers(330), newKeys(80)
	before := chiveroute.NewPlacement(keys, members)
	maxMoved := 0
	for removed := range members {
		remaining := append(append([]chivemember.Member(nil), members[:removed]...), members[removed+1:]...)
		after := chiveroute.NewPlacement(keys, remaining)
		moved := 0
		for _, k := range keys {
			if before.Owners(k.ID())[0].Name != after.Owners(k.ID())[0].Name {
				moved++
			}
		}
		maxMoved = max(maxMoved, moved)
	}
	if maxMoved > 6 {
		t.Errorf("the loss of one of 330 nodes moved %d of 80 keys", maxMoved)
	}
	t.Logf("the loss of one of 330 nodes moves at most %d of 80 keys", maxMoved)
}
