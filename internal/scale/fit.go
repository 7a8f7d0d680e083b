package scale

import (
	"cmp"
	"math"
	"slices"
)

// MaxFitError is the largest relative distance of a point from a curve that is still called a fit: what runs on a shared
// machine differ by.
const MaxFitError = 0.25

// shapes that are tried, the simplest first.
var shapes = []Shape{Constant, Linear, Linearithmic, Quadratic}

// fitted fills in the curve of a slope from its points: the simplest shape that is within FitBound of each point's
// median, or else the one whose worst point is nearest.
func fitted(s Slope) Slope {
	best := Slope{WorstError: math.Inf(1)}
	for _, shape := range shapes {
		one := fitShape(s, shape)
		if one.WorstError <= MaxFitError {
			best = one
			break
		}
		if one.WorstError < best.WorstError {
			best = one
		}
	}
	best.Fits = best.WorstError <= MaxFitError
	best.Spread = spread(s.Points)
	return best
}

// fitShape lays a curve of one shape by least squares of the relative distances, since sizes are spread by factors.
// A base below zero stands for nothing; the curve then goes through zero.
func fitShape(s Slope, shape Shape) Slope {
	s.Shape = shape
	s.Base, s.PerUnit = leastSquares(s.Points, shape)
	s.WorstError = 0
	least := minRelativePart * largestMedian(s.Points)
	for _, p := range s.Points {
		median := Median(p.Runs)
		if distance := math.Abs(s.At(p.Size) - median); distance > 0 {
			s.WorstError = max(s.WorstError, distance/max(median, least))
		}
	}
	return s
}

// leastPart is the part of the largest point below which a point counts as if it were that: a cost that is nothing at
// one size can't be told relative to itself.
const minRelativePart = 1e-3

// largest is the largest median; no cost is below zero.
func largestMedian(points []Point) (most float64) {
	for _, p := range points {
		most = max(most, Median(p.Runs))
	}
	return most
}

func leastSquares(points []Point, shape Shape) (base, perUnit float64) {
	var ones, xs, squares, ys, products float64 // weighted sums
	least := minRelativePart * largestMedian(points)
	for _, p := range points {
		y := Median(p.Runs)
		scale := max(y, least)
		if scale == 0 {
			continue
		}
		x, weight := shape.Of(p.Size), 1/(scale*scale)
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
	case perUnit < 0: // no cost is foretold to fall below zero: one that falls counts as its mean
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
		if median := Median(p.Runs); median != 0 {
			widest = max(widest, (slices.Max(p.Runs)-slices.Min(p.Runs))/math.Abs(median))
		}
	}
	return widest
}

func Median(values []float64) float64 {
	sorted := slices.SortedFunc(slices.Values(values), cmp.Compare[float64])
	if len(sorted) == 0 {
		return 0
	}
	middle := len(sorted) / 2
	if len(sorted)%2 == 1 {
		return sorted[middle]
	}
	return (sorted[middle-1] + sorted[middle]) / 2
}
