package chiveaccount

import (
	"encoding/json"
	"fmt"
	"io"
	"time"
)

// traffic is the number of messages and bytes of one kind in one direction.
type traffic struct {
	Messages int64 `json:"messages"`
	Bytes    int64 `json:"bytes"`
}

// wire is what a node's mesh tells of itself.
type wire struct {
	Self     string             `json:"self"`
	Sent     map[string]traffic `json:"sent"`
	Received map[string]traffic `json:"received"`
}

// process is what a node tells of its process.
type process struct {
	CPUUs      int64 `json:"cpu_us"`
	UptimeMs   int64 `json:"uptime_ms"`
	TotalBytes int64 `json:"total_bytes"`
}

// feed is what a follower of one topic of the store tells of itself.
type feed struct {
	Calls int64 `json:"calls"`
}

// feedNames are the services that read the store, with the topic as the account names it.
var feedNames = map[string]string{"table feed": "configurations", "directory feed": "endpoints", "roster feed": "nodes"}

// Node is one node's dump.
type Node struct {
	wire    wire
	process process
	calls   map[string]int64
}

// ReadNode reads the dump of one node, as the state command prints it; the error names the service that is missing or not readable.
func ReadNode(from io.Reader) (Node, error) {
	var services map[string]json.RawMessage
	if err := json.NewDecoder(from).Decode(&services); err != nil {
		return Node{}, fmt.Errorf("not a state dump: %w", err)
	}
	n := Node{calls: make(map[string]int64)}
	if err := service(services, "wire", &n.wire); err != nil {
		return Node{}, err
	}
	if err := service(services, "process", &n.process); err != nil {
		return Node{}, err
	}
	if n.process.UptimeMs <= 0 {
		return Node{}, fmt.Errorf("service process: uptime_ms is %d, expected more than 0", n.process.UptimeMs)
	}
	for name, topic := range feedNames {
		if _, ok := services[name]; !ok {
			// Nodes of the own interface read no store.
			continue
		}
		var f feed
		if err := service(services, name, &f); err != nil {
			return Node{}, err
		}
		n.calls[topic] = f.Calls
	}
	return n, nil
}

func service(services map[string]json.RawMessage, name string, into any) error {
	data, ok := services[name]
	if !ok {
		return fmt.Errorf("no service %q in the dump", name)
	}
	if err := json.Unmarshal(data, into); err != nil {
		return fmt.Errorf("service %s: %w", name, err)
	}
	return nil
}

// uptime returns how long the node has run.
func (n Node) uptime() time.Duration { return time.Duration(n.process.UptimeMs) * time.Millisecond }
