//go:build !race

package chiveversion_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"chivedrift/chivedirectory"
	"chivedrift/chivelog"
	"chivedrift/chivemember"
	"chivedrift/chivestand"
	"chivedrift/chiveversion"
	"chivedrift/chivewire"
)

// decodeTestVersion takes a record's value for the version.
func decodeTestVersion(id string, data []byte) (chivedirectory.Incarnation, string, bool) {
	return chivedirectory.Incarnation{ID: id}, string(data), len(data) > 0
}

func never() time.Duration { return -1 }

// Guards against nodes that learn versions late in a large fleet, and against asking without end where nobody answers.
func TestVersionsReachAllNodesAndAreNotAskedForEndlessly(t *testing.T) {
	const (
		size, readers = 200, 8
		// mostBytes is a tenth of what a node may send for control in a minute, 15 KB a second.
		mostBytes = 60 * (15 << 10) / 10
	)
	synctest.Test(t, func(t *testing.T) {
		network := chivestand.NewNetwork()
		var meshes []*chivewire.Mesh
		var services []*chiveversion.Service
		var members []chivemember.Member
		for i := range size {
			mesh := chivewire.NewMesh(fmt.Sprintf("10.0.%d.1:82", i), network)
			meshes, services = append(meshes, mesh), append(services, chiveversion.New(mesh, decodeTestVersion, never))
			members = append(members, chivemember.Member{Name: mesh.Self(), Address: mesh.Self(), State: chivemember.Alive})
		}
		var diff chivedirectory.Diff
		var records []chivelog.KeyedRecord
		for i := range 100 {
			id := fmt.Sprintf("i-%010d", i)
			diff.Changed = append(diff.Changed, chivedirectory.Endpoint{ID: id, Pool: "p"})
			records = append(records, chivelog.KeyedRecord{Key: id, Value: []byte("v1")})
		}
		for i, s := range services {
			if err := meshes[i].Start(context.Background()); err != nil {
				t.Fatal(err)
			}
			s.SetMembers(members)
			if err := s.Start(context.Background()); err != nil {
				t.Fatal(err)
			}
			s.ApplyEndpoints(diff)
		}
		time.Sleep(time.Minute)
		sent, _ := meshes[size-1].Traffic()
		if bytes := sent["versions_ask"].Bytes; bytes > mostBytes {
			t.Errorf("a node sent %d bytes in a minute in which nobody knew a version, want %d at most", bytes, mostBytes)
		}
		for _, s := range services[:readers] {
			s.Apply(records)
		}
		// The directory lists a new endpoint, as it does when a version is new.
		for _, s := range services {
			s.ApplyEndpoints(chivedirectory.Diff{Changed: []chivedirectory.Endpoint{{ID: "i-new", Pool: "p"}}})
		}
		time.Sleep(3 * time.Second)
		for i, s := range services {
			if s.Of("i-0000000042") == "" {
				t.Errorf("node %d does not know a version after 3 s", i)
			}
		}
		for i, s := range services {
			_ = s.Stop(context.Background())
			_ = meshes[i].Stop(context.Background())
		}
	})
}
