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

// fleetChanges returns the registrations of so many engines.
func fleetChanges(engines int) chivedirectory.Update {
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

// Guards against a start of a large fleet in which each node receives megabytes about its endpoints.
func TestManyChangesGoCompressed(t *testing.T) {
	const engines, bytesAnEngine = 10_000, 40
	nodes := newNodes(t, 2)
	nodes[0].endpoints.Learn(fleetChanges(engines), "store")
	nodes[0].service.Learnt()
	eventually(t, "the peer knows all engines", func() bool { return nodes[1].endpoints.Newest() == engines })
	_, received := nodes[1].mesh.Traffic()
	total := int64(0)
	for _, r := range received {
		total += r.Bytes
	}
	t.Logf("%d bytes an engine", total/engines)
	if total > bytesAnEngine*engines {
		t.Errorf("%d bytes were received for %d engines, at most %d each expected", total, engines, bytesAnEngine)
	}
}

// Guards against a node that never learns of endpoints during an upgrade: one of an earlier release does not answer the newer question.
func TestPeerOfAnEarlierReleaseIsAskedInItsForm(t *testing.T) {
	n := newNodes(t, 1)[0]
	earlier := chivewire.NewMesh(chivestand.FreeAddress(), chivewire.TCP{})
	answers := fleetChanges(200)
	chivewire.Receive(earlier, chivewire.KindChangesAsk, func(from string, ask chivegossip.ChangesAsk) {
		_ = earlier.Send(from, chivewire.KindChangesAnswer, answers)
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

// eventually waits until something holds.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !holds(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within 5 s: %s", what)
		}
	}
}
