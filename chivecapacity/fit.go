package chivecapacity

import (
	"math"
)

// Line is a least-squares fit of measurements against sizes.
type Line struct {
	intercept float64
	slope     float64
	residual  float64
}

// Fit fits a line to values measured at sizes; both have the same length, at least two.
func Fit(sizes, values []float64) Line {
	n := float64(len(sizes))
	var sumX, sumY, sumXX, sumXY float64
	for i, x := range sizes {
		sumX += x
		sumY += values[i]
		sumXX += x * x
		sumXY += x * values[i]
	}
	slope := (n*sumXY - sumX*sumY) / (n*sumXX - sumX*sumX)
	line := Line{slope: slope, intercept: (sumY - slope*sumX) / n}
	for i, x := range sizes {
		line.residual = max(line.residual, math.Abs(values[i]-line.At(x)))
	}
	return line
}

// At extrapolates to a size.
func (l Line) At(size float64) float64 { return l.intercept + l.slope*size }

// Intercept returns the value at size zero.
func (l Line) Intercept() float64 { return l.intercept }

// Slope returns the rise a unit of size.
func (l Line) Slope() float64 { return l.slope }

// Residual returns the largest distance of a measurement from the line.
func (l Line) Residual() float64 { return l.residual }
