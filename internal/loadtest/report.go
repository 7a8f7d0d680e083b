package loadtest

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
)

// Table writes results for people.
func WriteTable(out io.Writer, all []Result) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "cores\ttop/s\tx one\theld/s\ttaken\ttake in 50/99/99.9%\tjoin to bind 50/99/99.9%\tdrain to withdrawal 50/99/99.9%\tCPU\tMB\trules")
	for _, r := range all {
		rules := "kept"
		for _, rule := range r.Rules {
			if !rule.OK() {
				rules = "BROKEN: " + rule.Name
			}
		}
		top, times := "-", "-"
		if r.MaxRate > 0 {
			top, times = fmt.Sprintf("%.0f", r.MaxRate), fmt.Sprintf("%.2f", r.MaxRate/all[0].MaxRate)
		}
		note := ""
		if r.Cores > r.MachineCores {
			note = fmt.Sprintf(" (on %d)", r.MachineCores)
		}
		fmt.Fprintf(w, "%d%s\t%s\t%s\t%.0f\t%.2f%%\t%s\t%s\t%s\t%.2f\t%.0f\t%s\n", r.Cores, note, top, times, r.HeldRate,
			100*float64(r.Accepted)/float64(max(1, r.Sent)), r.AcceptLatency, r.AssignLatency, r.WithdrawLatency, r.CPU, r.MemoryMB, rules)
	}
	w.Flush()
	for _, r := range all {
		fmt.Fprintf(out, "\n%d cores: all bound in %.2fs, %d calls, %d orders, %d refused, %d effects, faults %v, %.1f%% of samples folded, %d connections broken\n",
			r.Cores, r.AllAssignedAfter.Seconds(), r.Relay.Calls, r.Relay.CommandsAccepted, r.Relay.CommandsRejected, r.Relay.StateChanges, r.Relay.Faults, 100*r.MergedFraction, r.BrokenConnections)
		for _, rule := range r.Rules {
			verdict := "kept"
			if !rule.OK() {
				verdict = fmt.Sprintf("BROKEN %d times", rule.Violations)
			}
			fmt.Fprintf(out, "  %-28s %-10s worst %.3f %s of %.3f, %d looked at %s\n", rule.Name, verdict, rule.Worst, rule.Unit, rule.Bound, rule.Checks, rule.Subject)
		}
	}
}

// String gives the three figures in milliseconds.
func (s LatencySummary) String() string {
	if s.Count == 0 {
		return "-"
	}
	ms := func(x float64) string { return fmt.Sprintf("%.1f", x/1e6) }
	return ms(float64(s.P50)) + "/" + ms(float64(s.P99)) + "/" + ms(float64(s.P999)) + " ms"
}

// JSON writes results for machines.
func WriteJSON(out io.Writer, all []Result) error {
	e := json.NewEncoder(out)
	e.SetIndent("", "  ")
	return e.Encode(all)
}
