//go:build !race

package chivegossip_test

import (
	"bytes"
	"testing"
	"testing/synctest"
	"time"

	"chivedrift/chivedirectory"
	"chivedrift/chivewire"
)

// The messages of a node of the previous release.
type (
	earlierDigest struct {
		Table, Offset int64
		Reply         bool
	}
	earlierDocument struct {
		Table int64
		Data  []byte
	}
	earlierChanges struct {
		Changes []struct {
			Offset        int64
			Gone, Missing bool
			Keep          time.Duration
			Endpoint      earlierEndpoint
			Read          bool
		}
	}
	earlierEndpoint struct {
		ID, Pool, Address, FailureDomain string
		Slots                            int
		State                            uint8
		WarmUp                           time.Duration
	}
)

// Guards against message fields that the previous release cannot decode during an upgrade.
func TestNodesOfTwoReleasesExchangeChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network, fleet := newFleet(t, 3, slowLink)
		currentDocument, earlierNodeDocument := newDocument(t, 5, 100, 1), newDocument(t, 7, 100, 1)
		current := fleet[0]
		current.tables.Learn(currentDocument, "store")
		current.endpoints.Learn(chivedirectory.Update{Changes: []chivedirectory.Change{{Position: 4, Endpoint: chivedirectory.Endpoint{ID: "e", Pool: "p", Address: "10.0.0.1:1", Born: 9}}}}, "store")

		earlier := chivewire.NewMesh("10.9.0.1:82", network)
		documents, changes := make(chan earlierDocument, 9), make(chan earlierChanges, 9)
		chivewire.Receive(earlier, chivewire.KindDocument, func(_ string, d earlierDocument) { documents <- d })
		chivewire.Receive(earlier, chivewire.KindEarlierChanges, func(_ string, c earlierChanges) { changes <- c })
		if err := earlier.Start(t.Context()); err != nil {
			t.Fatal(err)
		}
		defer earlier.Stop(t.Context())
		send := func(kind chivewire.Kind, message any) {
			if err := earlier.Send(current.mesh.Self(), kind, message); err != nil {
				t.Fatal(err)
			}
			time.Sleep(time.Second)
		}

		send(chivewire.KindDigest, earlierDigest{Table: 3, Offset: 1, Reply: true})
		if len(documents) != 1 || len(changes) != 1 {
			t.Fatalf("received %d documents and %d sets of changes, want one each", len(documents), len(changes))
		}
		if d := <-documents; d.Table != 5 || !bytes.Equal(d.Data, currentDocument) {
			t.Errorf("got version %d with %d bytes", d.Table, len(d.Data))
		}
		if c := <-changes; len(c.Changes) != 1 || c.Changes[0].Offset != 4 || c.Changes[0].Endpoint.ID != "e" {
			t.Errorf("got %+v", c)
		}
		send(chivewire.KindDocument, earlierDocument{Table: 7, Data: earlierNodeDocument})
		if got := current.tables.Version(); got != 7 {
			t.Errorf("version %d in force, want the earlier node's 7", got)
		}
	})
}
