package loadtest

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
)

// WriteTable writes results as text: a table with one row per manager, followed by the rules of each manager.
func WriteTable(out io.Writer, results []Result) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "cores\ttop/s\tx one\theld/s\ttaken\ttake in 50/99/99.9%\tjoin to bind 50/99/99.9%\tdrain to withdrawal 50/99/99.9%\tCPU\tMB\trules")
	for _, r := range results {
		writeRow(table, r, results[0].MaxRate)
	}
	table.Flush()
	for _, r := range results {
		writeRules(out, r)
	}
}

// writeRow writes the table row of a manager. Its maximum rate is also shown as a multiple of the first manager's.
func writeRow(out io.Writer, r Result, firstMaxRate float64) {
	cores := fmt.Sprint(r.Cores)
	if r.Cores > r.MachineCores {
		cores += fmt.Sprintf(" (on %d)", r.MachineCores)
	}
	maxRate := "-"
	multiple := "-"
	if r.MaxRate > 0 {
		maxRate = fmt.Sprintf("%.0f", r.MaxRate)
		multiple = fmt.Sprintf("%.2f", r.MaxRate/firstMaxRate)
	}
	acceptedPercent := 100 * float64(r.Accepted) / float64(max(1, r.Sent))
	fmt.Fprintf(out, "%s\t%s\t%s\t%.0f\t%.2f%%\t%s\t%s\t%s\t%.2f\t%.0f\t%s\n", cores, maxRate, multiple, r.HeldRate, acceptedPercent,
		r.AcceptLatency, r.AssignLatency, r.WithdrawLatency, r.CPU, r.MemoryMB, rulesSummary(r))
}

// rulesSummary returns the entry of the column "rules": "kept", or the last rule that was violated.
func rulesSummary(r Result) string {
	summary := "kept"
	for _, rule := range r.Rules {
		if !rule.OK() {
			summary = "BROKEN: " + rule.Name
		}
	}
	return summary
}

// writeRules writes the totals of a manager and the result of each rule.
func writeRules(out io.Writer, r Result) {
	relay := r.Relay
	fmt.Fprintf(out, "\n%d cores: all bound in %.2fs, %d calls, %d orders, %d refused, %d effects, faults %v, %.1f%% of samples folded, %d connections broken\n",
		r.Cores, r.AllAssignedAfter.Seconds(), relay.Calls, relay.CommandsAccepted, relay.CommandsRejected, relay.StateChanges,
		relay.Faults, 100*r.MergedFraction, r.BrokenConnections)
	for _, rule := range r.Rules {
		status := "kept"
		if !rule.OK() {
			status = fmt.Sprintf("BROKEN %d times", rule.Violations)
		}
		fmt.Fprintf(out, "  %-28s %-10s worst %.3f %s of %.3f, %d looked at %s\n",
			rule.Name, status, rule.Worst, rule.Unit, rule.Bound, rule.Checks, rule.Subject)
	}
}

// WriteJSON writes results as indented JSON.
func WriteJSON(out io.Writer, results []Result) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(results)
}
