package chiveexperiment

import (
	"bytes"
	"fmt"
	"html/template"
	"io"
	"strconv"

	"chivedrift/chiveplot"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	// legendRoom is how much higher than its highest value a plot is, so that the legend hides nothing.
	legendRoom = 1.4
	barWidth   = vg.Length(14)
	percent    = 100
)

var pageTemplate = template.Must(template.New("page").Parse(`<!doctype html>
<meta charset="utf-8"><title>{{.Name}}</title>
<style>body{font-family:sans-serif;max-width:70em;margin:2em auto;padding:0 1em}pre{background:#f4f4f4;padding:1em;overflow:auto}svg{max-width:100%;height:auto}</style>
<h1>{{.Name}}</h1>
<h2>Attained over time, mean of the seeds</h2>{{.Windows}}
<h2>Attained by kind</h2>{{.Kinds}}
<h2>Table</h2><pre>{{.Table}}</pre>
`))

// WritePage writes one page with the table and plots that needs nothing beside itself.
func (x *Experiment) WritePage(out io.Writer) error {
	var table bytes.Buffer
	x.WriteTable(&table)
	windows, err := chiveplot.Draw(legendRoom, x.plotWindows)
	if err != nil {
		return fmt.Errorf("plot over time: %w", err)
	}
	kinds, err := chiveplot.Draw(legendRoom, x.plotKinds)
	if err != nil {
		return fmt.Errorf("plot by kind: %w", err)
	}
	page := struct {
		Name, Table    string
		Windows, Kinds template.HTML
	}{x.Name, table.String(), windows, kinds}
	if err := pageTemplate.Execute(out, page); err != nil {
		return fmt.Errorf("page: %w", err)
	}
	return nil
}

func (x *Experiment) plotWindows(p *plot.Plot) error {
	p.X.Label.Text, p.Y.Label.Text = "seconds", "% of the worth"
	p.Y.Min, p.Y.Max = 0, percent
	for i, policy := range x.Policies {
		line, err := plotter.NewLine(x.overTime(policy))
		if err != nil {
			return fmt.Errorf("%s: %w", policy, err)
		}
		line.Color = plotutil.Color(i)
		p.Add(line)
		p.Legend.Add(policy, line)
	}
	return nil
}

// overTime returns what a policy attains in each window, in the mean of the seeds that have it.
func (x *Experiment) overTime(policy string) plotter.XYs {
	var points plotter.XYs
	for window := 0; ; window++ {
		sum, count := 0.0, 0
		for _, r := range x.Results[policy] {
			if window < len(r.Windows) {
				sum += r.Windows[window]
				count++
			}
		}
		if count == 0 {
			return points
		}
		points = append(points, plotter.XY{X: float64(window) * windowOf.Seconds(), Y: percent * sum / float64(count)})
	}
}

func (x *Experiment) plotKinds(p *plot.Plot) error {
	p.Y.Label.Text = "% of the worth"
	p.Y.Min, p.Y.Max = 0, percent
	var names []string
	for i := range x.Scenario.Kinds {
		names = append(names, x.Scenario.Kinds[i].Name)
	}
	for i, policy := range x.Policies {
		values := make(plotter.Values, 0, len(names))
		for _, name := range names {
			values = append(values, percent*x.of(policy, func(r Result) float64 { return r.Kinds[name].Attained }).Value)
		}
		bars, err := plotter.NewBarChart(values, barWidth)
		if err != nil {
			return fmt.Errorf("%s: %w", policy, err)
		}
		bars.Color, bars.Offset = plotutil.Color(i), barWidth*vg.Length(float64(i)-float64(len(x.Policies)-1)/2)
		p.Add(bars)
		p.Legend.Add(policy+" ("+strconv.Itoa(x.Seeds)+" seeds)", bars)
	}
	p.NominalX(names...)
	return nil
}
