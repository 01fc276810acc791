package chiveplot

import (
	"bytes"
	"fmt"
	"html/template"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	width  = 9 * vg.Inch
	height = 4.4 * vg.Inch
	// margin keeps the outermost labels from being cut off.
	margin = vg.Length(12)
	// legendSize and legendPadding keep the text of a legend from overlapping its line samples.
	legendSize    = vg.Length(9)
	legendPadding = vg.Length(10)
)

// Draw creates a plot with fill and returns it as inline SVG. The vertical axis ends at headroom times the highest
// value, so that the legend at the top covers no values.
func Draw(headroom float64, fill func(p *plot.Plot) error) (template.HTML, error) {
	p := plot.New()
	if err := fill(p); err != nil {
		return "", err
	}
	p.Legend.Top = true
	p.Legend.Padding = legendPadding
	p.Legend.TextStyle.Font.Size = legendSize
	p.Y.Max *= headroom
	var svg bytes.Buffer
	canvas := vgsvg.New(width, height)
	p.Draw(draw.Crop(draw.New(canvas), margin, -margin, margin, -margin))
	if _, err := canvas.WriteTo(&svg); err != nil {
		return "", fmt.Errorf("draw: %w", err)
	}
	// The SVG contains only numbers and names, and the plotting library escapes the names.
	return template.HTML(svg.String()), nil //nolint:gosec // see above
}
