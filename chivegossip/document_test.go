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
	// slowLink is the slowest link of the users' VMs, 10 Mbit/s, in bytes a second.
	slowLink = 10_000_000 / 8
	// largeFleet is the size of the users' fleets of today.
	largeFleet = 78
	// inForceWithin is what a change may take from its acknowledgement on such fleets, less a second for the store and the readers.
	inForceWithin = 2 * time.Second
)

// routeDocument is a route in an operator's document: names without a pattern between fields that repeat.
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

// newDocument returns a version with so many routes; two versions of one seed share their first routes.
func newDocument(t *testing.T, version int64, routes int, seed uint64) []byte {
	t.Helper()
	draw := rand.New(rand.NewPCG(seed, 1))
	change := func() string {
		return fmt.Sprintf("%c%c%c%c%d", 97+draw.IntN(26), 97+draw.IntN(26), 97+draw.IntN(26), 97+draw.IntN(26), draw.IntN(1000))
	}
	d := document{Version: version}
	for range routes {
		d.Routes = append(d.Routes, routeDocument{
			Name: "r-" + change(), Host: change() + ".example", Prefix: "/" + change() + "/", Kind: "idempotent", TimeoutMs: 1000, TargetMs: 120,
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

// member is a node of a fleet on slow links: its connections, who it thinks is there, and what it tells its peers.
type member struct {
	mesh      *chivewire.Mesh
	members   *chivemember.Service
	tables    *chivetable.Service
	endpoints *fakeEndpoints
	gossip    *chivegossip.Service
}

// everybody lists all nodes, as the store does.
type everybody []chivelog.VM

func (e everybody) VMs(context.Context) ([]chivelog.VM, error) { return e, nil }

// newFleet starts a fleet in a bubble and waits until all know each other.
func newFleet(t *testing.T, count, bytesPerSecond int) (*chivestand.Network, []*member) {
	t.Helper()
	network := chivestand.NewNetwork()
	network.LimitLinks(bytesPerSecond)
	var all everybody
	for i := range count {
		address := fmt.Sprintf("10.%d.0.%d:82", i%5, i)
		all = append(all, chivelog.VM{Name: address, Address: address, Region: "r", Kind: chivelog.KindEntry, State: chivelog.StateLive})
	}
	fleet := make([]*member, count)
	for i, vm := range all {
		fleet[i] = startMember(t, network, vm, all)
	}
	time.Sleep(15 * time.Second)
	for _, n := range fleet {
		if len(n.members.Members()) != count {
			t.Fatalf("a node knows %d of %d", len(n.members.Members()), count)
		}
	}
	return network, fleet
}

func startMember(t *testing.T, network *chivestand.Network, vm chivelog.VM, all everybody) *member {
	t.Helper()
	logger := slog.New(slog.DiscardHandler)
	n := &member{mesh: chivewire.NewMesh(vm.Address, network)}
	self := chivemember.Member{Name: vm.Address, Address: vm.Address, Region: "r", Incarnation: 1}
	n.members = chivemember.NewService(self, n.mesh, all, logger)
	n.tables = chivetable.NewService(decodeDocument, func(chivelog.KeyedRecord) bool { return true }, logger)
	n.endpoints = &fakeEndpoints{d: chivedirectory.New(time.Second)}
	n.gossip = chivegossip.New(chivegossip.Options{Mesh: n.mesh, Tables: n.tables, Endpoints: n.endpoints, Logger: logger})
	n.tables.OnChange(func(*chivetable.Table) { n.gossip.Learnt() })
	n.endpoints.changed = n.gossip.Learnt
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

// read gives a document to the nodes that read the store.
func read(fleet []*member, document []byte) {
	for _, n := range fleet {
		if !n.gossip.Held() {
			n.tables.Learn(document, "store")
		}
	}
}

// behind counts the nodes at which an older version is in force.
func behind(fleet []*member, version int64) int {
	count := 0
	for _, n := range fleet {
		if n.tables.Version() < version {
			count++
		}
	}
	return count
}

// checkMembers reports nodes that think a living node dead.
func checkMembers(t *testing.T, fleet []*member, after time.Duration) {
	t.Helper()
	for _, n := range fleet {
		if known := len(n.members.Members()); known != len(fleet) {
			t.Fatalf("%v after the change %s knows %d of %d nodes", after, n.mesh.Self(), known, len(fleet))
		}
	}
}

// Guards against slow links saturated by many simultaneous copies of a large configuration.
func TestLargeConfigurationIsInForceInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, fleet := newFleet(t, largeFleet, slowLink)
		read(fleet, newDocument(t, 3, 49, 1))
		time.Sleep(10 * time.Second)
		if n := behind(fleet, 3); n != 0 {
			t.Fatalf("%d nodes without the first version", n)
		}
		read(fleet, newDocument(t, 5, 1449, 1))
		began := time.Now()
		for time.Since(began) < 1250*time.Millisecond {
			time.Sleep(50 * time.Millisecond)
			checkMembers(t, fleet, time.Since(began))
		}
		read(fleet, newDocument(t, 9, 1450, 1))
		for time.Since(began) < inForceWithin {
			time.Sleep(50 * time.Millisecond)
			checkMembers(t, fleet, time.Since(began))
		}
		if n := behind(fleet, 5); n != 0 {
			t.Errorf("%d of %d nodes handle requests by a version before 5 %v after the readers had it", n, len(fleet), inForceWithin)
		}
		for time.Since(began) < 1250*time.Millisecond+inForceWithin {
			time.Sleep(50 * time.Millisecond)
			checkMembers(t, fleet, time.Since(began))
		}
		if n := behind(fleet, 9); n != 0 {
			t.Errorf("%d of %d nodes handle requests by a version before 9 %v after the readers had it", n, len(fleet), inForceWithin)
		}
	})
}

// A change comes into force in time also where most of the nodes that read it fall silent while they pass it on: their receivers turn to
// others after 0.4 s.
func TestLargeConfigurationReachesAllThoughReadersFallSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network, fleet := newFleet(t, largeFleet, slowLink)
		read(fleet, newDocument(t, 5, 1449, 1))
		time.Sleep(30 * time.Millisecond)
		silent := make(map[string]bool)
		var living []*member
		for _, n := range fleet {
			if !n.gossip.Held() && len(silent) < chivegossip.Readers-2 {
				silent[n.mesh.Self()] = true
				continue
			}
			living = append(living, n)
		}
		network.Block(func(from, to string) bool { return silent[from] || silent[to] })
		if early := behind(living, 5); early < len(living)/2 {
			t.Fatalf("only %d of %d nodes still lack it when the readers fall silent", early, len(living))
		}
		time.Sleep(inForceWithin)
		if n := behind(living, 5); n != 0 {
			t.Errorf("%d of %d living nodes are behind %v after the readers fell silent", n, len(living), inForceWithin)
		}
	})
}

// Changes of a large configuration that follow each other faster than each reaches everybody are in force in time, each or a newer one, and cost
// no more copies than there are changes.
func TestStormOfChangesOfALargeConfiguration(t *testing.T) {
	const (
		changes = 8
		apart   = 100 * time.Millisecond
	)
	synctest.Test(t, func(t *testing.T) {
		_, fleet := newFleet(t, largeFleet, slowLink)
		documents := make([][]byte, changes)
		for i := range documents {
			documents[i] = newDocument(t, int64(i+1), 1449+i, 1)
		}
		began := time.Now()
		late := make([]time.Duration, changes)
		for step := 0; time.Since(began) < 5*time.Second; step++ {
			if change := int(time.Since(began) / apart); change < changes && time.Since(began)%apart == 0 {
				read(fleet, documents[change])
			}
			time.Sleep(10 * time.Millisecond)
			for i := range late {
				if since := time.Since(began) - time.Duration(i)*apart; since > 0 && behind(fleet, int64(i+1)) > 0 {
					late[i] = since
				}
			}
		}
		t.Logf("behind each change for %v", late)
		for i, l := range late {
			if l > inForceWithin {
				t.Errorf("version %d was not in force everywhere for %v", i+1, l)
			}
		}
		for _, n := range fleet {
			if copies := n.tables.Counts().Copies; copies > changes+1 {
				t.Errorf("%s took %d copies of %d changes", n.mesh.Self(), copies, changes)
			}
		}
	})
}

// A node that starts while a change is under way comes to know it as soon as the others know of the node.
func TestNodeThatStartsDuringAChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network, fleet := newFleet(t, largeFleet, slowLink)
		all := everybody{}
		for _, n := range fleet {
			address := n.mesh.Self()
			all = append(all, chivelog.VM{Name: address, Address: address, Region: "r", Kind: chivelog.KindEntry, State: chivelog.StateLive})
		}
		fresh := chivelog.VM{Name: "10.9.0.9:82", Address: "10.9.0.9:82", Region: "r", Kind: chivelog.KindEntry, State: chivelog.StateLive}
		read(fleet, newDocument(t, 5, 1449, 1))
		started := startMember(t, network, fresh, append(all, fresh))
		began := time.Now()
		for started.tables.Version() < 5 {
			if time.Since(began) > inForceWithin {
				t.Fatalf("still without a configuration %v after its start", inForceWithin)
			}
			time.Sleep(10 * time.Millisecond)
		}
		t.Logf("in force %v after its start", time.Since(began))
	})
}

// Guards against receiving the same endpoint changes from two readers at once.
func TestWordsOfManyEndpointsComeOnce(t *testing.T) {
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
				t.Fatalf("%s knows up to %d after a second", n.mesh.Self(), newest)
			}
		}
		time.Sleep(time.Second)
		if sent := wireBytes(fleet, "changes_answer"); sent > 5_500_000 {
			t.Errorf("%d bytes of changes, want at most those of one copy a node and a fifth more", sent)
		}
	})
}

// wireBytes sums what the nodes sent of a kind.
func wireBytes(fleet []*member, kind string) int64 {
	var all int64
	for _, n := range fleet {
		sent, _ := n.mesh.Traffic()
		all += sent[kind].Bytes
	}
	return all
}
