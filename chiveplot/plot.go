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
	// margin keeps the outermost labels whole.
	margin = vg.Length(12)
	// legendSize and legendPadding keep a legend's words apart from its samples.
	legendSize    = vg.Length(9)
	legendPadding = vg.Length(10)
)

// Draw fills a plot and returns it as a drawing; room is how many times its highest value a plot is high, so that the legend at the
// top hides nothing.
func Draw(room float64, fill func(p *plot.Plot) error) (template.HTML, error) {
	p := plot.New()
	if err := fill(p); err != nil {
		return "", err
	}
	p.Legend.Top = true
	p.Legend.Padding = legendPadding
	p.Legend.TextStyle.Font.Size = legendSize
	p.Y.Max *= room
	var svg bytes.Buffer
	canvas := vgsvg.New(width, height)
	p.Draw(draw.Crop(draw.New(canvas), margin, -margin, margin, -margin))
	if _, err := canvas.WriteTo(&svg); err != nil {
		return "", fmt.Errorf("draw: %w", err)
	}
	// The drawing is made of numbers and of names that the plotting library escapes.
	return template.HTML(svg.String()), nil //nolint:gosec // see above
}
