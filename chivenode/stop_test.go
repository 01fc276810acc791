//go:build !race

package chivenode_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"chivedrift/chivegate"
	"chivedrift/chivestand"
)

// Guards against a planned stop that ends what its last requests need: the claims of their keys, the scheduler and the
// connections to other nodes.
func TestKeyedRequestsDuringAPlannedStopRunOnce(t *testing.T) {
	const keys, stopping, other = 8, 0, 1
	withCluster(t, clusterSpec{nodes: 4, engines: 2, sequences: 16}, func(c *cluster) {
		for _, service := range c.services {
			service.SetFaults(chivestand.ServiceFaults{DelayMs: 800})
		}
		conns := make([]net.Conn, 0, keys)
		for range keys {
			conn, err := c.network.Dial(context.Background(), clientAddress, callersAddress(stopping))
			if err != nil {
				t.Fatal(err)
			}
			conns = append(conns, conn)
		}
		running := make(chan reply, keys)
		for i := range keys {
			go func() {
				running <- c.do(context.Background(), call{node: stopping, path: "/services/svc/book", class: "confirm", key: fmt.Sprint("running-", i)})
			}()
		}
		time.Sleep(200 * time.Millisecond)
		stopped := make(chan error, 1)
		go func() { stopped <- c.nodes[stopping].Stop(context.Background()) }()
		time.Sleep(200 * time.Millisecond)
		late := make(chan error, keys)
		for i, conn := range conns {
			go func() { late <- bookOn(conn, fmt.Sprint("late-", i)) }()
		}
		for range keys {
			if r := <-running; r.err != nil || r.outcome != "completed" {
				t.Errorf("a running request: %+v", r)
			}
			if err := <-late; err != nil {
				t.Errorf("a request on an unused connection: %v", err)
			}
		}
		if err := <-stopped; err != nil {
			t.Error(err)
		}
		c.nodes[stopping] = nil
		for i := range keys {
			for _, kind := range []string{"running-", "late-"} {
				key := fmt.Sprint(kind, i)
				if r := c.do(context.Background(), call{node: other, path: "/services/svc/book", class: "confirm", key: key}); r.outcome != "completed" {
					t.Errorf("%s again at another node: %+v", key, r)
				}
				if runs := c.services[0].Runs().Keys[key] + c.services[1].Runs().Keys[key]; runs != 1 {
					t.Errorf("%s ran %d times", key, runs)
				}
			}
		}
	})
}

var errNotCompleted = errors.New("the request is not completed on a closing connection")

// bookOn sends a request with a key on a connection and returns an error unless it completes.
func bookOn(conn net.Conn, key string) error {
	defer conn.Close()
	if _, err := fmt.Fprintf(conn, "POST /services/svc/book HTTP/1.1\r\nHost: node\r\nAuthorization: Bearer %s\r\n%s: confirm\r\n%s: %s\r\nContent-Length: 0\r\n\r\n",
		testKey, chivegate.HeaderClass, chivegate.HeaderKey, key); err != nil {
		return fmt.Errorf("send: %w", err)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return fmt.Errorf("response: %w", err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if outcome := response.Header.Get(chivegate.HeaderOutcome); err != nil || outcome != "completed" || !response.Close {
		return fmt.Errorf("%w: %s, %q, %q, %w", errNotCompleted, response.Status, outcome, body, err)
	}
	return nil
}

// Guards against requests of other nodes that fail since a node stops which holds the claims of their keys, or schedules
// their pool.
func TestPlannedStopFailsNoRequestsOfOtherNodes(t *testing.T) {
	const nodes, stops = 4, 3
	withCluster(t, clusterSpec{nodes: nodes, engines: 2, sequences: 16}, func(c *cluster) {
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{})
		replies := make(chan reply, 4096)
		go func() {
			defer close(ended)
			var sent sync.WaitGroup
			for i := 0; ctx.Err() == nil; i++ {
				sent.Go(func() {
					replies <- c.do(context.Background(), call{node: nodes - 1, path: "/services/svc/book", class: "confirm", key: fmt.Sprint("other-", i)})
				})
				sent.Go(func() { replies <- c.stream(nodes-1, "nudge", fmt.Sprintf("o%d tokens=3", i)) })
				time.Sleep(10 * time.Millisecond)
			}
			sent.Wait()
		}()
		for i := range stops {
			time.Sleep(time.Second)
			if err := c.nodes[i].Stop(context.Background()); err != nil {
				t.Error(err)
			}
			c.nodes[i] = nil
		}
		time.Sleep(time.Second)
		cancel()
		<-ended
		close(replies)
		count, failed := 0, 0
		for r := range replies {
			count++
			if r.outcome != "completed" {
				failed++
				t.Logf("%+v", r)
			}
		}
		if failed > 0 || count < 500 {
			t.Errorf("%d of %d requests failed", failed, count)
		}
	})
}
