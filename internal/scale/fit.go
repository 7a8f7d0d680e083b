package scale

import (
	"math"
	"slices"
)

// MaxFitError is the largest relative distance of a point from a curve that is still called a fit: what runs on a shared
// machine differ by.
const MaxFitError = 0.25

// shapes that are tried, the simplest first.
var shapes = []Shape{Constant, Linear, Linearithmic, Quadratic}

// fitted fills in the curve of a slope from its points: the simplest shape that is within MaxFitError of each point's
// median, or else the one whose worst point is nearest.
func fitted(s Slope) Slope {
	best := Slope{WorstError: math.Inf(1)}
	for _, shape := range shapes {
		curve := fitShape(s, shape)
		if curve.WorstError <= MaxFitError {
			best = curve
			break
		}
		if curve.WorstError < best.WorstError {
			best = curve
		}
	}
	best.Fits = best.WorstError <= MaxFitError
	best.Spread = spread(s.Points)
	return best
}

// fitShape fits a curve of one shape by least squares of the relative distances, since sizes differ by factors. No curve
// has a base below zero: it then goes through zero.
func fitShape(s Slope, shape Shape) Slope {
	s.Shape = shape
	s.Base, s.PerUnit = leastSquares(s.Points, shape)
	s.WorstError = 0
	smallest := minRelativePart * largestMedian(s.Points)
	for _, p := range s.Points {
		median := p.Median()
		if distance := math.Abs(s.At(p.Size) - median); distance > 0 {
			s.WorstError = max(s.WorstError, distance/max(median, smallest))
		}
	}
	return s
}

// minRelativePart is the part of the largest point that a point counts as at least: there is no distance relative to
// a cost of zero.
const minRelativePart = 1e-3

// largestMedian is the largest median of a point; no cost is below zero.
func largestMedian(points []Point) (most float64) {
	for _, p := range points {
		most = max(most, p.Median())
	}
	return most
}

func leastSquares(points []Point, shape Shape) (base, perUnit float64) {
	var ones, xs, squares, ys, products float64 // weighted sums
	smallest := minRelativePart * largestMedian(points)
	for _, p := range points {
		y := p.Median()
		scale := max(y, smallest)
		if scale == 0 {
			continue
		}
		x := shape.Of(p.Size)
		weight := 1 / (scale * scale)
		ones += weight
		xs += weight * x
		squares += weight * x * x
		ys += weight * y
		products += weight * x * y
	}
	determinant := ones*squares - xs*xs
	switch {
	case ones == 0:
		return 0, 0
	case shape == Constant || determinant <= 0:
		return ys / ones, 0
	}
	base = (ys*squares - xs*products) / determinant
	perUnit = (ones*products - xs*ys) / determinant
	switch {
	case perUnit < 0: // a falling curve would predict costs below zero: the mean takes its place
		return ys / ones, 0
	case base < 0:
		return 0, products / squares
	}
	return base, perUnit
}

// spread is the largest relative spread of the runs at one size.
func spread(points []Point) float64 {
	widest := 0.0
	for _, p := range points {
		if median := p.Median(); median != 0 {
			widest = max(widest, (slices.Max(p.Runs)-slices.Min(p.Runs))/math.Abs(median))
		}
	}
	return widest
}

// Median of values, in any order; 0 where there are none.
func Median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	if len(sorted) == 0 {
		return 0
	}
	middle := len(sorted) / 2
	if len(sorted)%2 == 1 {
		return sorted[middle]
	}
	return (sorted[middle-1] + sorted[middle]) / 2
}
