package capacity

import (
	"fmt"
	"io"
	"slices"

	"tamarindshore/internal/scale"
)

// caseCosts lists the costs shown for each case that was measured at the plan's size.
var caseCosts = []scale.Cost{
	scale.CPUPerBusySecond, scale.CPUPerQuietSecond, scale.CPUPerOpening, scale.CPUPerListChange, scale.LongestDecision,
	scale.HeapBytes, scale.RelayEventsPerSecond, scale.ProxiesAssigned,
}

// managerAxes lists the axes whose slopes are summed for those costs.
var managerAxes = []scale.Axis{
	scale.Servers, scale.Proxies, scale.Zones, scale.TrafficClasses, scale.ListChanges, scale.Reports, scale.RestartsAtOnce,
}

// writePlanSizeCases compares managers that were measured at the plan's size with the sums of the slopes.
func (m *Model) writePlanSizeCases(w io.Writer) {
	writeHeading(w, "Managers measured at the plan's size, and what the sum of the slopes says of them")
	cases := m.Costs.report.PlanSize
	if len(cases) == 0 {
		fmt.Fprintln(w, "The slopes' file has none: not measured.")
		return
	}
	writeHeader(w, "manager", "cost", "measured", "spread of runs", "sum of the slopes", "measured / sum")
	for _, c := range cases {
		for _, cost := range caseCosts {
			if _, found := c.Costs[cost]; found {
				writeRow(w, m.caseCells(c, cost)...)
			}
		}
	}
}

func (m *Model) caseCells(c scale.PlanSizeCase, cost scale.Cost) []string {
	sum := m.Costs.At(cost, m.Costs.sizesAlong(cost, c.Sizes))
	inUnit := func(value float64) string {
		return formatCost(Source{Slopes: sum.Slopes, Value: known(value)})
	}
	cells := []string{c.Name, string(cost), inUnit(c.Costs[cost]), formatPercent(c.Spread[cost])}
	switch {
	case !sum.Value.Known:
		return append(cells, unmeasured, "none")
	case sum.Value.Value == 0:
		return append(cells, inUnit(0), "none")
	}
	return append(cells, inUnit(sum.Value.Value), formatNumber(c.Costs[cost]/sum.Value.Value))
}

// sizesAlong returns the sizes of a case along those axes that have a slope of the cost.
func (c Costs) sizesAlong(cost scale.Cost, sizes Sizes) Sizes {
	measuredSizes := Sizes{}
	for axis, size := range sizes {
		if _, measured := c.report.Find(cost, axis); measured && slices.Contains(managerAxes, axis) {
			measuredSizes[axis] = size
		}
	}
	return measuredSizes
}

// writeProcesses compares real processes with hollow managers.
func (m *Model) writeProcesses(w io.Writer) {
	r := m.Costs.report
	writeHeading(w, "Real processes, and hollow managers of the same size")
	if len(r.Processes) == 0 {
		fmt.Fprintln(w, "The slopes' file has none: not measured.")
		return
	}
	writeHeader(w, "state", "between reads", "servers", "proxies", "collectors' lines a second", "core, real", "core, hollow",
		"the process alone", "largest resident set", "hollow heap", "context switches a second")
	for _, c := range r.Processes {
		writeRow(w, processCells(c)...)
	}
	fmt.Fprintf(w, "\nCounted to a manager's core beside the slopes: %s in the strict reading (state \"%s\"), %s without collectors' lines (state \"%s\").\n",
		formatFigure(m.processOverhead(busyState), formatPercent), busyState,
		formatFigure(m.processOverhead(quietState), formatPercent), quietState)
}

func processCells(c scale.ProcessCase) []string {
	return []string{
		c.Name,
		intervalCell(c.ReadInterval),
		formatNumber(float64(c.Servers)),
		formatNumber(float64(c.Proxies)),
		formatNumber(c.ReportsPerSecond),
		medianOrNone(c.CPU, formatPercent),
		medianOrNone(c.HollowCPU, formatPercent),
		overheadCell(c),
		formatNumber(c.MemoryMB) + " MB",
		formatNumber(c.HollowHeapMB) + " MB",
		medianOrNone(c.ContextSwitches, formatNumber),
	}
}

func intervalCell(seconds float64) string {
	if seconds == 0 {
		return "as it comes"
	}
	return formatSeconds(seconds)
}

func overheadCell(c scale.ProcessCase) string {
	if len(c.CPU) == 0 || len(c.HollowCPU) == 0 {
		return unmeasured
	}
	return formatPercent(overheadOf(c))
}

// medianOrNone formats the median of the runs, or reports that there are none.
func medianOrNone(runs []float64, format func(float64) string) string {
	if len(runs) == 0 {
		return unmeasured
	}
	return format(scale.Median(runs))
}
