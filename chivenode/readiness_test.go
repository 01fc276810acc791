//go:build !race

package chivenode_test

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"chivedrift/chivenode"
	"chivedrift/chivestand"
)

// slowListenNetwork is a network on which Listen takes some time for one address.
type slowListenNetwork struct {
	*chivestand.Network
	address string
	delay   time.Duration
}

func (n slowListenNetwork) Listen(address string) (net.Listener, error) {
	if address == n.address {
		time.Sleep(n.delay)
	}
	return n.Network.Listen(address)
}

// Guards against a node that reports that it is ready while it still refuses connections from callers.
func TestNodeIsReadyOnceItListensForCallers(t *testing.T) {
	withCluster(t, clusterSpec{nodes: 1, engines: 1, sequences: 4}, func(c *cluster) {
		const listenDelay = 3 * time.Second
		settings := c.settings(1)
		node, err := chivenode.New(settings, slowListenNetwork{c.network, settings.Listen.Callers, listenDelay}, slog.New(slog.DiscardHandler))
		if err != nil {
			t.Fatal(err)
		}
		started := make(chan error, 1)
		go func() { started <- node.Start(context.Background()) }()
		early := 0
		for began := time.Now(); time.Since(began) < listenDelay-100*time.Millisecond; time.Sleep(100 * time.Millisecond) {
			response, err := c.client.Get("http://" + settings.Listen.Admin + "/readyz")
			if err != nil {
				continue
			}
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				early++
			}
		}
		if early > 0 {
			t.Errorf("reported ready %d times before it listened for callers", early)
		}
		if err := <-started; err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		if err := node.AwaitReady(ctx); err != nil {
			t.Error(err)
		}
		if err := node.Stop(context.Background()); err != nil {
			t.Error(err)
		}
	})
}
