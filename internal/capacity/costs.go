package capacity

import (
	"slices"

	"tamarindshore/internal/scale"
)

// Figure is a value that was worked out from slopes and the plan. It is not known where a part of it was not measured; the
// value is then the sum of the other parts: a lower bound.
type Figure struct {
	Value float64
	Known bool
}

func known(x float64) Figure { return Figure{x, true} }

// plus is known where both are.
func (f Figure) plus(g Figure) Figure { return Figure{f.Value + g.Value, f.Known && g.Known} }

func (f Figure) times(x float64) Figure {
	if x == 0 {
		return known(0)
	}
	return Figure{f.Value * x, f.Known}
}

// Sizes are sizes along some axes.
type Sizes map[scale.Axis]float64

// Source says where the value of a cost comes from.
type Source struct {
	Cost             scale.Cost
	Sizes            Sizes // along the axes that were measured
	Value            Figure
	Slopes           []scale.Slope // the slopes that it was worked out from
	UnmeasuredAxes   []scale.Axis  // wanted sizes along which no slope was measured: counted at the reference
	ExtrapolatedAxes []scale.Axis  // along which the wanted size is beyond the largest measured
	Assumed          bool          // by a figure of the plan
}

// Costs works out costs at a size: the cost at the reference, and for each axis the slope's rise from the reference to the
// size.
type Costs struct {
	report scale.Report
}

// At works a cost out. A cost without any slope is unknown.
func (c Costs) At(cost scale.Cost, sizes Sizes) Source {
	s := Source{Cost: cost, Sizes: Sizes{}}
	var references []float64
	for _, axis := range sortedAxes(sizes) {
		slope, measured := c.report.Find(cost, axis)
		if !measured {
			s.UnmeasuredAxes = append(s.UnmeasuredAxes, axis)
			continue
		}
		s.Sizes[axis] = sizes[axis]
		s.Slopes = append(s.Slopes, slope)
		references = append(references, slope.Estimate(c.report.Reference[axis]))
		if sizes[axis] > slope.LargestSize() {
			s.ExtrapolatedAxes = append(s.ExtrapolatedAxes, axis)
		}
	}
	if len(references) == 0 {
		s.Value, s.Slopes = c.reference(cost)
		return s
	}
	value := mean(references)
	for _, slope := range s.Slopes {
		value += slope.Estimate(sizes[slope.Axis]) - slope.Estimate(c.report.Reference[slope.Axis])
	}
	s.Value = known(max(0, value))
	return s
}

// reference is a cost at the reference, from the slopes along axes that were not asked for.
func (c Costs) reference(cost scale.Cost) (Figure, []scale.Slope) {
	var references []float64
	var along []scale.Slope
	for _, slope := range c.report.Slopes {
		if slope.Cost == cost {
			references = append(references, slope.Estimate(c.report.Reference[slope.Axis]))
			along = append(along, slope)
		}
	}
	if len(references) == 0 {
		return Figure{}, nil
	}
	return known(max(0, mean(references))), along
}

// OrPlan is a cost, or an assumed figure of the plan where it was not measured.
func (c Costs) OrPlan(cost scale.Cost, sizes Sizes, assumed float64) Source {
	s := c.At(cost, sizes)
	if !s.Value.Known {
		s.Value = known(assumed)
		s.Assumed = true
	}
	return s
}

// measured reports whether a cost has any slope.
func (c Costs) measured(cost scale.Cost) bool {
	return slices.ContainsFunc(c.report.Slopes, func(s scale.Slope) bool { return s.Cost == cost })
}

// listAxis is the axis along which an opening was measured.
func (c Costs) listAxis(cost scale.Cost) scale.Axis {
	if _, measured := c.report.Find(cost, scale.OpeningListSize); measured {
		return scale.OpeningListSize
	}
	return scale.Servers
}

// mean of values, of which there is one at least.
func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(len(values))
}

func sortedAxes(sizes Sizes) []scale.Axis {
	var axes []scale.Axis
	for axis := range sizes {
		axes = append(axes, axis)
	}
	slices.Sort(axes)
	return axes
}
