package capacity

import (
	"fmt"
	"io"
	"slices"
	"strings"

	"tamarindshore/internal/scale"
)

// writeSources writes the tables of the slopes and costs that the loads were calculated from.
func (m *Model) writeSources(w io.Writer) {
	writeHeading(w, "Where the figures come from")
	r := m.Costs.report
	fmt.Fprintf(w, "Slopes: version %d, seed %d, %d cores, %s.\n\n", r.Version, r.Seed, r.Cores, r.GoVersion)
	sources := slices.SortedStableFunc(slices.Values(m.sources), func(a, b Source) int {
		return strings.Compare(string(a.Cost), string(b.Cost))
	})
	m.writeSlopes(w, sources)
	fmt.Fprintln(w)
	writeHeader(w, "cost", "at", "figure", "reckoned")
	for _, group := range groupSources(sources) {
		s := group[0]
		writeRow(w, string(s.Cost), sizeRanges(group), formatCost(s), sourceNote(s))
	}
}

// groupSources groups the sources that have the same cost, formatted value and note, and differ only in their sizes.
func groupSources(sources []Source) [][]Source {
	var groups [][]Source
	sameRow := func(a, b Source) bool {
		return a.Cost == b.Cost && formatCost(a) == formatCost(b) && sourceNote(a) == sourceNote(b)
	}
	for _, s := range sources {
		i := slices.IndexFunc(groups, func(g []Source) bool { return sameRow(g[0], s) })
		if i < 0 {
			groups = append(groups, []Source{s})
			continue
		}
		groups[i] = append(groups[i], s)
	}
	return groups
}

// sizeRanges returns the range of sizes of a group along each axis.
func sizeRanges(group []Source) string {
	var ranges []string
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
		ranges = append(ranges, text)
	}
	return joinOr(ranges, "reference")
}

// writeSlopes writes one row for each slope that a cost was calculated from.
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

// joinOr joins items with commas. It returns none if there are no items.
func joinOr(items []string, none string) string {
	if len(items) == 0 {
		return none
	}
	return strings.Join(items, ", ")
}

// formatCost formats the value of a cost in the unit of its slopes.
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

// sourceNote describes how a cost was obtained where it is more than a measurement: assumed, interpolated or
// extrapolated.
func sourceNote(s Source) string {
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
	return joinOr(notes, "within what was measured")
}

// interpolatedAxes returns the axes along which a cost is interpolated between measured points.
func interpolatedAxes(s Source) []scale.Axis {
	var axes []scale.Axis
	for _, slope := range s.Slopes {
		if size, requested := s.Sizes[slope.Axis]; requested && slope.Interpolates(size) {
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
