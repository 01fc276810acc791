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

// slowListen is a network on which listening at one address takes a while.
type slowListen struct {
	*chivestand.Network
	address string
	takes   time.Duration
}

func (n slowListen) Listen(address string) (net.Listener, error) {
	if address == n.address {
		time.Sleep(n.takes)
	}
	return n.Network.Listen(address)
}

// Guards against a node that says it is ready while it refuses its callers' connections.
func TestNodeIsReadyOnceItListensForCallers(t *testing.T) {
	inCluster(t, shape{nodes: 1, engines: 1, sequences: 4}, func(c *cluster) {
		const takes = 3 * time.Second
		settings := c.settings(1)
		node, err := chivenode.New(settings, slowListen{c.network, settings.Listen.Callers, takes}, slog.New(slog.DiscardHandler))
		if err != nil {
			t.Fatal(err)
		}
		started := make(chan error, 1)
		go func() { started <- node.Start(context.Background()) }()
		early := 0
		for began := time.Now(); time.Since(began) < takes-100*time.Millisecond; time.Sleep(100 * time.Millisecond) {
			response, err := c.caller.Get("http://" + settings.Listen.Admin + "/readyz")
			if err != nil {
				continue
			}
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				early++
			}
		}
		if early > 0 {
			t.Errorf("said %d times that it is ready before it listened", early)
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
