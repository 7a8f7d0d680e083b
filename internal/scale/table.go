package scale

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// WriteTable writes a report as text: a table of its slopes, then a line for each case at the plan's size and for each real
// process.
func WriteTable(out io.Writer, report Report) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "axis\tcost\tshape\tbase\tper unit\tunit\tworst point off\tspread of runs\t")
	for _, s := range report.Slopes {
		shape := string(s.Shape)
		if !s.Fits {
			shape += " (none fits)"
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%.3g\t%.3g\t%s\t%.0f%%\t%.0f%%\t\n",
			s.Axis, s.Cost, shape, s.Base, s.PerUnit, s.Unit, 100*s.WorstError, 100*s.Spread)
	}
	table.Flush()
	for _, c := range report.PlanSize {
		fmt.Fprintf(out, "\n%s: a quiet second %.3g s, a busy one %.3g s, longest decision %.3g s, opening %.3g s, heap %.3g MB, %g proxies bound\n",
			c.Name, c.Costs[CPUPerQuietSecond], c.Costs[CPUPerBusySecond], c.Costs[LongestDecision], c.Costs[CPUPerOpening],
			c.Costs[HeapBytes]/mib, c.Costs[ProxiesAssigned])
	}
	for _, c := range report.Processes {
		fmt.Fprintf(out, "\nreal process, %d servers, %d proxies, %g s between reads, %s: %.4f of a core, %.0f wakeups and %.0f probes a second; hollow %.4f of a core\n",
			c.Servers, c.Proxies, c.ReadInterval, c.Name, Median(c.CPU), Median(c.ContextSwitches), Median(c.HealthChecks),
			Median(c.HollowCPU))
	}
}
