//go:build !race

package chivestream_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"

	"chivedrift/chivemember"
	"chivedrift/chiverequest"
	"chivedrift/chivestand"
	"chivedrift/chivestream"
	"chivedrift/chivewire"
)

// fleet is a number of services on a simulated network, in three failure domains.
type fleet struct {
	network  *chivestand.Network
	meshes   []*chivewire.Mesh
	services []*chivestream.Service
	members  []chivemember.Member
}

func withFleet(t *testing.T, nodes int, test func(f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{network: chivestand.NewNetwork()}
		for i := range nodes {
			mesh := chivewire.NewMesh(fmt.Sprintf("10.0.0.%d:82", i+1), f.network)
			f.meshes, f.services = append(f.meshes, mesh), append(f.services, chivestream.New(mesh))
			f.members = append(f.members, chivemember.Member{Name: mesh.Self(), Address: mesh.Self(), State: chivemember.Alive, FailureDomain: fmt.Sprintf("z%d", i%3)})
			if err := mesh.Start(context.Background()); err != nil {
				t.Fatal(err)
			}
		}
		for _, s := range f.services {
			s.SetMembers(f.members)
		}
		test(f)
		for _, mesh := range f.meshes {
			if err := mesh.Stop(context.Background()); err != nil {
				t.Error(err)
			}
		}
	})
}

// Guards against a stream that cannot go on after the node that began it and a failure domain have ended.
func TestStreamIsFoundWithoutItsNodeAndADomain(t *testing.T) {
	withFleet(t, 12, func(f *fleet) {
		origin := chiverequest.Origin{Pool: "p", Version: "v1"}
		for i := range 40 {
			f.services[0].Begin("red", fmt.Sprint("t", i), origin)
		}
		synctest.Wait()
		// Node 0 and its domain are gone; the others do not know it yet.
		f.network.Block(func(from, to string) bool { return f.isInDomain(from, "z0") || f.isInDomain(to, "z0") })
		for i := range 40 {
			if found := f.services[1].Find(context.Background(), "red", fmt.Sprint("t", i)); len(found.Origins) != 1 || found.Origins[0] != origin {
				t.Errorf("stream %d: %+v", i, found)
			}
		}
	})
}

// Guards against taking silence of owners for their word that there is no record.
func TestSilentOwnersLeaveAStreamUnknown(t *testing.T) {
	withFleet(t, 8, func(f *fleet) {
		if found := f.services[1].Find(context.Background(), "red", "nobody's"); len(found.Origins) > 0 || !found.Answered {
			t.Errorf("a stream that nobody began: %+v", found)
		}
		f.services[0].Begin("red", "t", chiverequest.Origin{Pool: "p", Version: "v1"})
		synctest.Wait()
		if found := f.services[1].Find(context.Background(), "blue", "t"); len(found.Origins) > 0 {
			t.Errorf("another team's stream: %+v", found)
		}
		self := f.meshes[1].Self()
		f.network.Block(func(from, to string) bool { return from == self || to == self })
		silent := 0
		for i := range 20 {
			if found := f.services[1].Find(context.Background(), "red", fmt.Sprint("t", i)); !found.Answered {
				silent++
			}
		}
		if silent < 20 {
			t.Errorf("a node that is cut off takes %d of 20 lookups for answered", 20-silent)
		}
	})
}

func (f *fleet) isInDomain(address, domain string) bool {
	for _, m := range f.members {
		if strings.HasPrefix(address, strings.TrimSuffix(m.Address, "82")) {
			return m.FailureDomain == domain
		}
	}
	return false
}
