package capacity

import (
	"io"

	"tamarindshore/internal/scale"
)

// propagationCase is the state of the fleet at the time of a change, with the costs that were measured in it.
type propagationCase struct {
	name   string
	median scale.Cost
	tail   scale.Cost
	last   scale.Cost
}

var propagationCases = []propagationCase{
	{"quiet, one control machine tells all", scale.PropagationMedian, scale.PropagationTail, scale.PropagationLast},
	{"all managers open, seven machines tell them", scale.PropagationDuringOpeningsMedian, scale.PropagationDuringOpeningsTail,
		scale.PropagationDuringOpeningsLast},
	{"two of seven machines are lost", scale.PropagationDuringControlLossMedian, scale.PropagationDuringControlLossTail,
		scale.PropagationDuringControlLossLast},
}

// writePropagation shows the measured times until a change is in force.
func (m *Model) writePropagation(w io.Writer) {
	writeHeading(w, "A change in force at hollow managers, as measured")
	writeHeader(w, "as the change is told", "managers", "half of them", "99 in 100", "the last", "spread of runs of the last")
	for _, c := range propagationCases {
		last, measured := m.Costs.report.Find(c.last, scale.Managers)
		if !measured {
			writeRow(w, c.name, unmeasured, unmeasured, unmeasured, unmeasured, unmeasured)
			continue
		}
		for _, point := range last.Points {
			median := m.measuredAt(c.median, scale.Managers, point.Size)
			tail := m.measuredAt(c.tail, scale.Managers, point.Size)
			writeRow(w, c.name, formatNumber(point.Size), median, tail, formatSeconds(point.Median()), formatPercent(last.Spread))
		}
	}
}

// processFleetCosts lists the costs shown for fleets of real processes, with their column headings.
var processFleetCosts = []struct {
	cost    scale.Cost
	heading string
}{
	{scale.ProcessPropagationMedian, "in force, half of them"},
	{scale.ProcessPropagationLast, "the last"},
	{scale.HollowPropagationMedian, "hollow, half of them"},
	{scale.HollowPropagationLast, "hollow, the last"},
	{scale.ProcessReadyMedian, "started at once: half ready"},
	{scale.ProcessReadyLast, "the last ready"},
	{scale.ProcessPropagationDuringOpeningsLast, "a change told meanwhile, in force at the last"},
	{scale.ProcessCPUPerQuietSecond, "processor time of a quiet second, each"},
	{scale.ProcessMemory, "largest resident set"},
}

// writeFleets shows fleets of real processes beside the same number of hollow managers.
func (m *Model) writeFleets(w io.Writer) {
	writeHeading(w, "Fleets of real processes on one machine, and as many hollow managers")
	slope, measured := m.Costs.report.Find(scale.ProcessPropagationLast, scale.Processes)
	if !measured {
		io.WriteString(w, "The slopes' file has none: not measured.\n")
		return
	}
	headings := []string{"processes"}
	for _, column := range processFleetCosts {
		headings = append(headings, column.heading)
	}
	writeHeader(w, headings...)
	for _, point := range slope.Points {
		cells := []string{formatNumber(point.Size)}
		for _, column := range processFleetCosts {
			cells = append(cells, m.measuredAt(column.cost, scale.Processes, point.Size))
		}
		writeRow(w, cells...)
	}
}

// measuredAt returns the median of the runs at a size in the cost's unit.
func (m *Model) measuredAt(cost scale.Cost, axis scale.Axis, size float64) string {
	slope, measured := m.Costs.report.Find(cost, axis)
	if !measured {
		return unmeasured
	}
	for _, point := range slope.Points {
		if point.Size == size {
			return formatCost(Source{Slopes: []scale.Slope{slope}, Value: known(point.Median())})
		}
	}
	return unmeasured
}

// writeReadIntervals shows the core use of a manager in a quiet second for each measured read interval.
func (m *Model) writeReadIntervals(w io.Writer) {
	writeHeading(w, "A manager's core in a quiet second, by the time between reads")
	writeHeader(w, "between reads", "scope", "ratio: "+string(CoreStrict), "ratio: "+string(CoreWithoutCollectors))
	for _, interval := range m.Costs.readIntervals() {
		variant := *m
		variant.Plan.Managers.ReadInterval = interval
		quiet := variant.Plan.situations()[0]
		for _, scope := range []Scope{WholeList, Subset} {
			strict := variant.check(Manager, CoreStrict, quiet)
			withoutCollectors := variant.check(Manager, CoreWithoutCollectors, quiet)
			writeRow(w, intervalCell(interval.Seconds()), string(scope), strict.formatRatio(scope), withoutCollectors.formatRatio(scope))
		}
	}
}
