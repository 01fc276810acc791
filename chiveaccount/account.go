package chiveaccount

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
)

const (
	kilobyte              = 1000.0
	megabyte              = 1e6
	percent               = 100.0
	secondsPerMicrosecond = 1e-6
)

// Row is one value over all nodes.
type Row struct {
	name   string
	unit   string
	median float64
	max    float64
}

// Name returns what the value measures: a kind of message with its direction, a topic of the store, or a resource of
// the process.
func (r Row) Name() string { return r.name }

// Middle returns the median over the nodes (the lower one of an even number), in the row's unit.
func (r Row) Middle() float64 { return r.median }

// Busiest returns the maximum over the nodes, in the row's unit.
func (r Row) Busiest() float64 { return r.max }

// Account reports the control-plane overhead of a fleet.
type Account struct {
	nodes int
	rows  []Row
}

// New computes the report from the dumps of one or more nodes. Rates are averages over each node's uptime.
func New(nodes []Node) Account {
	a := Account{nodes: len(nodes)}
	a.addRow(nodes, "processor", "% of a core", func(n Node) float64 {
		return percent * float64(n.process.CPUUs) * secondsPerMicrosecond / n.uptime().Seconds()
	})
	a.addRow(nodes, "memory", "MB", func(n Node) float64 { return float64(n.process.TotalBytes) / megabyte })
	a.addRow(nodes, "sent, all kinds", "KB/s", func(n Node) float64 { return n.rate(total(n.wire.Sent).Bytes) / kilobyte })
	a.addRow(nodes, "received, all kinds", "KB/s", func(n Node) float64 { return n.rate(total(n.wire.Received).Bytes) / kilobyte })
	for _, kind := range kinds(nodes) {
		a.addRow(nodes, "sent "+kind, "1/s", func(n Node) float64 { return n.rate(n.wire.Sent[kind].Messages) })
		a.addRow(nodes, "sent "+kind, "KB/s", func(n Node) float64 { return n.rate(n.wire.Sent[kind].Bytes) / kilobyte })
	}
	for _, topic := range []string{"configurations", "endpoints", "nodes"} {
		a.addRow(nodes, "store, "+topic, "calls/s", func(n Node) float64 { return n.rate(n.storeCalls[topic]) })
	}
	return a
}

// rate returns a count per second of the node's uptime.
func (n Node) rate(count int64) float64 { return float64(count) / n.uptime().Seconds() }

// addRow appends a row with the median and the maximum of a value.
func (a *Account) addRow(nodes []Node, name, unit string, valueOf func(Node) float64) {
	values := make([]float64, 0, len(nodes))
	for _, n := range nodes {
		values = append(values, valueOf(n))
	}
	slices.Sort(values)
	if len(values) == 0 {
		return
	}
	a.rows = append(a.rows, Row{name, unit, values[(len(values)-1)/2], values[len(values)-1]})
}

// Rows returns the rows: resources of the process first, then messages by kind, then calls to the store.
func (a Account) Rows() []Row { return a.rows }

// Write writes the report as a table.
func (a Account) Write(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(table, "%d nodes\tmiddle\tbusiest\tunit\t\n", a.nodes)
	for _, r := range a.rows {
		fmt.Fprintf(table, "%s\t%.3f\t%.3f\t%s\t\n", r.name, r.median, r.max, r.unit)
	}
	if err := table.Flush(); err != nil {
		return fmt.Errorf("account: %w", err)
	}
	return nil
}

// kinds returns the sorted kinds of messages that any node has sent.
func kinds(nodes []Node) []string {
	seen := make(map[string]bool)
	var names []string
	for _, n := range nodes {
		for kind := range n.wire.Sent {
			if !seen[kind] {
				seen[kind] = true
				names = append(names, kind)
			}
		}
	}
	slices.Sort(names)
	return names
}

func total(byKind map[string]traffic) (sum traffic) {
	for _, t := range byKind {
		sum.Messages += t.Messages
		sum.Bytes += t.Bytes
	}
	return sum
}
