// Package scale measures how the cost of a manager, and of the control side that serves it, grows along each axis of
// a fleet, one axis at a time, and fits a base and a slope to what it measured. It must never be imported by the daemon.
package scale

import (
	"cmp"
	"math"
	"slices"
)

// ReportVersion is the version of the file format of a Report.
const ReportVersion = 1

// Shape is the form of curve that fits best.
type Shape string

// Shapes that are tried, the simplest first.
const (
	Constant     Shape = "constant"
	Linear       Shape = "linear"
	Linearithmic Shape = "n-log-n"
	Quadratic    Shape = "quadratic"
)

// Of is the shape's value at a size.
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

// Point holds what the runs at one size gave, in the cost's unit.
type Point struct {
	Size float64   `json:"size"`
	Runs []float64 `json:"runs"`
}

// Median is that of the runs.
func (p Point) Median() float64 { return Median(p.Runs) }

// Slope is how one cost grows along one axis, all other axes at the report's reference: Base + PerUnit*Shape.Of(size).
type Slope struct {
	Cost       Cost    `json:"cost"`
	Axis       Axis    `json:"axis"`
	Unit       string  `json:"unit"` // seconds, bytes or connections
	Shape      Shape   `json:"shape"`
	Base       float64 `json:"base"`
	PerUnit    float64 `json:"perUnit"`
	WorstError float64 `json:"worstError"` // largest relative distance of a point's median from the curve
	Spread     float64 `json:"spread"`     // largest relative spread of runs at one size
	Fits       bool    `json:"fits"`       // WorstError is within MaxFitError; else no tried shape fits, and this is the nearest
	Hollow     bool    `json:"hollow"`     // measured on hollow managers, not on real processes
	Points     []Point `json:"points"`
}

// SmallestSize is the smallest size that was measured; +Inf where none was.
func (s Slope) SmallestSize() float64 {
	smallest := math.Inf(1)
	for _, p := range s.Points {
		smallest = min(smallest, p.Size)
	}
	return smallest
}

// LargestSize is the largest size that was measured; 0 where none was.
func (s Slope) LargestSize() float64 {
	largest := 0.0
	for _, p := range s.Points {
		largest = max(largest, p.Size)
	}
	return largest
}

// At is the cost at a size by the fitted curve.
func (s Slope) At(size float64) float64 { return s.Base + s.PerUnit*s.Shape.Of(size) }

// Estimate is the cost at a size: by the curve, or, where no shape fits what was measured, between the medians of the
// sizes around it.
func (s Slope) Estimate(size float64) float64 {
	if s.Interpolates(size) {
		return s.interpolate(size)
	}
	return s.At(size)
}

// Interpolates reports whether Estimate uses the measured points, and not the curve, at a size.
func (s Slope) Interpolates(size float64) bool {
	return !s.Fits && len(s.Points) > 1 && size >= s.SmallestSize() && size <= s.LargestSize()
}

// interpolate is the cost at a size within the measured sizes, on the line between the medians around it.
func (s Slope) interpolate(size float64) float64 {
	points := slices.SortedFunc(slices.Values(s.Points), func(a, b Point) int { return cmp.Compare(a.Size, b.Size) })
	i, found := slices.BinarySearchFunc(points, size, func(p Point, size float64) int { return cmp.Compare(p.Size, size) })
	if found || i == 0 {
		return points[i].Median()
	}
	low := points[i-1]
	high := points[i]
	part := (size - low.Size) / (high.Size - low.Size)
	return low.Median() + part*(high.Median()-low.Median())
}

// Report is what one run of the measurement found.
type Report struct {
	Version   int              `json:"version"`
	Seed      uint64           `json:"seed"`
	Cores     int              `json:"cores"`
	GoVersion string           `json:"goVersion"`
	Reference map[Axis]float64 `json:"reference"` // sizes of the axes that are held while one grows
	Slopes    []Slope          `json:"slopes"`
	PlanSize  []PlanSizeCase   `json:"planSize,omitempty"` // one manager at the plan's size, with the whole list and with a subset
	Processes []ProcessCase    `json:"real,omitempty"`     // real processes beside hollow managers
}

// PlanSizeCase is one manager in one scenario of the plan's size, and the median of the runs for each cost.
type PlanSizeCase struct {
	Name        string           `json:"name"`
	Sizes       map[Axis]float64 `json:"sizes"`
	HomeServers int              `json:"homeServers"` // in the zone of the manager's proxies
	Costs       map[Cost]float64 `json:"costs"`
	Spread      map[Cost]float64 `json:"spread"` // largest relative spread of the runs
}

// Find gives the slope of a cost along an axis; false where it was not measured.
func (r Report) Find(cost Cost, axis Axis) (Slope, bool) {
	for _, s := range r.Slopes {
		if s.Cost == cost && s.Axis == axis {
			return s, true
		}
	}
	return Slope{}, false
}
