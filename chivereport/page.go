package chivereport

import (
	"bytes"
	"cmp"
	"fmt"
	"html/template"
	"io"
	"maps"
	"slices"
	"strconv"

	"chivedrift/chiveplot"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	// legendRoom is how much higher than its highest value a plot is, so that the legend hides nothing.
	legendRoom = 1.9
	barWidth   = 10 * vg.Length(1)
	// routesShown is how many routes a plot shows, those with the most requests.
	routesShown = 6
)

var pageTemplate = template.Must(template.New("page").Parse(`<!doctype html>
<meta charset="utf-8"><title>chivedrift report</title>
<style>body{font-family:sans-serif;max-width:60em;margin:2em auto;padding:0 1em}pre{background:#f4f4f4;padding:1em;overflow:auto}svg{max-width:100%;height:auto}</style>
<h1>What became of the requests</h1>
{{range .Plots}}<h2>{{.Title}}</h2>{{.Drawing}}{{end}}
<h2>By route and reason</h2><pre>{{.Table}}</pre>
`))

// drawing is one plot of the page.
type drawing struct {
	Title   string
	Drawing template.HTML
}

// WritePage writes one page with plots that needs nothing beside itself.
func (r *Report) WritePage(out io.Writer) error {
	var table bytes.Buffer
	r.WriteTable(&table)
	page := struct {
		Plots []drawing
		Table string
	}{Table: table.String()}
	for _, d := range []struct {
		title string
		make  func(p *plot.Plot) error
	}{
		{"Served on time, by moment", r.plotOnTime},
		{"Lost or late, by moment", r.plotLosses},
		{"Time to the first event", r.plotFirsts},
		{"Prompt tokens read again, by endpoint", r.plotAgain},
	} {
		svg, err := chiveplot.Draw(legendRoom, d.make)
		if err != nil {
			return fmt.Errorf("plot %q: %w", d.title, err)
		}
		page.Plots = append(page.Plots, drawing{d.title, svg})
	}
	if err := pageTemplate.Execute(out, page); err != nil {
		return fmt.Errorf("page: %w", err)
	}
	return nil
}

// shownRoutes are the routes with the most requests that the configuration allows.
func (r *Report) shownRoutes() []string {
	requests := make(map[string]int64)
	for row, n := range r.rows {
		if row.Reason != ReasonNotAllowed {
			requests[row.Route] += n
		}
	}
	routes := slices.SortedFunc(maps.Keys(requests), func(a, b string) int {
		return cmp.Or(cmp.Compare(requests[b], requests[a]), cmp.Compare(a, b))
	})
	return routes[:min(len(routes), routesShown)]
}

// byMoment returns, for a route, the share of its requests at each moment that a test picks.
func (r *Report) byMoment(route string, picks func(Reason) bool) plotter.XYs {
	all, picked := make(map[int]int64), make(map[int]int64)
	for row, n := range r.rows {
		if row.Route != route || row.Reason == ReasonNotAllowed {
			continue
		}
		all[row.Moment] += n
		if picks(row.Reason) {
			picked[row.Moment] += n
		}
	}
	points := make(plotter.XYs, 0, len(all))
	for _, m := range slices.Sorted(maps.Keys(all)) {
		points = append(points, plotter.XY{X: float64(m), Y: percent * float64(picked[m]) / float64(all[m])})
	}
	return points
}

func (r *Report) plotOnTime(p *plot.Plot) error {
	p.X.Label.Text, p.Y.Label.Text = "seconds", "% of the requests"
	p.Y.Min, p.Y.Max = 0, percent
	for i, route := range r.shownRoutes() {
		line, err := plotter.NewLine(r.byMoment(route, func(reason Reason) bool { return reason == ReasonNone }))
		if err != nil {
			return err //nolint:wrapcheck // the caller names the plot
		}
		line.Color = plotutil.Color(i)
		p.Add(line)
		p.Legend.Add(orNone(route), line)
	}
	return nil
}

func (r *Report) plotLosses(p *plot.Plot) error {
	p.X.Label.Text, p.Y.Label.Text = "seconds", "requests"
	color := 0
	for reason := ReasonRefusedInTime; reason < reasons; reason++ {
		sums := make(map[int]int64)
		for row, n := range r.rows {
			if row.Reason == reason {
				sums[row.Moment] += n
			}
		}
		if len(sums) == 0 || reason == ReasonNotAllowed {
			continue
		}
		points := make(plotter.XYs, 0, len(sums))
		for _, m := range slices.Sorted(maps.Keys(sums)) {
			points = append(points, plotter.XY{X: float64(m), Y: float64(sums[m])})
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return err //nolint:wrapcheck // the caller names the plot
		}
		line.Color, line.Dashes = plotutil.Color(color), plotutil.Dashes(color/len(plotutil.DefaultColors))
		color++
		p.Add(line)
		p.Legend.Add(reason.String(), line)
	}
	return nil
}

func (r *Report) plotFirsts(p *plot.Plot) error {
	p.X.Label.Text, p.Y.Label.Text = "milliseconds, up to", "requests"
	var labels []string
	for step := range histogramSteps {
		labels = append(labels, strconv.Itoa(1<<step))
	}
	p.NominalX(labels...)
	for i, route := range r.shownRoutes() {
		values := make(plotter.Values, histogramSteps)
		if h := r.firsts[route]; h != nil {
			for step, n := range h.counts {
				values[step] = float64(n)
			}
		}
		bars, err := plotter.NewBarChart(values, barWidth/2)
		if err != nil {
			return err //nolint:wrapcheck // the caller names the plot
		}
		bars.Color, bars.Offset = plotutil.Color(i), barWidth/2*vg.Length(i-routesShown/2)
		p.Add(bars)
		p.Legend.Add(orNone(route), bars)
	}
	return nil
}

func (r *Report) plotAgain(p *plot.Plot) error {
	p.Y.Label.Text = "tokens"
	names := slices.Sorted(maps.Keys(r.again))
	names = slices.DeleteFunc(names, func(name string) bool { return r.again[name] == 0 })
	if len(names) == 0 {
		return nil
	}
	values := make(plotter.Values, len(names))
	for i, name := range names {
		values[i] = float64(r.again[name])
	}
	bars, err := plotter.NewBarChart(values, barWidth)
	if err != nil {
		return err //nolint:wrapcheck // the caller names the plot
	}
	p.Add(bars)
	p.NominalX(names...)
	return nil
}
