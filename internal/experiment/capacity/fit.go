// Package capacity measures how resource use grows with the fleet. docs/CAPACITY.md
// extrapolates the costs at the target size from the fitted slopes.
package capacity

import (
	"math"

	"gonum.org/v1/gonum/stat"
)

// Point is one measurement of a figure at one size.
type Point struct {
	Size  float64 `json:"size"`
	Value float64 `json:"value"`
}

// Fit is a linear fit and its largest relative error.
type Fit struct {
	Intercept float64 `json:"intercept"`
	Slope     float64 `json:"slope"`    // increase of the value per unit of size
	Residual  float64 `json:"residual"` // largest distance of a point over the largest value
}

// At returns the fitted value at a size.
func (f Fit) At(size float64) float64 { return f.Intercept + f.Slope*size }

// FitLine fits a straight line by least squares.
func FitLine(points []Point) Fit {
	x, y := make([]float64, len(points)), make([]float64, len(points))
	largest := 0.0
	for i, p := range points {
		x[i], y[i] = p.Size, p.Value
		largest = max(largest, math.Abs(p.Value))
	}
	intercept, slope := stat.LinearRegression(x, y, nil, false)
	f := Fit{Intercept: intercept, Slope: slope}
	if largest == 0 {
		return f
	}
	for _, p := range points {
		f.Residual = max(f.Residual, math.Abs(p.Value-f.At(p.Size))/largest)
	}
	return f
}
