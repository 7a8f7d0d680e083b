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
	header(w, "cost", "at", "figure", "slopes", "worst distance", "spread", "managers", "reckoned")
	slices.SortStableFunc(m.sources, func(a, b Source) int { return strings.Compare(string(a.Cost), string(b.Cost)) })
	for _, s := range m.sources {
		row(w, sourceCells(s)...)
	}
}

func sourceCells(s Source) []string {
	var at, along, kinds []string
	for _, axis := range sortedAxes(s.Sizes) {
		at = append(at, fmt.Sprintf("%s %s", axis, number3(s.Sizes[axis])))
	}
	distance, spread := 0.0, 0.0
	for _, slope := range s.Along {
		along = append(along, fmt.Sprintf("%s (%s)", slope.Axis, slope.Shape))
		distance, spread = max(distance, slope.WorstError), max(spread, slope.Spread)
		kind := "real"
		if slope.Hollow {
			kind = "hollow"
		}
		if !slices.Contains(kinds, kind) {
			kinds = append(kinds, kind)
		}
	}
	return []string{string(s.Cost), orNone(at, "reference"), costFigure(s), orNone(along, "none"), percent3(distance), percent3(spread),
		orNone(kinds, "none"), reckoned(s)}
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
	if len(s.Missing) > 0 {
		notes = append(notes, "not measured along "+axisNames(s.Missing)+", counted as at the reference")
	}
	if len(s.Beyond) > 0 {
		notes = append(notes, "beyond the largest size measured along "+axisNames(s.Beyond))
	}
	return orNone(notes, "within what was measured")
}

func axisNames(axes []scale.Axis) string {
	var names []string
	for _, axis := range axes {
		names = append(names, string(axis))
	}
	return strings.Join(names, ", ")
}
