package chivenode_test

import (
	"context"
	"errors"
	"net"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"chivedrift/chiveconfig"
	"chivedrift/chiveorder"
	"chivedrift/chivestand"
)

func (c *cluster) publishVersion(parent int64, version string) {
	bundle := bundleFor(clusterSpec{engines: len(c.engines), sequences: 4})
	bundle.Base = replaceOnce(bundle.Base, "default_class: nudge\n", "default_class: nudge\n    version: "+version+"\n")
	c.appendRecord(chiveconfig.Record{ID: version, Kind: chiveconfig.KindPublish, Parent: parent, Author: "test", Bundle: bundle})
}

func replaceOnce(text, old, replacement string) string {
	for i := range text {
		if len(text)-i >= len(old) && text[i:i+len(old)] == old {
			return text[:i] + replacement + text[i+len(old):]
		}
	}
	return text
}

func (c *cluster) loadOrders(engine int, version string) int {
	n := 0
	for _, o := range c.engines[engine].Orders() {
		if o.Target == version {
			n++
		}
	}
	return n
}

// Guards against load orders that are repeated, sent out of order, or sent to all engines at once.
func TestOrdersAreGivenOnceInOrderAndSpaced(t *testing.T) {
	withCluster(t, clusterSpec{nodes: 4, engines: 3, sequences: 4}, func(c *cluster) {
		c.engines[0].CheckFencing()
		c.publishVersion(1, "v1")
		started := time.Now()
		c.waitFor(40*time.Second, "v1 on every engine", func() bool {
			return c.loadOrders(0, "v1") > 0 && c.loadOrders(1, "v1") > 0 && c.loadOrders(2, "v1") > 0
		})
		if took := time.Since(started); took < 10*time.Second {
			t.Errorf("three loads in %s; the weight store allows one every five seconds", took)
		}
		holder := c.leaseHolder()
		c.publishVersion(2, "v2")
		time.Sleep(7 * time.Second)
		c.isolate(peerAddress(holder))
		c.waitFor(90*time.Second, "v2 on every engine", func() bool {
			return c.loadOrders(0, "v2") > 0 && c.loadOrders(1, "v2") > 0 && c.loadOrders(2, "v2") > 0
		})
		c.reconnect(peerAddress(holder))
		time.Sleep(time.Minute)
		for i := range c.engines {
			orders := c.engines[i].Orders()
			if len(orders) != 2 || orders[0].Target != "v1" || orders[1].Target != "v2" || orders[1].Fencing <= orders[0].Fencing {
				t.Errorf("engine %d executed %+v", i, orders)
			}
		}
	})
}

// Guards against a new version without its adapters, and against a role that is assigned before them.
func TestAdaptersAndRoleFollowTheVersion(t *testing.T) {
	withCluster(t, clusterSpec{nodes: 3, engines: 1, sequences: 4}, func(c *cluster) {
		publish := func(parent int64, version string) {
			bundle := bundleFor(clusterSpec{engines: 1, sequences: 4})
			bundle.Base = replaceOnce(bundle.Base, "default_class: nudge\n", "default_class: nudge\n    version: "+version+"\n    adapters: [house, trips]\n    role: decode\n")
			c.appendRecord(chiveconfig.Record{ID: version, Kind: chiveconfig.KindPublish, Parent: parent, Author: "test", Bundle: bundle})
		}
		publish(1, "v1")
		time.Sleep(time.Minute)
		publish(2, "v2")
		time.Sleep(time.Minute)
		var sent []string
		for _, o := range c.engines[0].Orders() {
			sent = append(sent, o.Verb+" "+o.Target)
		}
		want := []string{"load v1", "adapter house", "adapter trips", "role decode", "load v2", "adapter house", "adapter trips"}
		if !slices.Equal(sent, want) {
			t.Errorf("orders %v, expected %v", sent, want)
		}
	})
}

func (c *cluster) leaseHolder() int {
	for i := range c.nodes {
		dump := lookupService[*chiveorder.Service](c, i, chiveorder.ServiceName).Dump()
		if state, ok := dump.(chiveorder.State); ok && len(state.Held) > 0 {
			return i
		}
	}
	c.t.Error("no node holds the lease")
	return 0
}

// pausingNetwork pauses the caller between the check of the lease and the first byte sent, like a process that is
// paused at that point.
type pausingNetwork struct {
	*chivestand.Network
	pause time.Duration
}

func (n pausingNetwork) Dial(_ context.Context, from, address string) (net.Conn, error) {
	conn, err := n.Network.Dial(context.Background(), from, address)
	time.Sleep(n.pause)
	return conn, err
}

// Guards against an order sent by a holder whose lease expired while its process was paused.
func TestPausedLeaseHolderSendsNoOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := chivestand.NewNetwork()
		c := &cluster{t: t, network: network}
		engine := chivestand.NewEngine("m", chivestand.EngineSpeed{Step: engineStep, Sequences: 1})
		c.engines = append(c.engines, engine)
		c.serve(engineAddress(0), engine.Handler())
		lastStart := time.Now().Add(time.Second)
		order := chiveorder.Order{Verb: "load", Target: "old", Fencing: 1}
		if err := chiveorder.Send(t.Context(), pausingNetwork{network, 0}, "10.1.0.1:82", engineAddress(0), order, lastStart); err != nil {
			t.Errorf("send within the lease: %v", err)
		}
		err := chiveorder.Send(t.Context(), pausingNetwork{network, 1500 * time.Millisecond}, "10.1.0.1:82", engineAddress(0), order, lastStart)
		if !errors.Is(err, chiveorder.ErrLeaseOver) || len(engine.Orders()) != 1 {
			t.Errorf("send after the pause: %v, orders %v", err, engine.Orders())
		}
		for _, server := range c.servers {
			_ = server.Close()
		}
		engine.Close()
	})
}
