package chivenode_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"chivedrift/chivegate"
)

// Guards against messages between nodes, by kind, and process usage that are missing from /metrics, where operators
// need no other tool to see them.
func TestMetricsShowControlPlaneOverhead(t *testing.T) {
	withCluster(t, clusterSpec{nodes: 2, engines: 1, sequences: 4}, func(c *cluster) {
		c.stream(0, "nudge", "x tokens=3")
		c.stream(1, "nudge", "x tokens=3")
		time.Sleep(10 * time.Second)
		response, err := c.client.Get("http://" + adminAddress(0) + "/metrics")
		if err != nil {
			t.Fatal(err)
		}
		defer response.Body.Close()
		text, err := io.ReadAll(response.Body)
		if err != nil {
			t.Fatal(err)
		}
		for _, want := range []string{
			`chivedrift_wire_bytes{direction="sent",kind="probe"}`, `chivedrift_wire_messages{direction="received",kind="ack"}`,
			"chivedrift_process_cpu_seconds", "chivedrift_process_heap_bytes", `chivedrift_requests{class="nudge",outcome="completed"} 1`,
		} {
			if !strings.Contains(string(text), want) {
				t.Errorf("no %s in /metrics:\n%s", want, text)
			}
		}
	})
}

func TestEveryNodeServesEveryPath(t *testing.T) {
	withCluster(t, clusterSpec{nodes: 3, engines: 2, sequences: 4}, func(c *cluster) {
		for node := range c.nodes {
			streamed := c.stream(node, "nudge", "hello tokens=12")
			if streamed.text != expectedText("hello tokens=12", 12) || !streamed.done || streamed.outcome != "completed" {
				t.Errorf("node %d streamed %+v", node, streamed)
			}
			whole := c.do(context.Background(), call{node: node, path: "/v1/chat/completions", body: chat("hello tokens=12", false)})
			var answer struct {
				Choices []struct {
					Message struct {
						Content string `json:"content"`
					} `json:"message"`
				} `json:"choices"`
			}
			if err := json.Unmarshal([]byte(whole.body), &answer); err != nil || answer.Choices[0].Message.Content != expectedText("hello tokens=12", 12) {
				t.Errorf("node %d answered %s (%v)", node, whole.body, err)
			}
			service := c.do(context.Background(), call{node: node, method: http.MethodGet, path: "/services/svc/x"})
			if service.status != http.StatusOK || service.outcome != "completed" {
				t.Errorf("node %d service %+v", node, service)
			}
			if explanation, ok := c.gate(node).Explain(service.header.Get(chivegate.HeaderRequestID)); !ok || len(explanation.Attempts) != 1 {
				t.Errorf("node %d explains %+v", node, explanation)
			}
		}
	})
}
