package capacity

import (
	"fmt"
	"io"
	"slices"
	"strings"

	"tamarindshore/internal/scale"
)

func (m *Model) writeSources(w io.Writer) {
	writeHeading(w, "Where the figures come from")
	r := m.Costs.report
	fmt.Fprintf(w, "Slopes: version %d, seed %d, %d cores, %s.\n\n", r.Version, r.Seed, r.Cores, r.GoVersion)
	sources := slices.SortedStableFunc(slices.Values(m.sources), func(a, b Source) int { return strings.Compare(string(a.Cost), string(b.Cost)) })
	m.writeSlopes(w, sources)
	fmt.Fprintln(w)
	writeHeader(w, "cost", "at", "figure", "reckoned")
	for _, group := range groupSources(sources) {
		s := group[0]
		writeRow(w, string(s.Cost), rangesOf(group), formatCost(s), origin(s))
	}
}

// groupSources joins the sources that have the same cost, figure and reckoning, and differ in sizes alone.
func groupSources(sources []Source) [][]Source {
	var groups [][]Source
	alike := func(a, b Source) bool {
		return a.Cost == b.Cost && formatCost(a) == formatCost(b) && origin(a) == origin(b)
	}
	for _, s := range sources {
		i := slices.IndexFunc(groups, func(g []Source) bool { return alike(g[0], s) })
		if i < 0 {
			groups = append(groups, []Source{s})
			continue
		}
		groups[i] = append(groups[i], s)
	}
	return groups
}

// rangesOf gives the sizes of a group along each axis.
func rangesOf(group []Source) string {
	var at []string
	for _, axis := range sortedAxes(group[0].Sizes) {
		smallest := group[0].Sizes[axis]
		largest := smallest
		for _, s := range group {
			smallest = min(smallest, s.Sizes[axis])
			largest = max(largest, s.Sizes[axis])
		}
		text := fmt.Sprintf("%s %s", axis, formatNumber(smallest))
		if largest > smallest {
			text += " to " + formatNumber(largest)
		}
		at = append(at, text)
	}
	return orNone(at, "reference")
}

// writeSlopes shows each slope that a cost was worked out from, once.
func (m *Model) writeSlopes(w io.Writer, sources []Source) {
	writeHeader(w, "cost", "along", "shape", "worst distance of a size from the curve", "worst spread of runs", "sizes measured", "managers")
	written := map[string]bool{}
	for _, s := range sources {
		for _, slope := range s.Slopes {
			key := string(slope.Cost) + " " + string(slope.Axis)
			if written[key] {
				continue
			}
			written[key] = true
			writeRow(w, slopeCells(slope)...)
		}
	}
}

func slopeCells(s scale.Slope) []string {
	shape := string(s.Shape)
	managers := "real"
	if !s.Fits {
		shape += ", does not fit"
	}
	if s.Hollow {
		managers = "hollow"
	}
	sizes := formatNumber(s.SmallestSize()) + " to " + formatNumber(s.LargestSize())
	return []string{string(s.Cost), string(s.Axis), shape, formatPercent(s.WorstError), formatPercent(s.Spread), sizes, managers}
}

func orNone(words []string, none string) string {
	if len(words) == 0 {
		return none
	}
	return strings.Join(words, ", ")
}

func formatCost(s Source) string {
	unit := ""
	if len(s.Slopes) > 0 {
		unit = s.Slopes[0].Unit
	}
	switch {
	case !s.Value.Known:
		return unmeasured
	case unit == "seconds":
		return formatSeconds(s.Value.Value)
	case unit == "bytes", s.Assumed:
		return formatBytes(s.Value.Value)
	}
	return formatNumber(s.Value.Value)
}

// origin says how a cost was worked out beyond what was measured.
func origin(s Source) string {
	var notes []string
	switch {
	case s.Assumed:
		return "not measured: the plan's figure"
	case !s.Value.Known:
		return "no slope: all that needs it says so"
	}
	if axes := interpolatedAxes(s); len(axes) > 0 {
		notes = append(notes, "no shape fits along "+axisNames(axes)+": between the measured sizes")
	}
	if len(s.UnmeasuredAxes) > 0 {
		notes = append(notes, "not measured along "+axisNames(s.UnmeasuredAxes)+", counted as at the reference")
	}
	if len(s.ExtrapolatedAxes) > 0 {
		notes = append(notes, "beyond the largest size measured along "+axisNames(s.ExtrapolatedAxes))
	}
	return orNone(notes, "within what was measured")
}

// interpolatedAxes are the axes along which a cost comes from measured points.
func interpolatedAxes(s Source) []scale.Axis {
	var axes []scale.Axis
	for _, slope := range s.Slopes {
		if size, asked := s.Sizes[slope.Axis]; asked && slope.Interpolates(size) {
			axes = append(axes, slope.Axis)
		}
	}
	return axes
}

func axisNames(axes []scale.Axis) string {
	var names []string
	for _, axis := range axes {
		names = append(names, string(axis))
	}
	return strings.Join(names, ", ")
}
