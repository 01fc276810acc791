package chivenode_test

import (
	"context"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"
)

// raw sends bytes over a connection of its own and returns all that comes back until the node closes it, and when.
func (c *cluster) raw(text string) (answer string, took time.Duration) {
	c.t.Helper()
	conn, err := c.network.Dial(context.Background(), callerName, callersAddress(0))
	if err != nil {
		c.t.Fatal(err)
	}
	defer conn.Close()
	started := time.Now()
	go func() { _, _ = io.WriteString(conn, text) }()
	data, _ := io.ReadAll(conn)
	return string(data), time.Since(started)
}

// Guards against slow or oversized senders that hold connections or smuggle a second request.
func TestSlowAndLyingSendersAreCutOff(t *testing.T) {
	const head = "POST /v1/chat/completions HTTP/1.1\r\nHost: n\r\nAuthorization: Bearer " + testKey + "\r\nContent-Length: %d\r\n\r\n%s"
	inCluster(t, shape{nodes: 1, engines: 1, sequences: 4}, func(c *cluster) {
		if answer, took := c.raw("POST /v1/chat/completions HTTP/1.1\r\nHost: n\r\nX-Half: "); took > 10*time.Second {
			t.Errorf("half a header held the connection for %s: %q", took, answer)
		}
		body := chat("x tokens=3", false)
		answer, took := c.raw(fmt.Sprintf(head, len(body)+100, body))
		if !strings.Contains(answer, "incomplete_body") || !strings.Contains(answer, "not-run") || took > time.Minute {
			t.Errorf("half a body: %q after %s", answer, took)
		}
		before := len(c.engines[0].Runs().Runs)
		answer, _ = c.raw(fmt.Sprintf(head, len(body), body+"GARBAGE AFTER THE END\r\n\r\n"))
		if runs := len(c.engines[0].Runs().Runs) - before; runs != 1 || strings.Count(answer, "HTTP/1.1 200") != 1 || !strings.Contains(answer, "400 Bad Request") {
			t.Errorf("more bytes than declared: %d runs, %q", runs, answer)
		}
		if r := c.stream(0, "nudge", "after tokens=3"); r.outcome != "completed" {
			t.Errorf("the node did not go on: %+v", r)
		}
	})
}
