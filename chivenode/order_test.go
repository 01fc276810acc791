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
	bundle := bundleFor(shape{engines: len(c.engines), sequences: 4})
	bundle.Base = replaceOnce(bundle.Base, "default_class: nudge\n", "default_class: nudge\n    version: "+version+"\n")
	c.append(chiveconfig.Record{ID: version, Kind: chiveconfig.KindPublish, Parent: parent, Author: "test", Bundle: bundle})
}

func replaceOnce(text, old, with string) string {
	for i := range text {
		if len(text)-i >= len(old) && text[i:i+len(old)] == old {
			return text[:i] + with + text[i+len(old):]
		}
	}
	return text
}

func (c *cluster) loads(engine int, version string) int {
	n := 0
	for _, o := range c.engines[engine].Orders() {
		if o.Target == version {
			n++
		}
	}
	return n
}

// Guards against orders to load a version that are repeated, reordered or given to all engines at once.
func TestOrdersAreGivenOnceInOrderAndSpaced(t *testing.T) {
	inCluster(t, shape{nodes: 4, engines: 3, sequences: 4}, func(c *cluster) {
		c.engines[0].CheckFencing()
		c.publishVersion(1, "v1")
		started := time.Now()
		c.await(40*time.Second, "v1 on every engine", func() bool { return c.loads(0, "v1") > 0 && c.loads(1, "v1") > 0 && c.loads(2, "v1") > 0 })
		if took := time.Since(started); took < 10*time.Second {
			t.Errorf("three loads in %s; the weight store takes one every five seconds", took)
		}
		holder := c.leaseHolder()
		c.publishVersion(2, "v2")
		time.Sleep(7 * time.Second)
		c.lose(peerAddress(holder))
		c.await(90*time.Second, "v2 on every engine", func() bool { return c.loads(0, "v2") > 0 && c.loads(1, "v2") > 0 && c.loads(2, "v2") > 0 })
		c.find(peerAddress(holder))
		time.Sleep(time.Minute)
		for i := range c.engines {
			orders := c.engines[i].Orders()
			if len(orders) != 2 || orders[0].Target != "v1" || orders[1].Target != "v2" || orders[1].Fencing <= orders[0].Fencing {
				t.Errorf("engine %d carried out %+v", i, orders)
			}
		}
	})
}

// Guards against a new version without its adapters, or a role that is assigned before them.
func TestAdaptersAndRoleFollowTheVersion(t *testing.T) {
	inCluster(t, shape{nodes: 3, engines: 1, sequences: 4}, func(c *cluster) {
		publish := func(parent int64, version string) {
			bundle := bundleFor(shape{engines: 1, sequences: 4})
			bundle.Base = replaceOnce(bundle.Base, "default_class: nudge\n", "default_class: nudge\n    version: "+version+"\n    adapters: [house, trips]\n    role: decode\n")
			c.append(chiveconfig.Record{ID: version, Kind: chiveconfig.KindPublish, Parent: parent, Author: "test", Bundle: bundle})
		}
		publish(1, "v1")
		time.Sleep(time.Minute)
		publish(2, "v2")
		time.Sleep(time.Minute)
		var given []string
		for _, o := range c.engines[0].Orders() {
			given = append(given, o.Verb+" "+o.Target)
		}
		want := []string{"load v1", "adapter house", "adapter trips", "role decode", "load v2", "adapter house", "adapter trips"}
		if !slices.Equal(given, want) {
			t.Errorf("orders %v, expected %v", given, want)
		}
	})
}

func (c *cluster) leaseHolder() int {
	for i := range c.nodes {
		dump := lookup[*chiveorder.Service](c, i, chiveorder.ServiceName).Dump()
		if state, ok := dump.(chiveorder.State); ok && len(state.Held) > 0 {
			return i
		}
	}
	c.t.Error("nobody holds the lease")
	return 0
}

// sleepyNetwork pauses the caller between the check of the lease and the first byte, as a paused process is.
type sleepyNetwork struct {
	*chivestand.Network
	pause time.Duration
}

func (n sleepyNetwork) Dial(_ context.Context, from, address string) (net.Conn, error) {
	conn, err := n.Network.Dial(context.Background(), from, address)
	time.Sleep(n.pause)
	return conn, err
}

// Guards against an order sent by a holder whose lease lapsed during a pause.
func TestPausedHolderSendsNoOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := chivestand.NewNetwork()
		c := &cluster{t: t, network: network}
		engine := chivestand.NewEngine("m", chivestand.EngineSpeed{Step: engineStep, Sequences: 1})
		c.engines = append(c.engines, engine)
		c.serve(engineAddress(0), engine.Handler())
		lastStart := time.Now().Add(time.Second)
		order := chiveorder.Order{Verb: "load", Target: "old", Fencing: 1}
		if err := chiveorder.Send(t.Context(), sleepyNetwork{network, 0}, "10.1.0.1:82", engineAddress(0), order, lastStart); err != nil {
			t.Errorf("in time: %v", err)
		}
		err := chiveorder.Send(t.Context(), sleepyNetwork{network, 1500 * time.Millisecond}, "10.1.0.1:82", engineAddress(0), order, lastStart)
		if !errors.Is(err, chiveorder.ErrLeaseOver) || len(engine.Orders()) != 1 {
			t.Errorf("after the pause: %v, orders %v", err, engine.Orders())
		}
		for _, server := range c.servers {
			_ = server.Close()
		}
		engine.Close()
	})
}
