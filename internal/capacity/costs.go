package capacity

import (
	"slices"

	"tamarindshore/internal/scale"
)

// Figure is a value calculated from slopes and the plan. If a part of it was not measured, Known is false and Value is
// the sum of the other parts, which is a lower bound.
type Figure struct {
	Value float64
	Known bool
}

func known(x float64) Figure { return Figure{x, true} }

// plus returns the sum of two figures, which is known only if both are known.
func (f Figure) plus(g Figure) Figure { return Figure{f.Value + g.Value, f.Known && g.Known} }

// times returns the figure multiplied by x. Any figure times 0 is known.
func (f Figure) times(x float64) Figure {
	if x == 0 {
		return known(0)
	}
	return Figure{f.Value * x, f.Known}
}

// Sizes maps axes to the size along each of them.
type Sizes map[scale.Axis]float64

// Source describes where the value of a cost comes from.
type Source struct {
	Cost             scale.Cost
	Sizes            Sizes // along the axes that were measured
	Value            Figure
	Slopes           []scale.Slope // the slopes that the value was calculated from
	UnmeasuredAxes   []scale.Axis  // requested axes without a slope; the size at the reference is used
	ExtrapolatedAxes []scale.Axis  // axes along which the requested size exceeds the largest measured size
	Assumed          bool          // whether the value is an assumption of the plan
}

// Costs calculates costs at given sizes: the cost at the reference, plus the difference between the size and the
// reference on the slope of each axis.
type Costs struct {
	report scale.Report
}

// At calculates a cost at the given sizes. A cost without any slope is unknown.
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

// reference returns a cost at the reference, and the slopes that it was calculated from, which may be along any axis.
func (c Costs) reference(cost scale.Cost) (Figure, []scale.Slope) {
	var references []float64
	var slopes []scale.Slope
	for _, slope := range c.report.Slopes {
		if slope.Cost == cost {
			references = append(references, slope.Estimate(c.report.Reference[slope.Axis]))
			slopes = append(slopes, slope)
		}
	}
	if len(references) == 0 {
		return Figure{}, nil
	}
	return known(max(0, mean(references))), slopes
}

// AtOrAssumed returns a cost at the given sizes, or the assumed value if the cost was not measured.
func (c Costs) AtOrAssumed(cost scale.Cost, sizes Sizes, assumed float64) Source {
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

// listSizeAxis returns the axis for the length of the list along which a cost was measured.
func (c Costs) listSizeAxis(cost scale.Cost) scale.Axis {
	if _, measured := c.report.Find(cost, scale.OpeningListSize); measured {
		return scale.OpeningListSize
	}
	return scale.Servers
}

// mean returns the mean of one or more values.
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
