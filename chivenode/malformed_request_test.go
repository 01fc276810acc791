package chivenode_test

import (
	"context"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"
)

// sendRaw sends bytes over a new connection and returns everything received until the node closes it, and how long
// that took.
func (c *cluster) sendRaw(text string) (answer string, took time.Duration) {
	c.t.Helper()
	conn, err := c.network.Dial(context.Background(), clientAddress, callersAddress(0))
	if err != nil {
		c.t.Fatal(err)
	}
	defer conn.Close()
	started := time.Now()
	go func() { _, _ = io.WriteString(conn, text) }()
	data, _ := io.ReadAll(conn)
	return string(data), time.Since(started)
}

// Guards against slow or incomplete requests that hold connections, and against bytes after the declared body that
// are served as a second request.
func TestSlowAndMalformedRequestsAreCutOff(t *testing.T) {
	const head = "POST /v1/chat/completions HTTP/1.1\r\nHost: n\r\nAuthorization: Bearer " + testKey + "\r\nContent-Length: %d\r\n\r\n%s"
	withCluster(t, clusterSpec{nodes: 1, engines: 1, sequences: 4}, func(c *cluster) {
		if answer, took := c.sendRaw("POST /v1/chat/completions HTTP/1.1\r\nHost: n\r\nX-Half: "); took > 10*time.Second {
			t.Errorf("an incomplete header held the connection for %s: %q", took, answer)
		}
		body := chat("x tokens=3", false)
		answer, took := c.sendRaw(fmt.Sprintf(head, len(body)+100, body))
		if !strings.Contains(answer, "incomplete_body") || !strings.Contains(answer, "not-run") || took > time.Minute {
			t.Errorf("incomplete body: %q after %s", answer, took)
		}
		before := len(c.engines[0].Runs().Runs)
		answer, _ = c.sendRaw(fmt.Sprintf(head, len(body), body+"GARBAGE AFTER THE END\r\n\r\n"))
		if runs := len(c.engines[0].Runs().Runs) - before; runs != 1 || strings.Count(answer, "HTTP/1.1 200") != 1 || !strings.Contains(answer, "400 Bad Request") {
			t.Errorf("bytes after the declared body: %d runs, %q", runs, answer)
		}
		if r := c.stream(0, "nudge", "after tokens=3"); r.outcome != "completed" {
			t.Errorf("request after the malformed ones failed: %+v", r)
		}
	})
}
