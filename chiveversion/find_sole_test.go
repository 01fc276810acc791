//go:build !race

package chiveversion_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"chivedrift/chivedirectory"
	"chivedrift/chivegossip"
	"chivedrift/chivelog"
	"chivedrift/chivemember"
	"chivedrift/chivestand"
	"chivedrift/chiveversion"
	"chivedrift/chivewire"
)

// soleFleet is a fleet whose nodes know the endpoints of one pool.
type soleFleet struct {
	network  *chivestand.Network
	services []*chiveversion.Service
	members  []chivemember.Member
	readAges []time.Duration
}

// withSoleFleet runs a test with nodes that know an endpoint of version v1, without any waiting.
func withSoleFleet(t *testing.T, nodes int, test func(f *soleFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &soleFleet{network: chivestand.NewNetwork(), readAges: make([]time.Duration, nodes)}
		for i := range nodes {
			mesh := chivewire.NewMesh(fmt.Sprintf("10.0.%d.1:82", i), f.network)
			f.services = append(f.services, chiveversion.New(mesh, decodeTestVersion, func() time.Duration { return f.readAges[i] }))
			f.members = append(f.members, chivemember.Member{Name: mesh.Self(), Address: mesh.Self(), State: chivemember.Alive})
			if err := mesh.Start(context.Background()); err != nil {
				t.Fatal(err)
			}
			defer func() { _ = mesh.Stop(context.Background()) }()
		}
		for i := range nodes {
			f.services[i].SetMembers(f.members)
			f.list(i, "a", "v1")
		}
		test(f)
	})
}

// list has a node list an endpoint.
func (f *soleFleet) list(node int, id, version string) {
	f.services[node].Apply([]chivelog.KeyedRecord{{Key: id, Value: []byte(version)}})
	f.services[node].ApplyEndpoints(chivedirectory.Diff{Changed: []chivedirectory.Endpoint{{ID: id, Pool: "p"}}})
}

// check checks whether a node knows the version of the pool.
func (f *soleFleet) check(t *testing.T, when string, node int, want bool) {
	t.Helper()
	if version, ok := f.services[node].FindSole(context.Background(), "p"); ok != want || ok && version != "v1" {
		t.Errorf("%s, node %d: version %q, certain %v, want %v", when, node, version, ok, want)
	}
}

// Guards against taking the version of a pool for certain while nodes that are in touch may know another one, and against
// callers that are refused since a node has ended.
func TestMostReadersStateTheSoleVersion(t *testing.T) {
	withSoleFleet(t, 3, func(f *soleFleet) {
		f.check(t, "just started", 0, false)
		time.Sleep(time.Minute)
		f.check(t, "one version", 0, true)
		f.readAges[1] = 20 * time.Second
		f.check(t, "a peer has lost the store", 0, true)
		f.check(t, "a node has lost the store, its peers have not", 1, true)
		f.readAges[2] = 20 * time.Second
		f.check(t, "two peers have lost the store", 0, false)
		f.readAges[1], f.readAges[2] = 0, 0
		f.network.Block(func(from, to string) bool { return from == f.members[1].Address || to == f.members[1].Address })
		f.check(t, "a peer is silent", 0, true)
		f.check(t, "the silent one", 1, false)
		f.network.Block(nil)
		// Connections that broke are found out by use.
		for range 10 {
			_, _ = f.services[0].FindSole(context.Background(), "p")
			time.Sleep(time.Second)
		}
		f.check(t, "all are back", 0, true)
		f.list(2, "b", "v2")
		f.check(t, "a peer knows another version", 0, false)
		f.readAges[2] = 20 * time.Second
		f.check(t, "a peer that has lost the store knows another version", 0, false)
	})
}

// Guards against nodes that never know the version of a pool since others read the store for them, and against all that
// are uncertain because one has just started.
func TestNodesAskReadersForTheSoleVersion(t *testing.T) {
	withSoleFleet(t, 20, func(f *soleFleet) {
		time.Sleep(time.Minute)
		for _, r := range chivemember.AddressesByHash(f.members)[chivegossip.Readers:] {
			for i, m := range f.members {
				if m.Address == r {
					f.readAges[i] = -1
				}
			}
		}
		for i := range f.members {
			f.check(t, "others read", i, true)
		}
	})
}
