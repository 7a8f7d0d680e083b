// Package scale measures how the cost of a manager, and of the control plane that serves it, grows with each dimension of
// a fleet's size. It varies one axis at a time and fits a base and a slope to the measurements. The daemon must never
// import this package.
package scale

import (
	"cmp"
	"math"
	"slices"
)

// ReportVersion is the version of the file format of a Report.
const ReportVersion = 1

// Shape is the form of a curve.
type Shape string

// Shapes of curves, from the simplest to the most complex.
const (
	Constant     Shape = "constant"
	Linear       Shape = "linear"
	Linearithmic Shape = "n-log-n"
	Quadratic    Shape = "quadratic"
)

// Of returns the value at a size by which a slope's PerUnit is multiplied.
func (s Shape) Of(size float64) float64 {
	switch s {
	case Linear:
		return size
	case Linearithmic:
		return size * math.Log2(max(size, 1))
	case Quadratic:
		return size * size
	}
	return 0
}

// Point holds the results of all runs at one size, in the cost's unit.
type Point struct {
	Size float64   `json:"size"`
	Runs []float64 `json:"runs"`
}

// Median returns the median of the runs.
func (p Point) Median() float64 { return Median(p.Runs) }

// Slope describes how one cost grows along one axis while all other axes are at the report's reference sizes. The curve is
// Base + PerUnit*Shape.Of(size).
type Slope struct {
	Cost       Cost    `json:"cost"`
	Axis       Axis    `json:"axis"`
	Unit       string  `json:"unit"` // seconds, bytes, connections, proxies, or per second
	Shape      Shape   `json:"shape"`
	Base       float64 `json:"base"`
	PerUnit    float64 `json:"perUnit"`
	WorstError float64 `json:"worstError"` // largest relative error of the curve at a point's median
	Spread     float64 `json:"spread"`     // largest relative spread of the runs at one size
	Fits       bool    `json:"fits"`       // WorstError is at most MaxFitError; if false, no shape fits and this is the closest
	Hollow     bool    `json:"hollow"`     // measured on hollow managers, not on real processes
	Points     []Point `json:"points"`
}

// SmallestSize returns the smallest measured size; +Inf if there are no points.
func (s Slope) SmallestSize() float64 {
	smallest := math.Inf(1)
	for _, p := range s.Points {
		smallest = min(smallest, p.Size)
	}
	return smallest
}

// LargestSize returns the largest measured size; 0 if there are no points.
func (s Slope) LargestSize() float64 {
	largest := 0.0
	for _, p := range s.Points {
		largest = max(largest, p.Size)
	}
	return largest
}

// At returns the curve's cost at a size.
func (s Slope) At(size float64) float64 { return s.Base + s.PerUnit*s.Shape.Of(size) }

// Estimate returns the cost at a size. It uses the curve or, if no shape fits and the size is within the measured sizes,
// interpolates between the medians of the two neighboring sizes.
func (s Slope) Estimate(size float64) float64 {
	if s.Interpolates(size) {
		return s.interpolate(size)
	}
	return s.At(size)
}

// Interpolates reports whether Estimate uses the measured points instead of the curve at a size.
func (s Slope) Interpolates(size float64) bool {
	return !s.Fits && len(s.Points) > 1 && size >= s.SmallestSize() && size <= s.LargestSize()
}

// interpolate returns the cost at a size within the measured sizes by linear interpolation between the medians of the two
// neighboring sizes.
func (s Slope) interpolate(size float64) float64 {
	points := slices.SortedFunc(slices.Values(s.Points), func(a, b Point) int { return cmp.Compare(a.Size, b.Size) })
	i, found := slices.BinarySearchFunc(points, size, func(p Point, size float64) int { return cmp.Compare(p.Size, size) })
	if found || i == 0 {
		return points[i].Median()
	}
	low := points[i-1]
	high := points[i]
	fraction := (size - low.Size) / (high.Size - low.Size)
	return low.Median() + fraction*(high.Median()-low.Median())
}

// Report holds the results of one run of the measurement.
type Report struct {
	Version   int              `json:"version"`
	Seed      uint64           `json:"seed"`
	Cores     int              `json:"cores"`
	GoVersion string           `json:"goVersion"`
	Reference map[Axis]float64 `json:"reference"` // sizes of the axes that stay constant while one axis grows
	Slopes    []Slope          `json:"slopes"`
	PlanSize  []PlanSizeCase   `json:"planSize,omitempty"` // one manager at the capacity plan's size, with the complete list and with a subset
	Processes []ProcessCase    `json:"real,omitempty"`     // real processes compared with hollow managers
}

// PlanSizeCase holds the measurements of one manager in one scenario at the capacity plan's size. Costs are medians of the
// runs.
type PlanSizeCase struct {
	Name        string           `json:"name"`
	Sizes       map[Axis]float64 `json:"sizes"`
	HomeServers int              `json:"homeServers"` // in the zone of the manager's proxies; 0: all servers are spread evenly
	Costs       map[Cost]float64 `json:"costs"`
	Spread      map[Cost]float64 `json:"spread"` // largest relative spread of the runs
}

// Find returns the slope of a cost along an axis; false if it was not measured.
func (r Report) Find(cost Cost, axis Axis) (Slope, bool) {
	for _, s := range r.Slopes {
		if s.Cost == cost && s.Axis == axis {
			return s, true
		}
	}
	return Slope{}, false
}
