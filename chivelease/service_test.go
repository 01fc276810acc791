//go:build !race

package chivelease_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"chivedrift/chivelease"
	"chivedrift/chivelog"
	"chivedrift/chivestand"
)

// histories is the number of random fault sequences that TestAtMostOneNodeActs runs.
var histories = flag.Int("histories", 150, "number of random fault sequences in TestAtMostOneNodeActs")

const term = 3 * time.Second

// node is a node of the fleet; it keeps its name when its process restarts.
type node struct {
	name        string
	lease       *chivelease.Service
	incarnation int64
	rank        int
}

// fleet is a set of nodes that compete for one lease.
type fleet struct {
	t         *testing.T
	topic     *chivestand.Topic
	nodes     []*node
	startedAt time.Time
	// processes holds the process that has used each observed token; highestToken is the highest of these tokens.
	processes    map[int64]string
	highestToken int64
	// lastActedAt holds, by name, when each node was last seen able to act; lastHolder is the name of the last such
	// node.
	lastActedAt map[string]time.Time
	lastHolder  string
}

func newFleet(t *testing.T, size int, seed uint64) *fleet {
	t.Helper()
	f := &fleet{t: t, topic: chivestand.NewTopic(seed), startedAt: time.Now(), processes: make(map[int64]string), lastActedAt: make(map[string]time.Time)}
	for i := range size {
		n := &node{name: fmt.Sprintf("10.0.0.%d:1", i), rank: i}
		f.nodes = append(f.nodes, n)
		f.start(n)
	}
	return f
}

func (f *fleet) start(n *node) {
	f.t.Helper()
	n.incarnation++
	n.lease = chivelease.New(chivelease.Options{
		Topic: f.topic.For(n.name), Self: n.name, Incarnation: n.incarnation, Term: term, Rank: func() (int, bool) { return n.rank, true },
		SinceBoot: func() time.Duration { return time.Since(f.startedAt) }, Logger: slog.New(slog.DiscardHandler),
	})
	if err := n.lease.Start(context.Background()); err != nil {
		f.t.Fatal(err)
	}
}

// crash stops a node without a release of the lease.
func (f *fleet) crash(n *node) {
	f.topic.SetNodeFaults(func(name string) chivestand.TopicFaults { return chivestand.TopicFaults{Down: name == n.name} })
	n.lease.Stop(context.Background())
	f.topic.SetNodeFaults(nil)
}

func (f *fleet) stop() {
	for _, n := range f.nodes {
		n.lease.Stop(context.Background())
	}
}

// check verifies that at most one node may act, and that its token has been used by no other process and is not lower
// than earlier ones. It also verifies that a node which acts again after a tenure of another node has waited one term.
// It returns the node that may act, if any.
func (f *fleet) check() *node {
	f.t.Helper()
	var acting *node
	for _, n := range f.nodes {
		tenure, ok := n.lease.Tenure()
		if !ok {
			continue
		}
		if acting != nil {
			f.t.Errorf("%v after the start both %s and %s may act", time.Since(f.startedAt), acting.name, n.name)
		}
		acting = n
		process := fmt.Sprintf("%s/%d", n.name, n.incarnation)
		if before := f.processes[tenure.Token]; before != "" && before != process {
			f.t.Errorf("token %d belongs to %s and to %s", tenure.Token, before, process)
		}
		if tenure.Token < f.highestToken {
			f.t.Errorf("%s acts under token %d after %d was used", process, tenure.Token, f.highestToken)
		}
		f.processes[tenure.Token], f.highestToken = process, tenure.Token
	}
	if acting == nil {
		return nil
	}
	if before, ok := f.lastActedAt[acting.name]; ok && f.lastHolder != acting.name && time.Since(before) < term {
		f.t.Errorf("%s acts again %v after its last tenure, with a tenure of %s in between", acting.name, time.Since(before), f.lastHolder)
	}
	f.lastActedAt[acting.name], f.lastHolder = time.Now(), acting.name
	return acting
}

// checkFor calls check repeatedly for a duration.
func (f *fleet) checkFor(duration time.Duration) {
	f.t.Helper()
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(25 * time.Millisecond) {
		f.check()
	}
}

// awaitHolder waits until a node other than the given one may act.
func (f *fleet) awaitHolder(timeout time.Duration, other *node) *node {
	f.t.Helper()
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(25 * time.Millisecond) {
		if n := f.check(); n != nil && n != other {
			return n
		}
	}
	f.t.Fatalf("nobody else held the lease within %v", timeout)
	return nil
}

// Guards against a lease that no node takes over from a crashed holder.
func TestCrashedHolderIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, 1)
		defer f.stop()
		holder := f.awaitHolder(term+time.Second, nil)
		f.crash(holder)
		f.awaitHolder(term+4*time.Second, holder)
	})
}

// Guards against a planned stop after which the lease stays taken until its term expires.
func TestReleaseHandsOverBeforeTheTermExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, 1)
		defer f.stop()
		holder := f.awaitHolder(term+time.Second, nil)
		f.checkFor(time.Second)
		holder.lease.Release(context.Background())
		f.awaitHolder(2500*time.Millisecond, holder)
	})
}

// Guards against a holder that loses access to the store and still acts when another node takes over.
func TestHolderStopsBeforeItsTermWhenItCannotRenew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, 1)
		defer f.stop()
		holder := f.awaitHolder(term+time.Second, nil)
		f.topic.SetNodeFaults(func(name string) chivestand.TopicFaults {
			return chivestand.TopicFaults{Down: name == holder.name, Silent: true}
		})
		f.awaitHolder(2*term, holder)
		f.checkFor(2 * term)
	})
}

// Guards against a former holder that claims the lease again within one term, when its delayed calls could still be
// executed after those of its successor.
func TestFormerHolderWaitsATerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, 1)
		defer f.stop()
		holder := f.awaitHolder(term+time.Second, nil)
		tenure, _ := holder.lease.Tenure()
		holder.lease.Fenced(tenure.Token)
		lost := time.Now()
		for time.Since(lost) < term {
			if f.check() == holder {
				t.Fatalf("held again %v after the refusal", time.Since(lost))
			}
			time.Sleep(25 * time.Millisecond)
		}
	})
}

// Guards against a former holder that claims the lease again within one term of its expired tenure, because its
// successor has released the lease after a short tenure.
func TestFormerHolderWaitsATermAfterAShortTenure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, 1)
		defer f.stop()
		holder := f.awaitHolder(term+time.Second, nil)
		for _, n := range f.nodes {
			n.rank = 0
		}
		// The former holder regains access to the store while its successor holds the lease, which is released soon
		// after.
		f.topic.SetNodeFaults(func(name string) chivestand.TopicFaults { return chivestand.TopicFaults{Down: name == holder.name} })
		next := f.awaitHolder(term+4*time.Second, holder)
		f.topic.SetNodeFaults(nil)
		f.checkFor(400 * time.Millisecond)
		next.lease.Release(context.Background())
		f.checkFor(2 * term)
	})
}

// Guards against writes of a former holder that take effect after another node has taken over.
func TestOnlyTheHolderWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, 1)
		defer f.stop()
		holder := f.awaitHolder(term+time.Second, nil)
		tenure, _ := holder.lease.Tenure()
		if err := holder.lease.Write(context.Background(), tenure.Token, "k", []byte("first")); err != nil {
			t.Fatal(err)
		}
		f.crash(holder)
		next := f.awaitHolder(term+4*time.Second, holder)
		if got := string(next.lease.Value("k")); got != "first" {
			t.Errorf("the successor reads %q", got)
		}
		if err := holder.lease.Write(context.Background(), tenure.Token, "k", []byte("late")); !errors.Is(err, chivelease.ErrNotHeld) {
			t.Errorf("the former holder's write ended with %v", err)
		}
	})
}

// refusingTopic refuses to append values under one key.
type refusingTopic struct {
	chivelog.ConditionalTopic
	key string
}

func (r *refusingTopic) Append(ctx context.Context, end chivelog.Position, key string, value []byte) (chivelog.Position, error) {
	if key == r.key {
		return 0, chivelog.ErrNotAppended
	}
	return r.ConditionalTopic.Append(ctx, end, key, value)
}

// Guards against a tenure that is lost because failing writes of values delay its renewal.
func TestFailingWritesDoNotDelayTheRenewal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		startedAt := time.Now()
		lease := chivelease.New(chivelease.Options{
			Topic: &refusingTopic{chivestand.NewTopic(1).For("a"), "k"}, Self: "a", Incarnation: 1, Term: term, Rank: func() (int, bool) { return 0, true },
			SinceBoot: func() time.Duration { return time.Since(startedAt) }, Logger: slog.New(slog.DiscardHandler),
		})
		if err := lease.Start(context.Background()); err != nil {
			t.Fatal(err)
		}
		defer lease.Stop(context.Background())
		time.Sleep(2 * term)
		tenure, _ := lease.Tenure()
		for range 80 {
			if err := lease.Write(context.Background(), tenure.Token, "k", []byte("v")); !errors.Is(err, chivelog.ErrNotAppended) {
				t.Fatalf("the write ended with %v", err)
			}
			time.Sleep(250 * time.Millisecond)
		}
	})
}

// Guards against two nodes that act at once, and tokens that repeat or decrease, under random outages, lost and late
// calls, restores of the store, crashes and stops.
func TestAtMostOneNodeActs(t *testing.T) {
	for seed := range uint64(*histories) {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, 3, seed)
			defer f.stop()
			random := rand.New(rand.NewPCG(seed, 2))
			for range 25 {
				f.injectFault(random)
				f.checkFor(time.Duration(random.Int64N(int64(2 * time.Second))))
			}
			f.topic.SetFaults(chivestand.TopicFaults{})
			f.topic.SetNodeFaults(nil)
			f.awaitHolder(5*term, nil)
			if t.Failed() {
				t.Logf("seed %d", seed)
			}
		})
		if t.Failed() {
			return
		}
	}
}

// injectFault applies a random fault to the store, or restarts, crashes or fences a random node or lets it write.
func (f *fleet) injectFault(random *rand.Rand) {
	n := f.nodes[random.IntN(len(f.nodes))]
	switch random.IntN(9) {
	case 0:
		f.topic.SetFaults(chivestand.TopicFaults{Down: true, Silent: random.IntN(2) == 0})
	case 1:
		f.topic.SetFaults(chivestand.TopicFaults{LostShare: 0.5, LateShare: 0.5})
	case 2, 3:
		f.topic.SetFaults(chivestand.TopicFaults{})
	case 4:
		f.topic.Restore(random.IntN(6))
	case 5:
		n.lease.Stop(context.Background())
		f.start(n)
	case 6:
		f.crash(n)
		f.start(n)
	case 7:
		if tenure, ok := n.lease.Tenure(); ok {
			_ = n.lease.Write(context.Background(), tenure.Token, "k", []byte{byte(random.IntN(256))})
		}
	case 8:
		if tenure, ok := n.lease.Tenure(); ok {
			n.lease.Fenced(tenure.Token)
		}
	}
}
