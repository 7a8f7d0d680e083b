package scale

import (
	"math"
	"math/rand/v2"
	"testing"
)

// pointsOf returns points of a curve with three runs each, which deviate from it by a relative error of up to noise.
func pointsOf(curve func(float64) float64, noise float64) (points []Point) {
	rng := rand.New(rand.NewPCG(1, 2))
	for _, size := range []float64{60, 240, 600, 2400, 6000} {
		p := Point{Size: size}
		for range 3 {
			p.Runs = append(p.Runs, curve(size)*(1+noise*(2*rng.Float64()-1)))
		}
		points = append(points, p)
	}
	return points
}

func TestKnownCurvesAreRecovered(t *testing.T) {
	for _, want := range []Slope{
		{Shape: Constant, Base: 3},
		{Shape: Linear, Base: 2, PerUnit: 0.01},
		{Shape: Linear, Base: 0, PerUnit: 5e-6},
		{Shape: Quadratic, Base: 1, PerUnit: 0.001},
	} {
		for _, noise := range []float64{0, 0.05} {
			got := fitSlope(Slope{Points: pointsOf(want.At, noise)})
			if got.Shape != want.Shape || !got.Fits {
				t.Errorf("%s with noise %g: got %s, fits %v, worst error %g", want.Shape, noise, got.Shape, got.Fits, got.WorstError)
			}
			for _, size := range []float64{60, 6000, 24000} {
				if relativeError := math.Abs(got.At(size)/want.At(size) - 1); relativeError > 2*noise+1e-9 {
					t.Errorf("%s with noise %g: At(%g) = %g, want %g", want.Shape, noise, size, got.At(size), want.At(size))
				}
			}
		}
	}
}

// A straight line may be within MaxFitError of n log n at these sizes, so each shape is also tested on its own.
func TestEachShapeFitsItsOwnCurve(t *testing.T) {
	for _, shape := range shapes {
		want := Slope{Shape: shape, Base: 2, PerUnit: 0.5}
		got := fitShape(Slope{Points: pointsOf(want.At, 0)}, shape)
		if got.WorstError > 1e-9 {
			t.Errorf("%s: worst error %g, want 0", shape, got.WorstError)
		}
	}
}

func TestCurveWithoutAFittingShapeIsReported(t *testing.T) {
	step := func(size float64) float64 {
		if size < 1000 {
			return 1
		}
		return 100
	}
	if got := fitSlope(Slope{Points: pointsOf(step, 0)}); got.Fits || got.WorstError <= MaxFitError {
		t.Errorf("step function: got %+v, want no fitting shape", got)
	}
}

func TestFallingCostIsNeverPredictedNegative(t *testing.T) {
	got := fitSlope(Slope{Points: pointsOf(func(size float64) float64 { return 100 / size }, 0)})
	if got.PerUnit < 0 || got.At(1e6) < 0 {
		t.Errorf("falling cost: got %+v, want no negative slope or cost", got)
	}
}

func TestCostOfZeroIsConstant(t *testing.T) {
	got := fitSlope(Slope{Points: pointsOf(func(float64) float64 { return 0 }, 0)})
	if got.Shape != Constant || got.Base != 0 || !got.Fits || got.Spread != 0 {
		t.Errorf("cost of zero: got %+v, want a constant 0", got)
	}
}

func TestSpreadIsTheLargestOfAllSizes(t *testing.T) {
	points := []Point{{1, []float64{1, 1, 1}}, {2, []float64{8, 10, 14}}}
	if got := spread(points); math.Abs(got-0.6) > 1e-9 {
		t.Errorf("spread %g, want 0.6", got)
	}
}

// If no shape fits, the cost between two measured sizes is interpolated between their medians, and the cost outside the
// measured sizes is that of the curve.
func TestCostWithoutAFittingShapeIsInterpolated(t *testing.T) {
	points := []Point{{Size: 100, Runs: []float64{9, 5, 7}}, {Size: 10, Runs: []float64{1, 3}}}
	s := Slope{Shape: Linear, Base: 1000, PerUnit: 1, Points: points}
	for size, want := range map[float64]float64{10: 2, 100: 7, 28: 3, 55: 4.5, 5: 1005, 200: 1200} {
		if got := s.Estimate(size); math.Abs(got-want) > 1e-9 {
			t.Errorf("no shape fits: Estimate(%g) = %g, want %g", size, got, want)
		}
	}
	s.Fits = true
	if got := s.Estimate(55); got != 1055 {
		t.Errorf("the curve fits: Estimate(55) = %g, want 1055", got)
	}
}
