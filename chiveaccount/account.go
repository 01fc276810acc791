package chiveaccount

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
)

const (
	kilobyte = 1000.0
	megabyte = 1e6
	percent  = 100.0
	micro    = 1e-6
)

// Row is one figure over all nodes.
type Row struct {
	name    string
	unit    string
	middle  float64
	busiest float64
}

// Name returns what the figure is of: a kind of message with its direction, a topic of the store, or the process.
func (r Row) Name() string { return r.name }

// Middle returns the figure of the node in the middle of all, in the row's unit.
func (r Row) Middle() float64 { return r.middle }

// Busiest returns the largest figure, in the row's unit.
func (r Row) Busiest() float64 { return r.busiest }

// Account is what a fleet spends on control.
type Account struct {
	nodes int
	rows  []Row
}

// New sums up the dumps of one or more nodes; rates are over each node's time since its start.
func New(nodes []Node) Account {
	a := Account{nodes: len(nodes)}
	a.add(nodes, "processor", "% of a core", func(n Node) float64 { return percent * float64(n.process.CPUUs) * micro / n.uptime().Seconds() })
	a.add(nodes, "memory", "MB", func(n Node) float64 { return float64(n.process.TotalBytes) / megabyte })
	a.add(nodes, "sent, all kinds", "KB/s", func(n Node) float64 { return n.rate(total(n.wire.Sent).Bytes) / kilobyte })
	a.add(nodes, "received, all kinds", "KB/s", func(n Node) float64 { return n.rate(total(n.wire.Received).Bytes) / kilobyte })
	for _, kind := range kinds(nodes) {
		a.add(nodes, "sent "+kind, "1/s", func(n Node) float64 { return n.rate(n.wire.Sent[kind].Messages) })
		a.add(nodes, "sent "+kind, "KB/s", func(n Node) float64 { return n.rate(n.wire.Sent[kind].Bytes) / kilobyte })
	}
	for _, topic := range []string{"configurations", "endpoints", "nodes"} {
		a.add(nodes, "store, "+topic, "calls/s", func(n Node) float64 { return n.rate(n.calls[topic]) })
	}
	return a
}

// rate returns a count by second of the node's time.
func (n Node) rate(count int64) float64 { return float64(count) / n.uptime().Seconds() }

// add appends a row with the middle and the largest of a figure.
func (a *Account) add(nodes []Node, name, unit string, of func(Node) float64) {
	values := make([]float64, 0, len(nodes))
	for _, n := range nodes {
		values = append(values, of(n))
	}
	slices.Sort(values)
	if len(values) == 0 {
		return
	}
	a.rows = append(a.rows, Row{name, unit, values[(len(values)-1)/2], values[len(values)-1]})
}

// Rows returns the figures: the process first, then messages by kind, then calls to the store.
func (a Account) Rows() []Row { return a.rows }

// Write prints the account as a table.
func (a Account) Write(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(table, "%d nodes\tmiddle\tbusiest\tunit\t\n", a.nodes)
	for _, r := range a.rows {
		fmt.Fprintf(table, "%s\t%.3f\t%.3f\t%s\t\n", r.name, r.middle, r.busiest, r.unit)
	}
	if err := table.Flush(); err != nil {
		return fmt.Errorf("account: %w", err)
	}
	return nil
}

// kinds returns the kinds of messages that any node has sent, in order.
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
