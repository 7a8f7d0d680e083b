package scale

import (
	"math"
	"slices"
)

// MaxFitError is the largest relative error of a point at which a curve still counts as a fit. Runs on a shared machine
// differ by about this much.
const MaxFitError = 0.25

// shapes lists the shapes to try, from the simplest to the most complex.
var shapes = []Shape{Constant, Linear, Linearithmic, Quadratic}

// fitSlope returns the slope with the best curve for its points. It uses the simplest shape that is within MaxFitError of the
// median of every point, or else the shape with the smallest worst error.
func fitSlope(s Slope) Slope {
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

// fitShape fits a curve of one shape by least squares of the relative errors, because sizes differ by orders of magnitude.
// A curve whose base would be negative goes through zero instead.
func fitShape(s Slope, shape Shape) Slope {
	s.Shape = shape
	s.Base, s.PerUnit = leastSquares(s.Points, shape)
	s.WorstError = 0
	minDivisor := minMedianFraction * largestMedian(s.Points)
	for _, p := range s.Points {
		median := p.Median()
		if difference := math.Abs(s.At(p.Size) - median); difference > 0 {
			s.WorstError = max(s.WorstError, difference/max(median, minDivisor))
		}
	}
	return s
}

// minMedianFraction limits the divisor of a relative error: it is at least this fraction of the largest median. Without the
// limit, the relative error at a cost of zero would be undefined.
const minMedianFraction = 1e-3

// largestMedian returns the largest median of the points. Costs are never negative.
func largestMedian(points []Point) (largest float64) {
	for _, p := range points {
		largest = max(largest, p.Median())
	}
	return largest
}

// leastSquares returns the base and the slope of the curve with the smallest sum of squared relative errors.
func leastSquares(points []Point, shape Shape) (base, perUnit float64) {
	var sumWeights, sumX, sumXX, sumY, sumXY float64 // weighted sums
	minDivisor := minMedianFraction * largestMedian(points)
	for _, p := range points {
		y := p.Median()
		divisor := max(y, minDivisor)
		if divisor == 0 {
			continue
		}
		x := shape.Of(p.Size)
		weight := 1 / (divisor * divisor)
		sumWeights += weight
		sumX += weight * x
		sumXX += weight * x * x
		sumY += weight * y
		sumXY += weight * x * y
	}
	determinant := sumWeights*sumXX - sumX*sumX
	switch {
	case sumWeights == 0:
		return 0, 0
	case shape == Constant || determinant <= 0:
		return sumY / sumWeights, 0
	}
	base = (sumY*sumXX - sumX*sumXY) / determinant
	perUnit = (sumWeights*sumXY - sumX*sumY) / determinant
	switch {
	case perUnit < 0: // a falling curve would predict negative costs: use the mean instead
		return sumY / sumWeights, 0
	case base < 0:
		return 0, sumXY / sumXX
	}
	return base, perUnit
}

// spread returns the largest relative spread of the runs at one size.
func spread(points []Point) float64 {
	largest := 0.0
	for _, p := range points {
		if median := p.Median(); median != 0 {
			largest = max(largest, (slices.Max(p.Runs)-slices.Min(p.Runs))/math.Abs(median))
		}
	}
	return largest
}

// Median returns the median of values, which may be in any order; 0 if there are none.
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
