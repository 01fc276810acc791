package chiveexperiment

import (
	"fmt"
	"io"
)

// column is one column of the table.
type column struct {
	name string
	of   figure
}

var overall = []column{
	{"attained", func(r Result) float64 { return r.Attained }},
	{"worst 2 s", func(r Result) float64 { return r.Worst }},
	{"read", func(r Result) float64 { return r.Read }},
	{"read again", func(r Result) float64 { return r.Again }},
}

// kindColumn is one column of a kind's table; in milliseconds where fixed is 0, else a share.
type kindColumn struct {
	name    string
	decimal int
	of      func(k KindResult) float64
}

const shareDecimals = 3

var kindColumns = []kindColumn{
	{"attained", shareDecimals, func(k KindResult) float64 { return k.Attained }},
	{"on time", shareDecimals, func(k KindResult) float64 { return k.OnTime }},
	{"late", shareDecimals, func(k KindResult) float64 { return k.Late }},
	{"by pause", shareDecimals, func(k KindResult) float64 { return k.LatePause }},
	{"refused", shareDecimals, func(k KindResult) float64 { return k.Refused }},
	{"refusals", shareDecimals, func(k KindResult) float64 { return k.Refusals }},
	{"broken", shareDecimals, func(k KindResult) float64 { return k.Broken }},
	{"left", shareDecimals, func(k KindResult) float64 { return k.Left }},
	{"p50 ms", 0, func(k KindResult) float64 { return k.Median }},
	{"p99 ms", 0, func(k KindResult) float64 { return k.Last }},
}

// WriteTable prints the means over the seeds, with the half width of their 95% intervals, and the difference to the first policy.
func (x *Experiment) WriteTable(out io.Writer) {
	fmt.Fprintf(out, "%s: %d seeds, mean and half of the 95%% interval; the difference to %s is taken seed by seed\n\n", x.Name, x.Seeds, x.Policies[0])
	fmt.Fprintf(out, "%-12s", "policy")
	for _, c := range overall {
		fmt.Fprintf(out, " %-15s", c.name)
	}
	fmt.Fprintln(out, "difference attained")
	for _, p := range x.Policies {
		fmt.Fprintf(out, "%-12s", p)
		for _, c := range overall {
			m := x.of(p, c.of)
			fmt.Fprintf(out, " %5.3f +- %5.3f ", m.Value, m.Half)
		}
		d := x.against(p, overall[0].of)
		fmt.Fprintf(out, "%+.3f +- %.3f\n", d.Value, d.Half)
	}
	x.writeKinds(out)
}

func (x *Experiment) writeKinds(out io.Writer) {
	fmt.Fprintf(out, "\n%-16s %-12s", "kind", "policy")
	for _, c := range kindColumns {
		fmt.Fprintf(out, " %9s", c.name)
	}
	fmt.Fprintln(out)
	for i := range x.Scenario.Kinds {
		name := x.Scenario.Kinds[i].Name
		for _, p := range x.Policies {
			fmt.Fprintf(out, "%-16s %-12s", name, p)
			for _, c := range kindColumns {
				fmt.Fprintf(out, " %9.*f", c.decimal, x.of(p, func(r Result) float64 { return c.of(r.Kinds[name]) }).Value)
			}
			fmt.Fprintln(out)
		}
	}
}
