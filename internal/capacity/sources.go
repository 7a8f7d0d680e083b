package capacity

import (
	"fmt"
	"io"
	"slices"
	"strings"

	"tamarindshore/internal/scale"
)

func (m *Model) writeSources(w io.Writer) {
	heading(w, "Where the figures come from")
	r := m.Costs.report
	fmt.Fprintf(w, "Slopes: version %d, seed %d, %d cores, %s.\n\n", r.Version, r.Seed, r.Cores, r.GoVersion)
	sources := slices.SortedStableFunc(slices.Values(m.sources), func(a, b Source) int { return strings.Compare(string(a.Cost), string(b.Cost)) })
	m.writeSlopes(w, sources)
	fmt.Fprintln(w)
	header(w, "cost", "at", "figure", "reckoned")
	for _, s := range sources {
		var at []string
		for _, axis := range sortedAxes(s.Sizes) {
			at = append(at, fmt.Sprintf("%s %s", axis, number3(s.Sizes[axis])))
		}
		row(w, string(s.Cost), orNone(at, "reference"), costFigure(s), reckoned(s))
	}
}

// writeSlopes tells each slope that a cost was worked out from, once.
func (m *Model) writeSlopes(w io.Writer, sources []Source) {
	header(w, "cost", "along", "shape", "worst distance of a size from the curve", "worst spread of runs", "sizes measured", "managers")
	told := map[string]bool{}
	for _, s := range sources {
		for _, slope := range s.Along {
			key := string(slope.Cost) + " " + string(slope.Axis)
			if told[key] {
				continue
			}
			told[key] = true
			row(w, slopeCells(slope)...)
		}
	}
}

func slopeCells(s scale.Slope) []string {
	shape, managers := string(s.Shape), "real"
	if !s.Fits {
		shape += ", does not fit"
	}
	if s.Hollow {
		managers = "hollow"
	}
	sizes := number3(smallest(s)) + " to " + number3(largest(s))
	return []string{string(s.Cost), string(s.Axis), shape, percent3(s.WorstError), percent3(s.Spread), sizes, managers}
}

func orNone(words []string, none string) string {
	if len(words) == 0 {
		return none
	}
	return strings.Join(words, ", ")
}

func costFigure(s Source) string {
	unit := ""
	if len(s.Along) > 0 {
		unit = s.Along[0].Unit
	}
	switch {
	case !s.Value.Known:
		return unmeasured
	case unit == "seconds":
		return seconds3(s.Value.Value)
	case unit == "bytes", s.Assumed:
		return bytes3(s.Value.Value)
	}
	return number3(s.Value.Value)
}

// reckoned says how a cost was worked out beyond what was measured.
func reckoned(s Source) string {
	var notes []string
	switch {
	case s.Assumed:
		return "not measured: the plan's figure"
	case !s.Value.Known:
		return "no slope: all that needs it says so"
	}
	if axes := misfits(s); len(axes) > 0 {
		notes = append(notes, "no shape fits along "+axisNames(axes)+": between the measured sizes")
	}
	if len(s.Missing) > 0 {
		notes = append(notes, "not measured along "+axisNames(s.Missing)+", counted as at the reference")
	}
	if len(s.Beyond) > 0 {
		notes = append(notes, "beyond the largest size measured along "+axisNames(s.Beyond))
	}
	return orNone(notes, "within what was measured")
}

// misfits are the axes along which a cost comes from measured points.
func misfits(s Source) []scale.Axis {
	var axes []scale.Axis
	for _, slope := range s.Along {
		if size, asked := s.Sizes[slope.Axis]; asked && interpolated(slope, size) {
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
