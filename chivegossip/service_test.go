package chivegossip_test

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"time"

	"chivedrift/chivedirectory"
	"chivedrift/chivegossip"
	"chivedrift/chivelog"
	"chivedrift/chivemember"
	"chivedrift/chivestand"
	"chivedrift/chivewire"
)

// fakeTables holds a version; its document is the version's number.
type fakeTables struct {
	mu      sync.Mutex
	version int64
}

func (f *fakeTables) Version() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.version
}

func (f *fakeTables) Document() ([]byte, int64) {
	return fmt.Appendf(nil, "%d", f.Version()), f.Version()
}

func (f *fakeTables) Learn(document []byte, _ string) {
	var version int64
	fmt.Sscanf(string(document), "%d", &version)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version = max(f.version, version)
}

func (f *fakeTables) Hear(int64, string) {}

// fakeEndpoints is a directory guarded by a mutex.
type fakeEndpoints struct {
	mu sync.Mutex
	d  *chivedirectory.Directory
	// onChange is called after each change.
	onChange func()
}

func (f *fakeEndpoints) Newest() chivelog.Position {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.d.Newest()
}

func (f *fakeEndpoints) Update(after chivelog.Position) chivedirectory.Update {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.d.Update(time.Now(), after)
}

func (f *fakeEndpoints) Learn(update chivedirectory.Update, _ string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if changed := f.d.Learn(time.Now(), update); changed && f.onChange != nil {
		f.onChange()
	}
}

func (f *fakeEndpoints) Staleness() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.d.Staleness(time.Now())
}

func (f *fakeEndpoints) Answers(within time.Duration) []time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.d.Answers(time.Now(), within)
}

func (f *fakeEndpoints) HearAnswers(asOf time.Time, ages []time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	times := make([]time.Time, 0, len(ages))
	for _, age := range ages {
		times = append(times, asOf.Add(-age))
	}
	f.d.HearAnswers(times)
}

type fakeMembers []chivemember.Member

func (f fakeMembers) Members() []chivemember.Member { return f }

type node struct {
	mesh      *chivewire.Mesh
	service   *chivegossip.Service
	tables    *fakeTables
	endpoints *fakeEndpoints
}

func newNodes(t *testing.T, count int) []*node {
	t.Helper()
	addresses := make([]string, count)
	for i := range addresses {
		addresses[i] = chivestand.FreeAddress()
	}
	return newNodesAt(t, addresses, chivewire.TCP{}, 0, nil)
}

// newNodesOn starts nodes on a simulated network.
func newNodesOn(t *testing.T, count int, network chivewire.Network) []*node {
	t.Helper()
	return newNodesAt(t, simulatedAddresses(count), network, 0, nil)
}

// simulatedAddresses returns addresses of nodes on a simulated network.
func simulatedAddresses(count int) []string {
	addresses := make([]string, count)
	for i := range addresses {
		addresses[i] = fmt.Sprintf("10.0.%d.%d:82", i/250, i%250)
	}
	return addresses
}

// newNodesAt starts nodes, one every interval; pickFor returns the source of random numbers of a node, nil stands for the default.
func newNodesAt(t *testing.T, addresses []string, network chivewire.Network, interval time.Duration, pickFor func(address string) func(n int) int) []*node {
	t.Helper()
	var members fakeMembers
	for _, address := range addresses {
		members = append(members, chivemember.Member{Name: address, Address: address, State: chivemember.Alive})
	}
	nodes := make([]*node, len(addresses))
	for i := range nodes {
		mesh := chivewire.NewMesh(members[i].Address, network)
		n := &node{mesh: mesh, tables: &fakeTables{version: 1}, endpoints: &fakeEndpoints{d: chivedirectory.New(time.Second)}}
		options := chivegossip.Options{Mesh: mesh, Tables: n.tables, Endpoints: n.endpoints, Logger: slog.New(slog.DiscardHandler)}
		if pickFor != nil {
			options.Pick = pickFor(members[i].Address)
		}
		n.service = chivegossip.New(options)
		n.service.SetMembers(members)
		for _, s := range []interface {
			Start(ctx context.Context) error
			Stop(ctx context.Context) error
		}{mesh, n.service} {
			if err := s.Start(context.Background()); err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { s.Stop(context.Background()) })
		}
		nodes[i] = n
		time.Sleep(interval)
	}
	return nodes
}

func TestChangesReachEveryNode(t *testing.T) {
	nodes := newNodes(t, 20)
	nodes[3].tables.Learn([]byte("7"), "store")
	nodes[5].endpoints.Learn(chivedirectory.Update{Changes: []chivedirectory.Change{{Position: 4, Endpoint: chivedirectory.Endpoint{ID: "e", Pool: "p", Address: "127.0.0.1:1"}}}}, "store")
	deadline := time.Now().Add(6 * time.Second)
	for _, n := range nodes {
		for n.tables.Version() != 7 || n.endpoints.Newest() != 4 {
			if time.Now().After(deadline) {
				t.Fatalf("a node is still at version %d, offset %d", n.tables.Version(), n.endpoints.Newest())
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// Guards against changes that reach nodes only with the next periodic digest.
func TestReadersPublishToChildrenImmediately(t *testing.T) {
	nodes := newNodes(t, 20)
	nonReaders := awaitNonReaders(t, nodes)
	for _, n := range nodes {
		if !n.service.Held() {
			n.tables.Learn([]byte("7"), "store")
			n.service.Learnt()
		}
	}
	deadline := time.Now().Add(300 * time.Millisecond)
	for _, n := range nonReaders {
		for n.tables.Version() != 7 {
			if time.Now().After(deadline) {
				t.Fatal("a child does not have the version after 0.3 s")
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
}

// awaitNonReaders waits until all nodes but the readers have heard from a peer, and returns them.
func awaitNonReaders(t *testing.T, nodes []*node) []*node {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		var nonReaders []*node
		for _, n := range nodes {
			if n.service.Held() {
				nonReaders = append(nonReaders, n)
			}
		}
		if len(nonReaders) == len(nodes)-chivegossip.Readers {
			return nonReaders
		}
	}
	t.Fatalf("not all of %d nodes except %d readers leave reading to others", len(nodes), chivegossip.Readers)
	return nil
}

// Guards against readers that all read the same records of a busy topic, so that the calls to the store grow with the
// number of readers.
func TestReadsOfABusyTopicAreShared(t *testing.T) {
	nodes := newNodes(t, 8)
	readsPerSecond, hasFastest := 0.0, false
	for _, n := range nodes {
		delay := n.service.ReadPace()
		readsPerSecond += 1 / delay.Seconds()
		hasFastest = hasFastest || delay == 300*time.Millisecond
	}
	if readsPerSecond > 10 || !hasFastest {
		t.Errorf("%.1f reads per second, want at most 10; one reader reads every 300 ms: %v", readsPerSecond, hasFastest)
	}
}

// Guards against changes missed for seconds because the long polls of all readers end at the same moment.
func TestReadersUseDistinctLongPollWaits(t *testing.T) {
	nodes := newNodes(t, 6)
	seen := make(map[time.Duration]bool)
	for _, n := range nodes {
		wait := n.service.ReadWait(true)
		if seen[wait] || wait > 6*700*time.Millisecond {
			t.Errorf("wait of %v after a record, also used by another reader: %v", wait, seen[wait])
		}
		seen[wait] = true
		if round := n.service.ReadWait(false); round != 6*700*time.Millisecond {
			t.Errorf("wait of %v after an empty read, want six intervals", round)
		}
	}
	if !seen[700*time.Millisecond] {
		t.Error("no reader reads again after one interval")
	}
}
