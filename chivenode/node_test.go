package chivenode_test

import (
	"context"
	"encoding/json"
	"net/http"
	"testing"

	"chivedrift/chivegate"
)

func TestEveryNodeServesEveryPath(t *testing.T) {
	inCluster(t, shape{nodes: 3, engines: 2, sequences: 4}, func(c *cluster) {
		for node := range c.nodes {
			streamed := c.stream(node, "nudge", "hello tokens=12")
			if streamed.text != expected("hello tokens=12", 12) || !streamed.done || streamed.outcome != "completed" {
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
			if err := json.Unmarshal([]byte(whole.body), &answer); err != nil || answer.Choices[0].Message.Content != expected("hello tokens=12", 12) {
				t.Errorf("node %d answered %s (%v)", node, whole.body, err)
			}
			service := c.do(context.Background(), call{node: node, method: http.MethodGet, path: "/services/svc/x"})
			if service.status != http.StatusOK || service.outcome != "completed" {
				t.Errorf("node %d service %+v", node, service)
			}
			if x, ok := c.gate(node).Explain(service.header.Get(chivegate.HeaderRequestID)); !ok || len(x.Attempts) != 1 {
				t.Errorf("node %d explains %+v", node, x)
			}
		}
	})
}
