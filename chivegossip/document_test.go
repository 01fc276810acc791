//go:build !race

package chivegossip_test

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"chivedrift/chivedirectory"
	"chivedrift/chivegossip"
	"chivedrift/chivelog"
	"chivedrift/chivemember"
	"chivedrift/chivestand"
	"chivedrift/chivetable"
	"chivedrift/chivewire"
)

const (
	// slowLink is the slowest link of the users' VMs, 10 Mbit/s, in bytes per second.
	slowLink = 10_000_000 / 8
	// largeFleet is the size of the users' fleets today.
	largeFleet = 78
	// maxRolloutTime is how long a change may take on such fleets from its acknowledgement until it is in force, less
	// one second for the store and the readers.
	maxRolloutTime = 2 * time.Second
)

// routeDocument is a route in an operator's document: random names between fields that repeat.
type routeDocument struct {
	Name      string
	Host      string
	Prefix    string
	Kind      string
	TimeoutMs float64
	TargetMs  float64
	Priority  int
	Backend   string
	Attempts  int
	Affinity  bool
	Resumable bool
	PauseMs   float64
}

type document struct {
	Version int64           `json:"version"`
	Routes  []routeDocument `json:"routes"`
}

// newDocument returns a version with a number of routes; two versions with the same seed share their first routes.
func newDocument(t *testing.T, version int64, routes int, seed uint64) []byte {
	t.Helper()
	random := rand.New(rand.NewPCG(seed, 1))
	randomName := func() string {
		return fmt.Sprintf("%c%c%c%c%d", 97+random.IntN(26), 97+random.IntN(26), 97+random.IntN(26), 97+random.IntN(26), random.IntN(1000))
	}
	d := document{Version: version}
	for range routes {
		d.Routes = append(d.Routes, routeDocument{
			Name: "r-" + randomName(), Host: randomName() + ".example", Prefix: "/" + randomName() + "/", Kind: "idempotent", TimeoutMs: 1000, TargetMs: 120,
			Priority: 2, Backend: "studio", Attempts: 2,
		})
	}
	data, err := json.Marshal(d)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func decodeDocument(data []byte) (*chivetable.Table, error) {
	var d document
	if err := json.Unmarshal(data, &d); err != nil {
		return nil, err
	}
	spec := chivetable.Spec{Version: d.Version, Pools: []chivetable.Pool{{Name: "studio"}}}
	for _, r := range d.Routes {
		spec.Routes = append(spec.Routes, chivetable.Route{Name: r.Name, Host: r.Host, Prefix: r.Prefix, Shares: []chivetable.Share{{Pool: "studio", Weight: 1}}})
	}
	return chivetable.New(spec)
}

// fleetNode is a node of a fleet on slow links.
type fleetNode struct {
	mesh      *chivewire.Mesh
	members   *chivemember.Service
	tables    *chivetable.Service
	endpoints *fakeEndpoints
	gossip    *chivegossip.Service
}

// staticVMs is a fixed list of VMs, in place of the platform's.
type staticVMs []chivelog.VM

func (vms staticVMs) VMs(context.Context) ([]chivelog.VM, error) { return vms, nil }

// newFleet starts a fleet in a synctest bubble and waits until all nodes know each other.
func newFleet(t *testing.T, count, bytesPerSecond int) (*chivestand.Network, []*fleetNode) {
	t.Helper()
	network := chivestand.NewNetwork()
	network.LimitLinks(bytesPerSecond)
	var all staticVMs
	for i := range count {
		address := fmt.Sprintf("10.%d.0.%d:82", i%5, i)
		all = append(all, chivelog.VM{Name: address, Address: address, Region: "r", Kind: chivelog.KindEntry, State: chivelog.StateLive})
	}
	fleet := make([]*fleetNode, count)
	for i, vm := range all {
		fleet[i] = startFleetNode(t, network, vm, all)
	}
	time.Sleep(15 * time.Second)
	for _, n := range fleet {
		if len(n.members.Members()) != count {
			t.Fatalf("a node knows %d of %d nodes", len(n.members.Members()), count)
		}
	}
	return network, fleet
}

func startFleetNode(t *testing.T, network *chivestand.Network, vm chivelog.VM, all staticVMs) *fleetNode {
	t.Helper()
	logger := slog.New(slog.DiscardHandler)
	n := &fleetNode{mesh: chivewire.NewMesh(vm.Address, network)}
	self := chivemember.Member{Name: vm.Address, Address: vm.Address, Region: "r", Incarnation: 1}
	n.members = chivemember.NewService(self, n.mesh, all, logger)
	n.tables = chivetable.NewService(decodeDocument, func(chivelog.KeyedRecord) bool { return true }, logger)
	n.endpoints = &fakeEndpoints{d: chivedirectory.New(time.Second)}
	n.gossip = chivegossip.New(chivegossip.Options{Mesh: n.mesh, Tables: n.tables, Endpoints: n.endpoints, Logger: logger})
	n.tables.OnChange(func(*chivetable.Table) { n.gossip.Learnt() })
	n.endpoints.onChange = n.gossip.Learnt
	n.members.OnChange(n.gossip.SetMembers)
	for _, s := range []interface {
		Start(ctx context.Context) error
		Stop(ctx context.Context) error
	}{n.mesh, n.members, n.gossip} {
		if err := s.Start(context.Background()); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { s.Stop(context.Background()) })
	}
	return n
}

// learnFromStore gives a document to the nodes that read the store.
func learnFromStore(fleet []*fleetNode, document []byte) {
	for _, n := range fleet {
		if !n.gossip.Held() {
			n.tables.Learn(document, "store")
		}
	}
}

// countBehind counts the nodes on which an older version is in force.
func countBehind(fleet []*fleetNode, version int64) int {
	count := 0
	for _, n := range fleet {
		if n.tables.Version() < version {
			count++
		}
	}
	return count
}

// checkAllKnown fails the test if a node believes a live node to be dead.
func checkAllKnown(t *testing.T, fleet []*fleetNode, after time.Duration) {
	t.Helper()
	for _, n := range fleet {
		if count := len(n.members.Members()); count != len(fleet) {
			t.Fatalf("%v after the change %s knows %d of %d nodes", after, n.mesh.Self(), count, len(fleet))
		}
	}
}

// Guards against links saturated by many simultaneous copies of a large configuration.
func TestLargeConfigurationTakesEffectInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, fleet := newFleet(t, largeFleet, slowLink)
		learnFromStore(fleet, newDocument(t, 3, 49, 1))
		time.Sleep(10 * time.Second)
		if n := countBehind(fleet, 3); n != 0 {
			t.Fatalf("%d nodes do not have the first version", n)
		}
		learnFromStore(fleet, newDocument(t, 5, 1449, 1))
		start := time.Now()
		for time.Since(start) < 1250*time.Millisecond {
			time.Sleep(50 * time.Millisecond)
			checkAllKnown(t, fleet, time.Since(start))
		}
		learnFromStore(fleet, newDocument(t, 9, 1450, 1))
		for time.Since(start) < maxRolloutTime {
			time.Sleep(50 * time.Millisecond)
			checkAllKnown(t, fleet, time.Since(start))
		}
		if n := countBehind(fleet, 5); n != 0 {
			t.Errorf("%d of %d nodes still use a version before 5, %v after the readers had it", n, len(fleet), maxRolloutTime)
		}
		for time.Since(start) < 1250*time.Millisecond+maxRolloutTime {
			time.Sleep(50 * time.Millisecond)
			checkAllKnown(t, fleet, time.Since(start))
		}
		if n := countBehind(fleet, 9); n != 0 {
			t.Errorf("%d of %d nodes still use a version before 9, %v after the readers had it", n, len(fleet), maxRolloutTime)
		}
	})
}

// Guards against a change that comes into force late because most of the readers fail while they pass it on; receivers
// turn to other sources after 0.4 s.
func TestLargeConfigurationSpreadsWhenReadersFail(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network, fleet := newFleet(t, largeFleet, slowLink)
		learnFromStore(fleet, newDocument(t, 5, 1449, 1))
		time.Sleep(30 * time.Millisecond)
		blocked := make(map[string]bool)
		var reachable []*fleetNode
		for _, n := range fleet {
			if !n.gossip.Held() && len(blocked) < chivegossip.Readers-2 {
				blocked[n.mesh.Self()] = true
				continue
			}
			reachable = append(reachable, n)
		}
		network.Block(func(from, to string) bool { return blocked[from] || blocked[to] })
		if lacking := countBehind(reachable, 5); lacking < len(reachable)/2 {
			t.Fatalf("only %d of %d nodes still lack the version when the readers fail", lacking, len(reachable))
		}
		time.Sleep(maxRolloutTime)
		if n := countBehind(reachable, 5); n != 0 {
			t.Errorf("%d of %d reachable nodes are behind %v after the readers failed", n, len(reachable), maxRolloutTime)
		}
	})
}

// Guards against changes that come into force late, or cost more copies than there are changes, when they follow each
// other faster than each reaches all nodes. A newer version may replace an older one.
func TestRapidChangesOfALargeConfiguration(t *testing.T) {
	const (
		changes  = 8
		interval = 100 * time.Millisecond
	)
	synctest.Test(t, func(t *testing.T) {
		_, fleet := newFleet(t, largeFleet, slowLink)
		documents := make([][]byte, changes)
		for i := range documents {
			documents[i] = newDocument(t, int64(i+1), 1449+i, 1)
		}
		start := time.Now()
		delays := make([]time.Duration, changes)
		for step := 0; time.Since(start) < 5*time.Second; step++ {
			if change := int(time.Since(start) / interval); change < changes && time.Since(start)%interval == 0 {
				learnFromStore(fleet, documents[change])
			}
			time.Sleep(10 * time.Millisecond)
			for i := range delays {
				if since := time.Since(start) - time.Duration(i)*interval; since > 0 && countBehind(fleet, int64(i+1)) > 0 {
					delays[i] = since
				}
			}
		}
		t.Logf("time until each version was in force everywhere: %v", delays)
		for i, delay := range delays {
			if delay > maxRolloutTime {
				t.Errorf("version %d was in force everywhere only after %v", i+1, delay)
			}
		}
		for _, n := range fleet {
			if copies := n.tables.Counts().Copies; copies > changes+1 {
				t.Errorf("%s received %d copies for %d changes", n.mesh.Self(), copies, changes)
			}
		}
	})
}

// Guards against a node started during a rollout that does not get the new version soon after the others know the node.
func TestNodeStartedDuringARollout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network, fleet := newFleet(t, largeFleet, slowLink)
		all := staticVMs{}
		for _, n := range fleet {
			address := n.mesh.Self()
			all = append(all, chivelog.VM{Name: address, Address: address, Region: "r", Kind: chivelog.KindEntry, State: chivelog.StateLive})
		}
		newVM := chivelog.VM{Name: "10.9.0.9:82", Address: "10.9.0.9:82", Region: "r", Kind: chivelog.KindEntry, State: chivelog.StateLive}
		learnFromStore(fleet, newDocument(t, 5, 1449, 1))
		started := startFleetNode(t, network, newVM, append(all, newVM))
		start := time.Now()
		for started.tables.Version() < 5 {
			if time.Since(start) > maxRolloutTime {
				t.Fatalf("node has no configuration %v after its start", maxRolloutTime)
			}
			time.Sleep(10 * time.Millisecond)
		}
		t.Logf("in force %v after its start", time.Since(start))
	})
}

// Guards against receiving the same endpoint changes from two readers.
func TestEndpointChangesAreReceivedOnce(t *testing.T) {
	const endpoints = 600
	synctest.Test(t, func(t *testing.T) {
		_, fleet := newFleet(t, largeFleet, slowLink)
		for _, n := range fleet {
			if !n.gossip.Held() {
				n.endpoints.Learn(newChanges(endpoints), "store")
			}
		}
		time.Sleep(time.Second)
		for _, n := range fleet {
			if newest := n.endpoints.Newest(); newest != endpoints-1 {
				t.Fatalf("%s knows changes up to %d after a second", n.mesh.Self(), newest)
			}
		}
		time.Sleep(time.Second)
		if sent := sentBytes(fleet, "changes_answer"); sent > 5_500_000 {
			t.Errorf("%d bytes of changes sent, want at most one copy per node plus a fifth", sent)
		}
	})
}

// sentBytes returns how many bytes of a kind of message the nodes sent.
func sentBytes(fleet []*fleetNode, kind string) int64 {
	var total int64
	for _, n := range fleet {
		sent, _ := n.mesh.Traffic()
		total += sent[kind].Bytes
	}
	return total
}
