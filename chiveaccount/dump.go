package chiveaccount

import (
	"encoding/json"
	"fmt"
	"io"
	"time"
)

// traffic counts the messages and bytes of one kind in one direction.
type traffic struct {
	Messages int64 `json:"messages"`
	Bytes    int64 `json:"bytes"`
}

// wireDump is the part of the mesh's state dump that the report uses.
type wireDump struct {
	Self     string             `json:"self"`
	Sent     map[string]traffic `json:"sent"`
	Received map[string]traffic `json:"received"`
}

// processDump is the part of the process's state dump that the report uses.
type processDump struct {
	CPUUs      int64 `json:"cpu_us"`
	UptimeMs   int64 `json:"uptime_ms"`
	TotalBytes int64 `json:"total_bytes"`
}

// feedDump is the part of the state dump of a store topic's follower that the report uses.
type feedDump struct {
	Calls int64 `json:"calls"`
}

// topicByFeed maps the name of each service that reads the store to the topic's name in the report.
var topicByFeed = map[string]string{"table feed": "configurations", "directory feed": "endpoints", "roster feed": "nodes"}

// Node holds the parsed state dump of one node.
type Node struct {
	wire       wireDump
	process    processDump
	storeCalls map[string]int64
}

// ReadNode parses the state dump of one node, in the form that the state command prints. Errors name the service that
// is missing or cannot be parsed.
func ReadNode(reader io.Reader) (Node, error) {
	var services map[string]json.RawMessage
	if err := json.NewDecoder(reader).Decode(&services); err != nil {
		return Node{}, fmt.Errorf("not a state dump: %w", err)
	}
	n := Node{storeCalls: make(map[string]int64)}
	if err := decodeService(services, "wire", &n.wire); err != nil {
		return Node{}, err
	}
	if err := decodeService(services, "process", &n.process); err != nil {
		return Node{}, err
	}
	if n.process.UptimeMs <= 0 {
		return Node{}, fmt.Errorf("service process: uptime_ms is %d, expected more than 0", n.process.UptimeMs)
	}
	for name, topic := range topicByFeed {
		if _, ok := services[name]; !ok {
			// Nodes without a metadata store have no such services.
			continue
		}
		var f feedDump
		if err := decodeService(services, name, &f); err != nil {
			return Node{}, err
		}
		n.storeCalls[topic] = f.Calls
	}
	return n, nil
}

func decodeService(services map[string]json.RawMessage, name string, into any) error {
	data, ok := services[name]
	if !ok {
		return fmt.Errorf("no service %q in the dump", name)
	}
	if err := json.Unmarshal(data, into); err != nil {
		return fmt.Errorf("service %s: %w", name, err)
	}
	return nil
}

// uptime returns how long the node has been running.
func (n Node) uptime() time.Duration { return time.Duration(n.process.UptimeMs) * time.Millisecond }
