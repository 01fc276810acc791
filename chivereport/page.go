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
	// legendHeadroom is the height of a plot as a multiple of its highest value, so that the legend covers no values.
	legendHeadroom = 1.9
	barWidth       = 10 * vg.Length(1)
	// maxRoutesPlotted is how many routes a plot shows at most.
	maxRoutesPlotted = 6
)

var pageTemplate = template.Must(template.New("page").Parse(`<!doctype html>
<meta charset="utf-8"><title>chivedrift report</title>
<style>body{font-family:sans-serif;max-width:60em;margin:2em auto;padding:0 1em}pre{background:#f4f4f4;padding:1em;overflow:auto}svg{max-width:100%;height:auto}</style>
<h1>Request outcomes</h1>
{{range .Plots}}<h2>{{.Title}}</h2>{{.Drawing}}{{end}}
<h2>By route and reason</h2><pre>{{.Table}}</pre>
`))

// pagePlot is one plot of the page.
type pagePlot struct {
	Title   string
	Drawing template.HTML
}

// WritePage writes a self-contained HTML page with plots and the table.
func (r *Report) WritePage(out io.Writer) error {
	var table bytes.Buffer
	r.WriteTable(&table)
	page := struct {
		Plots []pagePlot
		Table string
	}{Table: table.String()}
	for _, p := range []struct {
		title string
		fill  func(p *plot.Plot) error
	}{
		{"Requests served on time, by time window", r.plotOnTime},
		{"Requests lost or late, by time window", r.plotLosses},
		{"Time to the first event", r.plotFirstEventTimes},
		{"Prompt tokens read again, by endpoint", r.plotRepeatedTokens},
	} {
		svg, err := chiveplot.Draw(legendHeadroom, p.fill)
		if err != nil {
			return fmt.Errorf("plot %q: %w", p.title, err)
		}
		page.Plots = append(page.Plots, pagePlot{p.title, svg})
	}
	if err := pageTemplate.Execute(out, page); err != nil {
		return fmt.Errorf("page: %w", err)
	}
	return nil
}

// plottedRoutes returns the routes with the most requests, not counting those that the configuration does not allow.
func (r *Report) plottedRoutes() []string {
	requests := make(map[string]int64)
	for row, n := range r.rows {
		if row.Reason != ReasonNotAllowed {
			requests[row.Route] += n
		}
	}
	routes := slices.SortedFunc(maps.Keys(requests), func(a, b string) int {
		return cmp.Or(cmp.Compare(requests[b], requests[a]), cmp.Compare(a, b))
	})
	return routes[:min(len(routes), maxRoutesPlotted)]
}

// shareByWindow returns the percentage of a route's requests in each time window whose reason matches.
func (r *Report) shareByWindow(route string, matches func(Reason) bool) plotter.XYs {
	total, matched := make(map[int]int64), make(map[int]int64)
	for row, n := range r.rows {
		if row.Route != route || row.Reason == ReasonNotAllowed {
			continue
		}
		total[row.Moment] += n
		if matches(row.Reason) {
			matched[row.Moment] += n
		}
	}
	points := make(plotter.XYs, 0, len(total))
	for _, second := range slices.Sorted(maps.Keys(total)) {
		points = append(points, plotter.XY{X: float64(second), Y: percent * float64(matched[second]) / float64(total[second])})
	}
	return points
}

func (r *Report) plotOnTime(p *plot.Plot) error {
	p.X.Label.Text, p.Y.Label.Text = "seconds", "% of the requests"
	p.Y.Min, p.Y.Max = 0, percent
	for i, route := range r.plottedRoutes() {
		line, err := plotter.NewLine(r.shareByWindow(route, func(reason Reason) bool { return reason == ReasonNone }))
		if err != nil {
			return err //nolint:wrapcheck // the caller names the plot
		}
		line.Color = plotutil.Color(i)
		p.Add(line)
		p.Legend.Add(routeLabel(route), line)
	}
	return nil
}

func (r *Report) plotLosses(p *plot.Plot) error {
	p.X.Label.Text, p.Y.Label.Text = "seconds", "requests"
	colorIndex := 0
	for reason := ReasonRefusedInTime; reason < reasonCount; reason++ {
		requestsByWindow := make(map[int]int64)
		for row, n := range r.rows {
			if row.Reason == reason {
				requestsByWindow[row.Moment] += n
			}
		}
		if len(requestsByWindow) == 0 || reason == ReasonNotAllowed {
			continue
		}
		points := make(plotter.XYs, 0, len(requestsByWindow))
		for _, second := range slices.Sorted(maps.Keys(requestsByWindow)) {
			points = append(points, plotter.XY{X: float64(second), Y: float64(requestsByWindow[second])})
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return err //nolint:wrapcheck // the caller names the plot
		}
		line.Color, line.Dashes = plotutil.Color(colorIndex), plotutil.Dashes(colorIndex/len(plotutil.DefaultColors))
		colorIndex++
		p.Add(line)
		p.Legend.Add(reason.String(), line)
	}
	return nil
}

func (r *Report) plotFirstEventTimes(p *plot.Plot) error {
	p.X.Label.Text, p.Y.Label.Text = "milliseconds, up to", "requests"
	var labels []string
	for bucket := range histogramBuckets {
		labels = append(labels, strconv.Itoa(1<<bucket))
	}
	p.NominalX(labels...)
	for i, route := range r.plottedRoutes() {
		values := make(plotter.Values, histogramBuckets)
		if h := r.firstEventTimes[route]; h != nil {
			for bucket, n := range h.counts {
				values[bucket] = float64(n)
			}
		}
		bars, err := plotter.NewBarChart(values, barWidth/2)
		if err != nil {
			return err //nolint:wrapcheck // the caller names the plot
		}
		bars.Color, bars.Offset = plotutil.Color(i), barWidth/2*vg.Length(i-maxRoutesPlotted/2)
		p.Add(bars)
		p.Legend.Add(routeLabel(route), bars)
	}
	return nil
}

func (r *Report) plotRepeatedTokens(p *plot.Plot) error {
	p.Y.Label.Text = "tokens"
	names := slices.Sorted(maps.Keys(r.repeatedTokens))
	names = slices.DeleteFunc(names, func(name string) bool { return r.repeatedTokens[name] == 0 })
	if len(names) == 0 {
		return nil
	}
	values := make(plotter.Values, len(names))
	for i, name := range names {
		values[i] = float64(r.repeatedTokens[name])
	}
	bars, err := plotter.NewBarChart(values, barWidth)
	if err != nil {
		return err //nolint:wrapcheck // the caller names the plot
	}
	p.Add(bars)
	p.NominalX(names...)
	return nil
}
