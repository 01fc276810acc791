package chivegossip_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"chivedrift/chivedirectory"
	"chivedrift/chivegossip"
	"chivedrift/chivelog"
	"chivedrift/chivestand"
	"chivedrift/chivewire"
)

// randomChanges returns the registrations of a number of engines.
func randomChanges(engines int) chivedirectory.Update {
	random := rand.New(rand.NewPCG(1, 1))
	changes := make([]chivedirectory.Change, engines)
	for i := range changes {
		changes[i] = chivedirectory.Change{Position: chivelog.Position(i + 1), Endpoint: chivedirectory.Endpoint{
			ID: fmt.Sprintf("i-%010x", random.Uint64()>>24), Pool: "drift-pool", Address: fmt.Sprintf("10.%d.%d.%d:8304", random.IntN(5), random.IntN(250), random.IntN(250)),
			FailureDomain: fmt.Sprintf("lj-%c", 'a'+rune(random.IntN(5))), Slots: 64, Born: 1_768_600_000_000 + int64(random.IntN(100_000)),
		}}
	}
	return chivedirectory.Update{Changes: changes}
}

// Guards against megabytes of endpoint changes to each node when a large fleet starts.
func TestManyChangesAreSentCompressed(t *testing.T) {
	const engines, bytesPerEngine = 10_000, 40
	nodes := newNodes(t, 2)
	nodes[0].endpoints.Learn(randomChanges(engines), "store")
	nodes[0].service.Learnt()
	eventually(t, "the peer knows all engines", func() bool { return nodes[1].endpoints.Newest() == engines })
	_, received := nodes[1].mesh.Traffic()
	total := int64(0)
	for _, r := range received {
		total += r.Bytes
	}
	t.Logf("%d bytes per engine", total/engines)
	if total > bytesPerEngine*engines {
		t.Errorf("received %d bytes for %d engines, want at most %d each", total, engines, bytesPerEngine)
	}
}

// Guards against a node that learns of no endpoints during an upgrade, because its peers are of an earlier release and
// do not answer requests for compressed changes.
func TestUnansweredRequestIsRepeatedUncompressed(t *testing.T) {
	n := newNodes(t, 1)[0]
	earlier := chivewire.NewMesh(chivestand.FreeAddress(), chivewire.TCP{})
	changes := randomChanges(200)
	chivewire.Receive(earlier, chivewire.KindChangesAsk, func(from string, request chivegossip.ChangesAsk) {
		_ = earlier.Send(from, chivewire.KindChangesAnswer, changes)
	})
	if err := earlier.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	defer earlier.Stop(t.Context())
	eventually(t, "the node knows the endpoints", func() bool {
		if err := earlier.Send(n.mesh.Self(), chivewire.KindDigestAnswer, chivegossip.DigestAnswer{Table: 1, Offset: 200}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(250 * time.Millisecond)
		return n.endpoints.Newest() == 200
	})
}

// eventually waits until a condition holds.
func eventually(t *testing.T, description string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); !condition(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("condition not met within 5 s: %s", description)
		}
	}
}
