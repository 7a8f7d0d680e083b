package scale

import (
	"math"
	"math/rand/v2"
	"testing"
)

// pointsOf are three runs at each size of a curve, each off by up to a part.
func pointsOf(curve func(float64) float64, off float64) (points []Point) {
	rng := rand.New(rand.NewPCG(1, 2))
	for _, size := range []float64{60, 240, 600, 2400, 6000} {
		p := Point{Size: size}
		for range 3 {
			p.Runs = append(p.Runs, curve(size)*(1+off*(2*rng.Float64()-1)))
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
		for _, off := range []float64{0, 0.05} {
			got := fitted(Slope{Points: pointsOf(want.At, off)})
			if got.Shape != want.Shape || !got.Fits {
				t.Errorf("%s off by %g: %s, fits %v, worst %g", want.Shape, off, got.Shape, got.Fits, got.WorstError)
			}
			for _, size := range []float64{60, 6000, 24000} {
				if distance := math.Abs(got.At(size)/want.At(size) - 1); distance > 2*off+1e-9 {
					t.Errorf("%s off by %g at %g: %g, %g is due", want.Shape, off, size, got.At(size), want.At(size))
				}
			}
		}
	}
}

// A straight line may pass for n log n over these sizes, so that each shape is also fitted alone.
func TestEachShapeFitsItsOwnCurve(t *testing.T) {
	for _, shape := range shapes {
		want := Slope{Shape: shape, Base: 2, PerUnit: 0.5}
		got := fitShape(Slope{Points: pointsOf(want.At, 0)}, shape)
		if got.WorstError > 1e-9 {
			t.Errorf("%s: %g off", shape, got.WorstError)
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
	if got := fitted(Slope{Points: pointsOf(step, 0)}); got.Fits || got.WorstError <= MaxFitError {
		t.Errorf("%+v", got)
	}
}

func TestFallingCostIsNeverPredictedBelowZero(t *testing.T) {
	got := fitted(Slope{Points: pointsOf(func(size float64) float64 { return 100 / size }, 0)})
	if got.PerUnit < 0 || got.At(1e6) < 0 {
		t.Errorf("%+v", got)
	}
}

func TestCostOfZeroIsConstant(t *testing.T) {
	got := fitted(Slope{Points: pointsOf(func(float64) float64 { return 0 }, 0)})
	if got.Shape != Constant || got.Base != 0 || !got.Fits || got.Spread != 0 {
		t.Errorf("%+v", got)
	}
}

func TestSpreadIsOfTheWidestSize(t *testing.T) {
	points := []Point{{1, []float64{1, 1, 1}}, {2, []float64{8, 10, 14}}}
	if got := spread(points); math.Abs(got-0.6) > 1e-9 {
		t.Errorf("%g", got)
	}
}

// Where no shape fits, a cost between two measured sizes lies between their medians; beyond them it is the curve's.
func TestCostWithoutAFittingShapeIsInterpolated(t *testing.T) {
	points := []Point{{Size: 100, Runs: []float64{9, 5, 7}}, {Size: 10, Runs: []float64{1, 3}}}
	s := Slope{Shape: Linear, Base: 1000, PerUnit: 1, Points: points}
	for size, want := range map[float64]float64{10: 2, 100: 7, 28: 3, 55: 4.5, 5: 1005, 200: 1200} {
		if got := s.Estimate(size); math.Abs(got-want) > 1e-9 {
			t.Errorf("no shape fits: %g at %g, want %g", got, size, want)
		}
	}
	s.Fits = true
	if got := s.Estimate(55); got != 1055 {
		t.Errorf("the curve fits: %g, want 1055", got)
	}
}
